package choice

import "testing"

// slowJobs is how many jobs of each process take far longer than their estimates, and time after time.
const (
	slowJobs    = 60
	slowJobCost = 10 * ms // as its client estimates it
	slowJobTime = 500 * ms
)

// playSlowJobs plays jobs that take fifty times their estimates, and returns how many attempts were cancelled for
// another one.
func playSlowJobs(s *stage) (cancelled int) {
	for range slowJobs {
		id := s.arriveAs(Event{Type: 0, TimeLeft: 2 * second, Cost: slowJobCost, CostKnown: true, MemoryMB: 10})
		for s.pass(slowJobTime); s.jobs[id].out(); {
			for _, attempt := range s.jobs[id].attempts {
				if attempt.cancelRequested && !attempt.ended {
					cancelled++
				}
			}
			s.finish(id, Done)
		}
	}
	return cancelled
}

// What `make proof-rollout` shows with processes: a process that knows what its predecessor has learned takes no
// attempt for lost that only takes as long as such jobs do; one that does not know it cancels some to try them again.
func TestAProcessThatKnowsItsPredecessorsStateRetriesLess(t *testing.T) {
	predecessor := newStage(t, plainSettings(), 2)
	if untaught := playSlowJobs(predecessor); untaught == 0 {
		t.Error("a process that knows nothing cancels nothing: the test shows nothing")
	}
	successor := newStage(t, plainSettings(), 2)
	successor.handle(Event{Kind: StateTransferred, TypeStats: predecessor.c.TypeStats(),
		EngineHealth: predecessor.c.EngineHealth()})
	if taught := playSlowJobs(successor); taught > 0 {
		t.Errorf("%d attempts are cancelled by a process that knows how long they take", taught)
	}
}
