package solve

import (
	"cmp"
	"slices"
)

// maxKnapsackSteps bounds the search of a knapsack.
const maxKnapsackSteps = 20_000

// item is a sort of thread to pack.
type item struct {
	id       int // its place in the counts
	value    int64
	memoryMB int64
}

// packed is what a knapsack holds.
type packed struct {
	counts []int64 // by the items' ids
	value  int64
	bound  int64 // no packing is worth more; the value itself unless the steps ran out
}

// solveKnapsack fills an engine of some threads and memory with items, any number of each, for the greatest value.
// The counts are by place in items.
func solveKnapsack(items []item, threads, memoryMB int64) packed {
	k := knapsack{
		items:      usefulItems(items, memoryMB),
		counts:     make([]int64, len(items)),
		bestCounts: make([]int64, len(items)),
		maxSteps:   maxKnapsackSteps,
	}
	upperBound := k.upperBound(0, threads, memoryMB)
	k.fill(0, threads, memoryMB, 0)
	bound := k.bestValue
	if k.steps > k.maxSteps {
		bound = max(upperBound, k.bestValue)
	}
	return packed{counts: k.bestCounts, value: k.bestValue, bound: bound}
}

// usefulItems returns the items that can be of use, of the greatest value first. One that needs no less memory for no
// more value than another never is.
func usefulItems(items []item, memoryMB int64) []item {
	var useful []item
	for i, it := range items {
		if it.value > 0 && it.memoryMB <= memoryMB {
			useful = append(useful, item{id: i, value: it.value, memoryMB: it.memoryMB})
		}
	}
	slices.SortFunc(useful, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.memoryMB, b.memoryMB), cmp.Compare(a.id, b.id))
	})
	lowestMB := int64(none)
	return slices.DeleteFunc(useful, func(it item) bool {
		if lowestMB >= 0 && it.memoryMB >= lowestMB {
			return true
		}
		lowestMB = it.memoryMB
		return false
	})
}

// knapsack is a depth-first search with bounds.
type knapsack struct {
	items      []item // the greatest value first, so also the most memory first
	counts     []int64
	bestCounts []int64
	maxCounts  []int64 // by id; nil: any number
	bestValue  int64
	steps      int
	maxSteps   int
}

// fill tries counts of the items from one on, the greatest first.
func (k *knapsack) fill(first int, threads, memoryMB, value int64) {
	if value > k.bestValue {
		k.bestValue = value
		copy(k.bestCounts, k.counts)
	}
	k.steps++
	if first == len(k.items) || threads == 0 || k.steps > k.maxSteps {
		return
	}
	if value+k.upperBound(first, threads, memoryMB) <= k.bestValue {
		return
	}
	it := k.items[first]
	for n := k.maxCount(it, threads, memoryMB); n >= 0; n-- {
		k.counts[it.id] = n
		k.fill(first+1, threads-n, memoryMB-n*it.memoryMB, value+n*it.value)
		if k.steps > k.maxSteps {
			break
		}
	}
	k.counts[it.id] = 0
}

// maxCount returns how many of an item fit.
func (k *knapsack) maxCount(it item, threads, memoryMB int64) int64 {
	n := threads
	if it.memoryMB > 0 {
		n = min(n, memoryMB/it.memoryMB)
	}
	if k.maxCounts != nil {
		n = min(n, k.maxCounts[it.id])
	}
	return n
}

// upperBound returns what mixtures of two items from one on could be worth if threads could be divided: over every
// pair, the line through them at the memory that there is for a thread. It is rounded up, past what floats may have
// lost.
func (k *knapsack) upperBound(first int, threads, memoryMB int64) int64 {
	if threads <= 0 || first >= len(k.items) {
		return 0
	}
	const roundingSlack = 1e-12
	ofThread := float64(memoryMB) / float64(threads)
	greatest := 0.0
	for i := first; i < len(k.items); i++ {
		it := k.items[i]
		if float64(it.memoryMB) <= ofThread {
			greatest = max(greatest, float64(it.value))
			break // those after it are worth less
		}
		greatest = max(greatest, k.mixtureValue(i, ofThread))
	}
	return int64(greatest*float64(threads)*(1+roundingSlack)) + 1
}

// mixtureValue returns the greatest value of a thread that is divided between an item that needs more memory than
// there is and nothing, or an item after it that needs less.
func (k *knapsack) mixtureValue(index int, memoryOfThread float64) float64 {
	large := k.items[index]
	greatest := float64(large.value) * memoryOfThread / float64(large.memoryMB) // with threads left empty
	for _, small := range k.items[index+1:] {
		if float64(small.memoryMB) > memoryOfThread || small.memoryMB >= large.memoryMB {
			continue
		}
		part := (memoryOfThread - float64(small.memoryMB)) / float64(large.memoryMB-small.memoryMB)
		greatest = max(greatest, float64(small.value)+part*float64(large.value-small.value))
	}
	return greatest
}
