package solve

import (
	"cmp"
	"slices"
)

// maxKnapsackSteps bounds the search steps of a pricing problem.
const maxKnapsackSteps = 20_000

// item is a kind of thread that can be packed, in any number.
type item struct {
	id       int // index in the counts
	value    int64
	memoryMB int64
}

// packing is a solution of a knapsack problem.
type packing struct {
	counts []int64 // by the items' ids
	value  int64
	bound  int64 // upper bound on the value of any packing; equal to value unless the step limit was reached
}

// solveKnapsack maximizes the value of items packed into the threads and memory of an engine. The counts are parallel
// to items.
func solveKnapsack(items []item, threads, memoryMB int64) packing {
	k := knapsack{
		items:      undominatedItems(items, memoryMB),
		counts:     make([]int64, len(items)),
		bestCounts: make([]int64, len(items)),
		maxSteps:   maxKnapsackSteps,
	}
	upperBound := k.upperBound(0, threads, memoryMB)
	k.search(0, threads, memoryMB, 0)
	bound := k.bestValue
	if k.steps > k.maxSteps {
		bound = max(upperBound, k.bestValue)
	}
	return packing{counts: k.bestCounts, value: k.bestValue, bound: bound}
}

// undominatedItems returns the items that fit and are not dominated by another with at least their value and at most
// their memory, in order of decreasing value.
func undominatedItems(items []item, memoryMB int64) []item {
	var candidates []item
	for i, it := range items {
		if it.value > 0 && it.memoryMB <= memoryMB {
			candidates = append(candidates, item{id: i, value: it.value, memoryMB: it.memoryMB})
		}
	}
	slices.SortFunc(candidates, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.memoryMB, b.memoryMB), cmp.Compare(a.id, b.id))
	})
	lowestMB := int64(none)
	return slices.DeleteFunc(candidates, func(it item) bool {
		if lowestMB >= 0 && it.memoryMB >= lowestMB {
			return true
		}
		lowestMB = it.memoryMB
		return false
	})
}

// knapsack is a depth-first branch and bound search.
type knapsack struct {
	items      []item // by decreasing value; undominated, so also by decreasing memory
	counts     []int64
	bestCounts []int64
	maxCounts  []int64 // by id; nil: no limit
	bestValue  int64
	steps      int
	maxSteps   int
}

// search tries counts of the remaining items, beginning with first, largest counts first.
func (k *knapsack) search(first int, threads, memoryMB, value int64) {
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
		k.search(first+1, threads-n, memoryMB-n*it.memoryMB, value+n*it.value)
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

// upperBound returns the value of the LP relaxation over the remaining items: the best mixture of at most two of them
// at the average memory per thread. It is rounded up beyond floating-point errors.
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
			break // later items are worth less
		}
		greatest = max(greatest, k.mixtureValue(i, ofThread))
	}
	return int64(greatest*float64(threads)*(1+roundingSlack)) + 1
}

// mixtureValue returns the greatest value per thread of a mixture of an item that needs more than the average memory
// with no item, or with a later one that needs at most the average.
func (k *knapsack) mixtureValue(index int, memoryOfThread float64) float64 {
	large := k.items[index]
	greatest := float64(large.value) * memoryOfThread / float64(large.memoryMB) // some threads stay empty
	for _, small := range k.items[index+1:] {
		if float64(small.memoryMB) > memoryOfThread || small.memoryMB >= large.memoryMB {
			continue
		}
		part := (memoryOfThread - float64(small.memoryMB)) / float64(large.memoryMB-small.memoryMB)
		greatest = max(greatest, float64(small.value)+part*float64(large.value-small.value))
	}
	return greatest
}
