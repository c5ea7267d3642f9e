package choice

import (
	"slices"
	"testing"
)

// Guards against a load that blocks behind another load on the same tables and holds memory and its key meanwhile.
func TestLoadAvoidsEngineWithOwnLoadOnItsTables(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	a, b, c := s.arrive(2, 1, 7), s.arrive(2, 2, 7), s.arrive(2, 3, 7)
	require(t, len(s.enginesOf(c)) == 0 && s.enginesOf(a)[0] != s.enginesOf(b)[0], "%v %v %v", s.enginesOf(a),
		s.enginesOf(b), s.enginesOf(c))
}

func TestMemoryGrantsLearnEstimateBias(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	grant := func() float64 {
		id := s.arriveAs(Event{Type: 0, TimeLeft: 2 * second, Cost: 100 * ms, CostKnown: true, MemoryMB: 100})
		granted := s.actions[0].MemoryMB
		s.now += 100 * ms
		s.jobs[id].ev.MemoryMB = 300
		s.finish(id, Done)
		return granted
	}
	first := grant()
	for range 50 {
		grant()
	}
	require(t, first < 150 && grant() > 290, "grants %v, then %v", first, grant())
}

// Guards against hundreds of controllers that probe every engine all the time and rank the whole fleet for every job.
func TestSmallShareSamplesFewEnginesAndProbesForHeavyJobs(t *testing.T) {
	s := newSimulation(t, testSettings().set("balancers", 200.0).set("tariffs", map[string]any{"probe": 0.01}), 40)
	s.manualProbes = true
	heavy := s.arrive(1, 0, 1)
	require(t, len(s.probes) > 0 && len(s.probes) <= minSampleSize && len(s.enginesOf(heavy)) == 0, "probes %v", s.probes)
	for _, e := range s.probes {
		s.handle(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{3}})
	}
	require(t, slices.Contains(s.probes, s.enginesOf(heavy)[0]), "not dispatched to a probed engine: %v",
		s.enginesOf(heavy))
	s.probes = nil
	require(t, len(s.enginesOf(s.arrive(0, 0, 9))) == 1 && len(s.probes) == 0,
		"a low-value job paid for probes, or was not dispatched")
	s.advance(5 * second)
	require(t, len(s.probes) == 0, "no probes without jobs: %v", s.probes)
}

// Guards against preferring engines that lose some of their answers, too few for an ejection.
func TestEngineThatLosesAnswersIsChosenLess(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	for range 30 {
		s.c.recordOutcome(s.c.engines[0], Reset, 0)
		s.c.recordOutcome(s.c.engines[0], Done, 0)
	}
	require(t, !s.c.engines[0].ejected && s.enginesOf(s.arrive(0, 0, 1))[0] == 101,
		"ejected, or chosen though it loses half of its answers")
}

// Guards against sending no probes where a job cannot pay for all engines of its sample, as at a probe price of 0.08.
// Parked heads then waited because of an estimate that was the same for all engines, and too high.
func TestSamplePaysForAffordableProbesElseGoesByFleetMean(t *testing.T) {
	s := newSimulation(t, testSettings().set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.08}), 30)
	s.manualProbes = true
	for range 9 { // a value of 1 each: too little for a probe
		s.finish(s.arrive(0, 0, 1), Done)
	}
	require(t, len(s.probes) == 0, "a low-value job paid for probes: %v", s.probes)
	id := s.arrive(1, 0, 1)
	require(t, len(s.probes) == 3, "a high-value job did not pay for three probes: %v", s.probes)
	for _, e := range s.probes {
		s.handle(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{16}})
	}
	s.advance(50 * ms)
	require(t, len(s.enginesOf(id)) == 1, "not dispatched to an engine with capacity")
	s.finish(id, Done)
	setContention := func() { // reported engines are full; the others count as equally loaded, above a thread per core
		for s.c.fleet.contention = 1.45; len(s.probes) > 0; s.probes = s.probes[1:] {
			s.handle(Event{Kind: ProbeCompleted, Engine: s.probes[0], Result: Done, Load: []float64{20}})
		}
		for _, e := range s.c.engines {
			if e.peerThreads = 1.45 * e.cores; s.now-e.loadKnownAt < reportTTL {
				e.peerThreads = 2 * e.cores
			}
		}
		s.c.fleet.contention = 1.45
	}
	setContention()
	s.c.probeBudget.tokens = 2
	for id = s.arrive(1, 0, 1); s.c.probeBudget.tokens >= 1; setContention() {
		require(t, len(s.enginesOf(id)) == 0, "dispatched while probes are possible")
		s.advance(350 * ms)
	}
	require(t, len(s.enginesOf(id)) == 0, "dispatched without a probe though probes are possible")
	s.advance(probeExhaustedAfter)
	require(t, len(s.enginesOf(id)) == 1, "not dispatched, by an estimate alone, though no probes are possible: %+v",
		s.jobs[id])
}

// A dispatch carries the time by which its first byte must be sent: within the drain grace, and for a job that may have
// run also within its repeat window.
func TestDispatchHasSendDeadline(t *testing.T) {
	raw := testSettings().set("invariants.drain_grace_ns", 4e8)
	class := raw["classes"].([]any)[1].(map[string]any)
	class["idempotency"], class["repeat_window_ns"] = "by_key", 5e8
	s := newSimulation(t, raw, 2)
	lastSendDeadline := func() (at Nanos) {
		for _, a := range s.actions {
			if a.Kind == Dispatch {
				at = a.SendDeadline
			}
		}
		return at
	}
	for range 20 { // earns a retry
		s.finish(s.arrive(0, 0, 1), Done)
	}
	id := s.arrive(1, 7, 1)
	first := s.now
	require(t, lastSendDeadline() == first+400*ms, "the first send deadline is %v after its dispatch",
		lastSendDeadline()-first)
	s.now += 200 * ms
	s.finish(id, Reset)
	require(t, lastSendDeadline() == first+500*ms-2*s.c.settings.maxEventDelay,
		"the next send deadline is %v after the first dispatch", lastSendDeadline()-first)
}
