package choice

import "testing"

const (
	slowJobs    = 60      // of each process
	slowJobCost = 10 * ms // by its client's estimate
	slowJobTime = 500 * ms
)

// playSlowJobs runs jobs that take fifty times their estimates, and returns the number of attempts that were canceled
// to be retried.
func playSlowJobs(s *simulation) (canceled int) {
	for range slowJobs {
		id := s.arriveAs(Event{Type: 0, TimeLeft: 2 * second, Cost: slowJobCost, CostKnown: true, MemoryMB: 10})
		for s.advance(slowJobTime); s.jobs[id].inFlight(); {
			for _, attempt := range s.jobs[id].attempts {
				if attempt.cancelRequested && !attempt.ended {
					canceled++
				}
			}
			s.finish(id, Done)
		}
	}
	return canceled
}

// A successor that restored its predecessor's statistics knows how long jobs take, and cancels none as overdue. A
// process without statistics cancels and retries some. `make proof-rollout` shows the same with real processes.
func TestAProcessThatKnowsItsPredecessorsStateRetriesLess(t *testing.T) {
	predecessor := newSimulation(t, testSettings(), 2)
	if withoutState := playSlowJobs(predecessor); withoutState == 0 {
		t.Error("a process without statistics cancels nothing, so the test proves nothing")
	}
	successor := newSimulation(t, testSettings(), 2)
	successor.handle(Event{Kind: StateTransferred, TypeStats: predecessor.c.TypeStats(),
		EngineHealth: predecessor.c.EngineHealth()})
	if withState := playSlowJobs(successor); withState > 0 {
		t.Errorf("%d attempts are canceled by a process that restored statistics", withState)
	}
}
