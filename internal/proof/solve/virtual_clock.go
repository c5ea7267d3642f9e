package main

import (
	"container/heap"

	"swiftreel/choice"
)

// virtualStart is the time at which a simulation starts. It is not 0, which the decision module may interpret as unset.
const virtualStart = choice.Nanos(1e12)

// virtualClock is the clock and event queue of a simulation. It advances from one event to the next.
type virtualClock struct {
	now    choice.Nanos
	queue  eventQueue
	queued int // number of events queued so far
}

// after schedules an action for the end of a delay.
func (c *virtualClock) after(delay choice.Nanos, action func()) {
	c.queued++
	heap.Push(&c.queue, scheduledEvent{dueAt: c.now + delay, sequence: c.queued, action: action})
}

// runUntil runs events in order until the queue is empty or the clock has reached end.
func (c *virtualClock) runUntil(end choice.Nanos) {
	for len(c.queue) > 0 && c.now < end {
		event := heap.Pop(&c.queue).(scheduledEvent)
		c.now = event.dueAt
		event.action()
	}
}

// scheduledEvent is an action to run at a given time.
type scheduledEvent struct {
	dueAt    choice.Nanos
	sequence int // events due at the same time run in the order in which they were queued
	action   func()
}

// eventQueue implements heap.Interface; the earliest event comes first.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].dueAt != q[j].dueAt {
		return q[i].dueAt < q[j].dueAt
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(event any) { *q = append(*q, event.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
