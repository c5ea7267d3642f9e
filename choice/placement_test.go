package choice

import (
	"slices"
	"testing"
)

// The failure: a load stood still behind another load on its tables, and held memory and its key there.
func TestLoadAvoidsEngineWithOwnLoadOnItsTables(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	a, b, c := s.arrive(2, 1, 7), s.arrive(2, 2, 7), s.arrive(2, 3, 7)
	require(t, len(s.enginesOf(c)) == 0 && s.enginesOf(a)[0] != s.enginesOf(b)[0], "%v %v %v", s.enginesOf(a),
		s.enginesOf(b), s.enginesOf(c))
}

func TestMemoryGrantsLearnEstimateBias(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	grant := func() float64 {
		id := s.arriveAs(Event{Type: 0, TimeLeft: 2 * second, Cost: 100 * ms, CostKnown: true, MemoryMB: 100})
		g := s.acts[0].MemoryMB
		s.now += 100 * ms
		s.jobs[id].ev.MemoryMB = 300
		s.finish(id, Done)
		return g
	}
	first := grant()
	for range 50 {
		grant()
	}
	require(t, first < 150 && grant() > 290, "grants %v, then %v", first, grant())
}

// The failure: hundreds of controllers probed every engine all the time, and ranked the whole fleet for every job.
func TestSmallShareSamplesFewEnginesAndProbesForHeavyJobs(t *testing.T) {
	s := newStage(t, plainSettings().set("balancers", 200.0).set("tariffs", map[string]any{"probe": 0.01}), 40)
	s.slowProbes = true
	heavy := s.arrive(1, 0, 1)
	require(t, len(s.probes) > 0 && len(s.probes) <= minSampleSize && len(s.enginesOf(heavy)) == 0, "probes %v", s.probes)
	for _, e := range s.probes {
		s.handle(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{3}})
	}
	require(t, slices.Contains(s.probes, s.enginesOf(heavy)[0]), "goes where it looked: %v", s.enginesOf(heavy))
	s.probes = nil
	require(t, len(s.enginesOf(s.arrive(0, 0, 9))) == 1 && len(s.probes) == 0, "a light job does not bear probes")
	s.pass(5 * second)
	require(t, len(s.probes) == 0, "no probes without jobs: %v", s.probes)
}

// The failure: engines lost a part of their answers, were not ejected, and went on drawing jobs.
func TestEngineThatLosesAnswersIsChosenLess(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	for range 30 {
		s.c.recordOutcome(s.c.engines[0], Reset, 0)
		s.c.recordOutcome(s.c.engines[0], Done, 0)
	}
	require(t, !s.c.engines[0].ejected && s.enginesOf(s.arrive(0, 0, 1))[0] == 101, "chosen though it loses half")
}

// The failure: at a probe's price of 0.08 no job bore the probes of all engines that it looked at, so none was made,
// and each waiting head was refused by a guess: all engines alike, and fuller than they were.
func TestSamplePaysForAffordableProbesElseGoesByFleetMean(t *testing.T) {
	s := newStage(t, plainSettings().set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.08}), 30)
	s.slowProbes = true
	for range 9 { // worth 1 each: a probe costs more than they are worth
		s.finish(s.arrive(0, 0, 1), Done)
	}
	require(t, len(s.probes) == 0, "a light job bears none: %v", s.probes)
	id := s.arrive(1, 0, 1)
	require(t, len(s.probes) == 3, "a heavy one bears three: %v", s.probes)
	for _, e := range s.probes {
		s.handle(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{16}})
	}
	s.pass(50 * ms)
	require(t, len(s.enginesOf(id)) == 1, "not sent to what nobody filled")
	s.finish(id, Done)
	contend := func() { // those reported are full, the others thought to be all alike, over a thread a core
		for s.c.fleet.contention = 1.45; len(s.probes) > 0; s.probes = s.probes[1:] {
			s.handle(Event{Kind: ProbeCompleted, Engine: s.probes[0], Result: Done, Load: []float64{20}})
		}
		for _, e := range s.c.engines {
			if e.siblingThreads = 1.45 * e.cores; s.now-e.loadKnownAt < reportTTL {
				e.siblingThreads = 2 * e.cores
			}
		}
		s.c.fleet.contention = 1.45
	}
	contend()
	s.c.probeBudget.tokens = 2
	for id = s.arrive(1, 0, 1); s.c.probeBudget.tokens >= 1; contend() {
		require(t, len(s.enginesOf(id)) == 0, "sent while probes can be had")
		s.pass(350 * ms)
	}
	require(t, len(s.enginesOf(id)) == 0, "sent though it might have looked")
	s.pass(probeExhaustedAfter)
	require(t, len(s.enginesOf(id)) == 1, "refused on a guess though nobody can look: %+v", s.jobs[id])
}

// A dispatch says by when its first byte must go: the drain's grace from now, and what may have run, by the end of its
// window of repeats, where that is sooner.
func TestDispatchHasSendDeadline(t *testing.T) {
	f := plainSettings().set("invariants.drain_grace_ns", 4e8)
	class := f["classes"].([]any)[1].(map[string]any)
	class["idempotency"], class["repeat_window_ns"] = "by_key", 5e8
	s := newStage(t, f, 2)
	until := func() (at Nanos) {
		for _, a := range s.acts {
			if a.Kind == Dispatch {
				at = a.SendDeadline
			}
		}
		return at
	}
	for range 20 { // pays for a further dispatch
		s.finish(s.arrive(0, 0, 1), Done)
	}
	id := s.arrive(1, 7, 1)
	first := s.now
	require(t, until() == first+400*ms, "the first by %v after its order", until()-first)
	s.now += 200 * ms
	s.finish(id, Reset)
	require(t, until() == first+500*ms-2*s.c.settings.batchStep, "the next by %v after the first", until()-first)
}
