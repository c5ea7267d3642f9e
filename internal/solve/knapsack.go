package solve

import (
	"cmp"
	"slices"
)

// item is a kind of thing to pack: its worth and its memory a thread.
type item struct {
	id            int
	worth, memory int64
}

const knapsackSteps = 20_000

// pack fills an engine of some threads and memory with items, any number of each, for the greatest worth. It returns
// the counts by place in items, their worth, and what no packing can pass: the same but where the steps ran out.
func pack(items []item, threads, memory int64) (counts []int64, worth, bound int64) {
	k := packing{at: make([]int64, len(items)), best: make([]int64, len(items)), limit: knapsackSteps}
	for i, it := range items {
		if it.worth > 0 && it.memory <= memory {
			k.items = append(k.items, item{i, it.worth, it.memory})
		}
	}
	slices.SortFunc(k.items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.memory, b.memory), cmp.Compare(a.id, b.id))
	})
	// What needs no less memory for no more worth never helps.
	least := int64(-1)
	k.items = slices.DeleteFunc(k.items, func(it item) bool {
		if least >= 0 && it.memory >= least {
			return true
		}
		least = it.memory
		return false
	})
	whole := k.ceiling(0, threads, memory)
	k.fill(0, threads, memory, 0)
	if bound = k.value; k.steps > k.limit {
		bound = max(whole, k.value)
	}
	return k.best, k.value, bound
}

type packing struct {
	items    []item // the most worth first, so also the most memory first
	at, best []int64
	most     []int64 // of each at most; nil: any number
	value    int64
	steps    int
	limit    int
}

// fill tries counts of items from i on, the most first.
func (k *packing) fill(i int, threads, memory, value int64) {
	if value > k.value {
		k.value = value
		copy(k.best, k.at)
	}
	if k.steps++; i == len(k.items) || threads == 0 || k.steps > k.limit || value+k.ceiling(i, threads, memory) <= k.value {
		return
	}
	it := k.items[i]
	n := threads
	if it.memory > 0 {
		n = min(n, memory/it.memory)
	}
	if k.most != nil {
		n = min(n, k.most[it.id])
	}
	for ; n >= 0; n-- {
		k.at[it.id] = n
		k.fill(i+1, threads-n, memory-n*it.memory, value+n*it.worth)
		if k.steps > k.limit {
			break
		}
	}
	k.at[it.id] = 0
}

// ceiling is what mixtures of two sorts from i on could be worth, wholeness aside: over every pair, the line through
// them at the memory that there is for a thread. It is rounded up, past what floats may have lost.
func (k *packing) ceiling(i int, threads, memory int64) int64 {
	if threads <= 0 || i >= len(k.items) {
		return 0
	}
	each, most := float64(memory)/float64(threads), 0.0
	for a := i; a < len(k.items); a++ {
		x := k.items[a]
		if float64(x.memory) <= each {
			most = max(most, float64(x.worth))
			break // those after it are worth less
		}
		most = max(most, float64(x.worth)*each/float64(x.memory)) // with threads left empty
		for b := a + 1; b < len(k.items); b++ {
			if y := k.items[b]; float64(y.memory) <= each && y.memory < x.memory {
				part := (each - float64(y.memory)) / float64(x.memory-y.memory)
				most = max(most, float64(y.worth)+part*float64(x.worth-y.worth))
			}
		}
	}
	return int64(most*float64(threads)*(1+1e-12)) + 1
}
