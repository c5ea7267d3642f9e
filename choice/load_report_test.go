package choice

import "testing"

// The failure: an uneven front or stopped siblings, and the controllers left kept to their small even share.
func TestShareFollowsLoadReports(t *testing.T) {
	s := newStage(t, plainSettings().set("balancers", 8.0), 1)
	e := s.c.engines[0]
	e.attempts, e.ownThreads = []*attempt{{job: &job{jobType: s.c.types[0]}, dispatchedAt: s.now + second}}, 2
	j := &job{jobType: s.c.types[1], bucket: &bucket{}}
	require(t, !s.c.hasCapacity(j, e), "its even share is one thread")
	for range 300 {
		s.c.applyLoadReport(e, []float64{1})
		s.pass(20 * ms)
	}
	require(t, s.c.fleet.share > 0.3 && s.c.hasCapacity(j, e), "share %v though the reports show no others",
		s.c.fleet.share)
}

// The failure: while siblings restart one after the other, some seconds each, the controllers left throttled a tenth of
// the jobs, as their share followed what they carried over four seconds only.
func TestShareFollowsFasterWithManyJobsOut(t *testing.T) {
	s := newStage(t, plainSettings().set("balancers", 3.0), 6)
	report := func(others float64) {
		for _, e := range s.c.engines {
			s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done,
				Load: []float64{float64(len(e.attempts)) + others}})
		}
	}
	for range 30 {
		s.arrive(0, 0, 0)
	}
	for range 10 { // two siblings carry as much
		report(10)
		s.pass(400 * ms)
	}
	require(t, s.c.fleet.share < 0.4, "share %v beside two siblings", s.c.fleet.share)
	for range 3 { // they are gone
		report(0)
		s.pass(400 * ms)
	}
	require(t, s.c.fleet.share > 0.6, "share %v 1.2 s after the siblings left", s.c.fleet.share)
}

// The failure: engines without a fresh report stayed as full as when last seen, and nothing was sent to look again.
func TestDispatchGoesOnWithoutLoadReports(t *testing.T) {
	f := plainSettings().set("balancers", 150.0).set("limits.probes", false)
	s := newStage(t, f, 24)
	s.c.fleet.contention = 3
	for _, e := range s.c.engines {
		e.siblingThreads = 24
	}
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "sent to a fleet that was full when last seen")
	s.pass(16 * second)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "nothing is sent for ever: %v", s.c.fleet.contention)
}

// The failure: where reports do not count jobs nothing of them was read, and siblings were thought to hold a multiple
// of what we hold: a fleet that had drained stayed refused for 15 s.
func TestGrantedMemoryShowsSiblingLoadWithoutJobCounts(t *testing.T) {
	for _, own := range []bool{true, false} { // whether grants are ours, or each engine's: a quarter over the estimate
		f := plainSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", own)
		s := newStage(t, f.set("balancers", 20.0), 1)
		id, e := s.arrive(1, 0, 1), s.c.engines[0]
		s.now += 100 * ms
		s.c.now = s.now
		granted := 1.0
		if !own {
			granted = 1.25
		}
		// jobs here are 200 MB on two threads
		s.c.applyLoadReport(e, []float64{0.1, granted * (e.ownMemoryMB + 800) / e.memoryMB})
		require(t, e.siblingThreads > 7.9 && e.siblingThreads < 8.1 && e.loadKnownAt == s.now, "others %v of 8",
			e.siblingThreads)
		s.c.applyLoadReport(e, []float64{1, granted * e.ownMemoryMB / e.memoryMB})
		require(t, e.siblingThreads < 0.01, "all busy, by ours alone: %v", e.siblingThreads)
		s.finish(id, Done)
		s.c.applyLoadReport(e, []float64{0, 2 * granted})
		require(t, len(s.enginesOf(s.arrive(1, 0, 2))) == 0, "twice its memory is granted")
		s.c.applyLoadReport(e, []float64{1, 0})
		require(t, len(s.enginesOf(s.arrive(1, 0, 3))) == 1, "drained, and used again at the first word of it")
	}
	for _, f := range []RawSettings{plainSettings().set("telemetry.fields", []any{"load_share"}), // busy cores alone
		// a share of what?
		plainSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.size_mb", []any{})} {
		s := newStage(t, f, 1)
		s.arrive(1, 0, 1)
		s.c.applyLoadReport(s.c.engines[0], []float64{1, 1})
		require(t, s.c.engines[0].loadKnownAt == 0, "taken for a report: others %v", s.c.engines[0].siblingThreads)
	}
}

// The failure: after a burst of 5 s the guess of what siblings hold outlived it; for 15 s engines that had drained were
// refused, nothing was sent and so nothing heard.
func TestSiblingEstimateFallsAfterBurst(t *testing.T) {
	for _, probes := range []bool{true, false} {
		f := plainSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false)
		s := newStage(t, f.set("balancers", 40.0).set("limits.probes", probes).set("tariffs",
			map[string]any{"probe": 0.01}), 12)
		before := s.playSteadyLoad(6*second, 0.04)
		require(t, before == 0, "%d refused in calm", before)
		burst := s.playSteadyLoad(5*second, 0.25)
		require(t, burst > 20, "%d refused in the burst, is it one?", burst)
		drained := s.playSteadyLoad(3*second, 0.04)
		after := s.playSteadyLoad(6*second, 0.04)
		require(t, after == before, "probes %v: refused %d before, %d in the burst, %d and then %d after it", probes,
			before, burst,
			drained, after)
	}
}
