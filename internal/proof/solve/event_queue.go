package main

import "container/heap"

// event is something that happens at a time of the simulation. Those of one time happen in the order in which they
// were set.
type event struct {
	at    int64 // ns
	order int64
	run   func()
}

// eventQueue holds the events that are to come.
type eventQueue struct {
	events    eventHeap
	now       int64 // ns
	lastOrder int64
}

// after sets an event.
func (q *eventQueue) after(delay int64, run func()) {
	q.lastOrder++
	heap.Push(&q.events, event{q.now + delay, q.lastOrder, run})
}

// runUntil runs events until none is left or the time is reached.
func (q *eventQueue) runUntil(end int64) {
	for len(q.events) > 0 && q.now < end {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
}

// eventHeap is a heap of package container/heap, the next event first.
type eventHeap []event

// Len is how many there are.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether one is before another.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap swaps two.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds one.
func (h *eventHeap) Push(v any) { *h = append(*h, v.(event)) }

// Pop removes the last.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
