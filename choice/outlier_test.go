package choice

import (
	"slices"
	"testing"
)

// The failure: the way to all engines lost a part of the answers, and three in a row set engines aside by chance.
func TestEjectionThresholdRisesWithFleetFailureRate(t *testing.T) {
	s := newStage(t, plainSettings(), 6)
	s.c.fleet.meanFailureRate = 0.3
	e := s.c.engines[0]
	for range 5 {
		s.c.recordOutcome(e, TimedOut, 0)
	}
	require(t, !e.ejected, "ejected after %d", e.consecutiveFailures)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected, "six in a row are no chance")
}

func TestNoMoreThanAThirdOfTheFleetIsEjected(t *testing.T) {
	s := newStage(t, plainSettings(), 6)
	for range 60 {
		id := s.arrive(0, 0, 1)
		for len(s.enginesOf(id)) > 0 && s.jobs[id].out() {
			s.finish(id, Failed)
		}
	}
	in := slices.DeleteFunc(slices.Clone(s.c.engines), func(e *engine) bool { return e.ejected })
	require(t, len(in) == 4, "%d of 6 left", len(in))
}

// The failure: a keyed job on a silent engine waited for its job timeout though its group drops repeats.
func TestEjectionCancelsRepeatableAttemptsOnly(t *testing.T) {
	f := plainSettings()
	f.list("classes")[1].(map[string]any)["idempotency"] = "by_key"
	s := newStage(t, f, 4)
	keyed, once := s.arrive(1, 0, 1), s.arrive(2, 1, 2)
	s.c.eject(s.c.jobs[keyed].attempt.engine, false)
	s.c.eject(s.c.jobs[once].attempt.engine, true)
	require(t, s.c.jobs[keyed].attempt.cancelRequested && !s.c.jobs[once].attempt.cancelRequested,
		"keyed canceled, run-once waited for")
}

// The failure: an engine takes jobs and answers none, and looks emptiest.
func TestSilentEngineIsEjectedAndRestoredAfterProbes(t *testing.T) {
	s := newStage(t, plainSettings(), 3)
	s.c.retryBudget.tokens = 5
	id := s.arrive(0, 0, 1)
	e := s.c.jobs[id].attempt.engine
	s.pass(500 * ms) // over half its SLA time, four times what it should take
	require(t, e.consecutiveFailures == 1 && s.jobs[id].attempts[0].cancelRequested,
		"lost dispatches count against their engine")
	s.c.recordOutcome(e, TimedOut, 0)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected, "three lost in a row")
	s.pass(3 * second)
	require(t, !e.ejected, "not back after probes: %v", s.logText)
	s.c.recordOutcome(e, TimedOut, 0)
	require(t, e.ejected && e.ejectionTime == 2*minEjectionTime, "one failure more sets it aside for twice as long")
}
