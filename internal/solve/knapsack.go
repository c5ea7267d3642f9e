package solve

import (
	"cmp"
	"slices"
)

// item is a kind of thing to pack: its worth and its memory a thread.
type item struct {
	id              int
	value, memoryMB int64
}

const maxKnapsackSteps = 20_000

// pack fills an engine of some threads and memory with items, any number of each, for the greatest worth. It returns
// the counts by place in items, their worth, and what no packing can pass: the same but where the steps ran out.
func solveKnapsack(items []item, threads, memory int64) (counts []int64, worth, bound int64) {
	k := knapsack{counts: make([]int64, len(items)), bestCounts: make([]int64, len(items)), maxSteps: maxKnapsackSteps}
	for i, it := range items {
		if it.value > 0 && it.memoryMB <= memory {
			k.items = append(k.items, item{i, it.value, it.memoryMB})
		}
	}
	slices.SortFunc(k.items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.memoryMB, b.memoryMB), cmp.Compare(a.id, b.id))
	})
	// What needs no less memory for no more worth never helps.
	least := int64(-1)
	k.items = slices.DeleteFunc(k.items, func(it item) bool {
		if least >= 0 && it.memoryMB >= least {
			return true
		}
		least = it.memoryMB
		return false
	})
	whole := k.upperBound(0, threads, memory)
	k.fill(0, threads, memory, 0)
	if bound = k.bestValue; k.steps > k.maxSteps {
		bound = max(whole, k.bestValue)
	}
	return k.bestCounts, k.bestValue, bound
}

type knapsack struct {
	items              []item // the most worth first, so also the most memory first
	counts, bestCounts []int64
	maxCounts          []int64 // of each at most; nil: any number
	bestValue          int64
	steps              int
	maxSteps           int
}

// fill tries counts of items from i on, the most first.
func (k *knapsack) fill(first int, threads, memory, value int64) {
	if value > k.bestValue {
		k.bestValue = value
		copy(k.bestCounts, k.counts)
	}
	if k.steps++; first == len(k.items) || threads == 0 || k.steps > k.maxSteps || value+k.upperBound(first, threads, memory) <= k.bestValue {
		return
	}
	it := k.items[first]
	n := threads
	if it.memoryMB > 0 {
		n = min(n, memory/it.memoryMB)
	}
	if k.maxCounts != nil {
		n = min(n, k.maxCounts[it.id])
	}
	for ; n >= 0; n-- {
		k.counts[it.id] = n
		k.fill(first+1, threads-n, memory-n*it.memoryMB, value+n*it.value)
		if k.steps > k.maxSteps {
			break
		}
	}
	k.counts[it.id] = 0
}

// ceiling is what mixtures of two sorts from i on could be worth, wholeness aside: over every pair, the line through
// them at the memory that there is for a thread. It is rounded up, past what floats may have lost.
func (k *knapsack) upperBound(first int, threads, memory int64) int64 {
	if threads <= 0 || first >= len(k.items) {
		return 0
	}
	each, most := float64(memory)/float64(threads), 0.0
	for a := first; a < len(k.items); a++ {
		x := k.items[a]
		if float64(x.memoryMB) <= each {
			most = max(most, float64(x.value))
			break // those after it are worth less
		}
		most = max(most, float64(x.value)*each/float64(x.memoryMB)) // with threads left empty
		for b := a + 1; b < len(k.items); b++ {
			if y := k.items[b]; float64(y.memoryMB) <= each && y.memoryMB < x.memoryMB {
				part := (each - float64(y.memoryMB)) / float64(x.memoryMB-y.memoryMB)
				most = max(most, float64(y.value)+part*float64(x.value-y.value))
			}
		}
	}
	return int64(most*float64(threads)*(1+1e-12)) + 1
}
