package choice

import (
	"strings"
	"testing"
)

// Guards against counting the duration of a failed attempt as waiting time of the retry, which raises the price.
func TestJobParkedForRetryHasNotWaited(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.c.retryBudget.tokens = 5
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	id := s.arrive(1, 0, 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready})
	s.now += 3 * second
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	s.finish(id, Reset)
	s.advance(20 * ms)
	require(t, len(s.enginesOf(id)) == 1, "dispatched to %v", s.enginesOf(id))
	require(t, s.c.jobs[id].parked && s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

func TestOrderedKeyRunsOneJobAtATimeAndPauses(t *testing.T) {
	s := newSimulation(t, testSettings(), 3)
	a, b, other := s.arrive(2, 5, 1), s.arrive(2, 5, 2), s.arrive(2, 6, 3)
	require(t, len(s.enginesOf(b)) == 0 && len(s.enginesOf(other)) == 1, "not exactly one job of each key is dispatched")
	s.finish(a, Reset)
	s.advance(250 * ms)
	require(t, len(s.enginesOf(b)) == 0, "dispatched during the pause of its key")
	s.advance(200 * ms)
	require(t, len(s.enginesOf(b)) == 1, "not dispatched after the pause of its key")
}

// Guards against a controller that cancels all attempts as overdue after it stalled.
func TestStalledControllerBlamesNoEngine(t *testing.T) {
	s := newSimulation(t, testSettings(), 3)
	id := s.arrive(0, 0, 1)
	s.now += 2 * second // the timer fires late, before the answer is read
	for timer := range s.timers {
		delete(s.timers, timer)
		s.handle(Event{Kind: TimerFired, TimerID: timer})
	}
	require(t, !s.jobs[id].attempts[0].cancelRequested, "canceled for our own stall")
	s.finish(id, Done)
	require(t, s.c.fleet.meanLatencyRatio < 1.1 && s.c.types[1].price == 0, "latency ratio %v, price %v",
		s.c.fleet.meanLatencyRatio, s.c.types[1].price)
}

// Guards against a job that was no head before a stall and then counts as waiting since time zero.
func TestStallDoesNotCountAsHeadWait(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.now += 3600 * second
	s.advance(5 * ms)
	var ids []JobID
	for range 8 {
		ids = append(ids, s.arrive(1, 0, 1))
	}
	s.now += 200 * ms
	for timer := range s.timers {
		delete(s.timers, timer)
		s.handle(Event{Kind: TimerFired, TimerID: timer})
	}
	s.finish(ids[0], Done) // the head is dispatched; the next job becomes the head now
	s.advance(40 * ms)
	require(t, s.c.types[1].price == 0 && !strings.Contains(s.logText, "overload"), "price %v: %s", s.c.types[1].price,
		s.logText)
}
