package choice

import (
	"strings"
	"testing"
)

// The failure: a job parked again after a dispatch counted its time there as waiting, and raised the price.
func TestJobParkedForRetryHasNotWaited(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.c.retryBudget.tokens = 5
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	id := s.arrive(1, 0, 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready})
	s.now += 3 * second
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	s.finish(id, Reset)
	s.pass(20 * ms)
	require(t, len(s.enginesOf(id)) == 1, "sent %v", s.enginesOf(id))
	require(t, s.c.jobs[id].parked && s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

func TestOrderedKeyRunsOneJobAtATimeAndPauses(t *testing.T) {
	s := newStage(t, plainSettings(), 3)
	a, b, other := s.arrive(2, 5, 1), s.arrive(2, 5, 2), s.arrive(2, 6, 3)
	require(t, len(s.enginesOf(b)) == 0 && len(s.enginesOf(other)) == 1, "one at a time for each key")
	s.finish(a, Reset)
	s.pass(250 * ms)
	require(t, len(s.enginesOf(b)) == 0, "the key rests")
	s.pass(200 * ms)
	require(t, len(s.enginesOf(b)) == 1, "and goes on after it")
}

// The failure: a controller that stood still took all that was out for lost when it went on, and called it back.
func TestStalledControllerBlamesNoEngine(t *testing.T) {
	s := newStage(t, plainSettings(), 3)
	id := s.arrive(0, 0, 1)
	s.now += 2 * second // its timer comes late, behind it the answer
	for mark := range s.timers {
		delete(s.timers, mark)
		s.handle(Event{Kind: TimerFired, TimerID: mark})
	}
	require(t, !s.jobs[id].attempts[0].cancelRequested, "canceled for our own stall")
	s.finish(id, Done)
	require(t, s.c.fleet.meanLatencyRatio < 1.1 && s.c.types[1].price == 0, "latency/best %v, price %v",
		s.c.fleet.meanLatencyRatio, s.c.types[1].price)
}

// The failure: after a stall, a job that had not yet been a head seemed to have waited since the clock's zero.
func TestStallDoesNotCountAsHeadWait(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.now += 3600 * second
	s.pass(5 * ms)
	var ids []JobID
	for range 8 {
		ids = append(ids, s.arrive(1, 0, 1))
	}
	s.now += 200 * ms
	for mark := range s.timers {
		delete(s.timers, mark)
		s.handle(Event{Kind: TimerFired, TimerID: mark})
	}
	s.finish(ids[0], Done) // the head goes, and the next is one from now on
	s.pass(40 * ms)
	require(t, s.c.types[1].price == 0 && !strings.Contains(s.logText, "overload"), "price %v: %s", s.c.types[1].price,
		s.logText)
}
