package choice

import (
	"slices"
	"testing"
)

// Guards against ejecting engines for three accidental failures in a row where the network loses some answers of all.
func TestEjectionThresholdRisesWithFleetFailureRate(t *testing.T) {
	s := newSimulation(t, testSettings(), 6)
	s.c.fleet.meanFailureRate = 0.3
	e := s.c.engines[0]
	for range 5 {
		s.c.recordOutcome(e, TimedOut, 0)
	}
	require(t, !e.ejected, "ejected after %d", e.consecutiveFailures)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected, "not ejected after six consecutive failures")
}

func TestNoMoreThanAThirdOfTheFleetIsEjected(t *testing.T) {
	s := newSimulation(t, testSettings(), 6)
	for range 60 {
		id := s.arrive(0, 0, 1)
		for len(s.enginesOf(id)) > 0 && s.jobs[id].inFlight() {
			s.finish(id, Failed)
		}
	}
	active := slices.DeleteFunc(slices.Clone(s.c.engines), func(e *engine) bool { return e.ejected })
	require(t, len(active) == 4, "%d of 6 are not ejected", len(active))
}

// Guards against a keyed job that waits at an unresponsive engine for its job timeout although engines drop repeats.
func TestEjectionCancelsRepeatableAttemptsOnly(t *testing.T) {
	raw := testSettings()
	raw.list("classes")[1].(map[string]any)["idempotency"] = "by_key"
	s := newSimulation(t, raw, 4)
	keyed, once := s.arrive(1, 0, 1), s.arrive(2, 1, 2)
	s.c.eject(s.c.jobs[keyed].attempt.engine, false)
	s.c.eject(s.c.jobs[once].attempt.engine, true)
	require(t, s.c.jobs[keyed].attempt.cancelRequested && !s.c.jobs[once].attempt.cancelRequested,
		"want the keyed attempt canceled and the run-once attempt not")
}

// Guards against an engine that accepts jobs, never answers, and is preferred because it looks idle.
func TestSilentEngineIsEjectedAndRestoredAfterProbes(t *testing.T) {
	s := newSimulation(t, testSettings(), 3)
	s.c.retryBudget.tokens = 5
	id := s.arrive(0, 0, 1)
	e := s.c.jobs[id].attempt.engine
	s.advance(500 * ms) // over half the latency objective and four times the expected duration
	require(t, e.consecutiveFailures == 1 && s.jobs[id].attempts[0].cancelRequested,
		"an overdue attempt does not count against its engine")
	s.c.recordOutcome(e, TimedOut, 0)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected, "not ejected after three consecutive failures")
	s.advance(3 * second)
	require(t, !e.ejected, "not restored after probes: %v", s.logText)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected && e.ejectionTime == 2*minEjectionTime, "one more failure does not eject it for twice as long")
}
