package choice

import "testing"

// Guards against a controller that keeps to its even share when traffic is uneven or peers have stopped.
func TestShareFollowsLoadReports(t *testing.T) {
	s := newSimulation(t, testSettings().set("balancers", 8.0), 1)
	e := s.c.engines[0]
	e.attempts, e.ownThreads = []*attempt{{job: &job{jobType: s.c.types[0]}, dispatchedAt: s.now + second}}, 2
	j := &job{jobType: s.c.types[1], bucket: &bucket{}}
	require(t, !s.c.hasCapacity(j, e), "a job fits beyond the even share of one thread")
	for range 300 {
		s.c.applyLoadReport(e, []float64{1})
		s.advance(20 * ms)
	}
	require(t, s.c.fleet.share > 0.3 && s.c.hasCapacity(j, e), "share %v though load reports show no peers",
		s.c.fleet.share)
}

// Guards against throttling while peers restart one after the other, some seconds each. A share that followed the own
// load with a time constant of four seconds was too slow, and a tenth of the jobs were throttled.
func TestShareFollowsFasterWithManyJobsInFlight(t *testing.T) {
	s := newSimulation(t, testSettings().set("balancers", 3.0), 6)
	report := func(peers float64) {
		for _, e := range s.c.engines {
			s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done,
				Load: []float64{float64(len(e.attempts)) + peers}})
		}
	}
	for range 30 {
		s.arrive(0, 0, 0)
	}
	for range 10 { // two peers with the same load each
		report(10)
		s.advance(400 * ms)
	}
	require(t, s.c.fleet.share < 0.4, "share %v with two peers", s.c.fleet.share)
	for range 3 { // the peers have stopped
		report(0)
		s.advance(400 * ms)
	}
	require(t, s.c.fleet.share > 0.6, "share %v 1.2 s after the peers stopped", s.c.fleet.share)
}

// Guards against engines that count as full for ever because nothing is dispatched that would bring a fresh report.
func TestDispatchGoesOnWithoutLoadReports(t *testing.T) {
	raw := testSettings().set("balancers", 150.0).set("limits.probes", false)
	s := newSimulation(t, raw, 24)
	s.c.fleet.contention = 3
	for _, e := range s.c.engines {
		e.peerThreads = 24
	}
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "dispatched to a fleet that was full by its last reports")
	s.advance(16 * second)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "still nothing is dispatched: %v", s.c.fleet.contention)
}

// Guards against ignoring reports without a job count. Peers were then assumed to hold a multiple of our load, and
// an idle fleet got no jobs for 15 s after a burst.
func TestGrantedMemoryShowsPeerLoadWithoutJobCounts(t *testing.T) {
	for _, setByUs := range []bool{true, false} { // false: engines set grants, a quarter over the estimate
		raw := testSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", setByUs)
		s := newSimulation(t, raw.set("balancers", 20.0), 1)
		id, e := s.arrive(1, 0, 1), s.c.engines[0]
		s.now += 100 * ms
		s.c.now = s.now
		granted := 1.0
		if !setByUs {
			granted = 1.25
		}
		// a job uses 200 MB and two threads
		s.c.applyLoadReport(e, []float64{0.1, granted * (e.ownMemoryMB + 800) / e.memoryMB})
		require(t, e.peerThreads > 7.9 && e.peerThreads < 8.1 && e.loadKnownAt == s.now, "peer threads %v, want 8",
			e.peerThreads)
		s.c.applyLoadReport(e, []float64{1, granted * e.ownMemoryMB / e.memoryMB})
		require(t, e.peerThreads < 0.01, "peer threads %v, want 0: all granted memory is ours", e.peerThreads)
		s.finish(id, Done)
		s.c.applyLoadReport(e, []float64{0, 2 * granted})
		require(t, len(s.enginesOf(s.arrive(1, 0, 2))) == 0, "dispatched though twice its memory is granted")
		s.c.applyLoadReport(e, []float64{1, 0})
		require(t, len(s.enginesOf(s.arrive(1, 0, 3))) == 1, "not dispatched at the first report of an idle engine")
	}
	for _, raw := range []RawSettings{testSettings().set("telemetry.fields", []any{"load_share"}), // only the busy cores
		// granted memory of an engine of unknown size
		testSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.size_mb", []any{})} {
		s := newSimulation(t, raw, 1)
		s.arrive(1, 0, 1)
		s.c.applyLoadReport(s.c.engines[0], []float64{1, 1})
		require(t, s.c.engines[0].loadKnownAt == 0, "used as a load report: peer threads %v",
			s.c.engines[0].peerThreads)
	}
}

// Guards against an estimate of peer load that outlasts a burst of 5 s. For 15 s nothing was dispatched to idle
// engines, and so no fresh report came in.
func TestPeerEstimateFallsAfterBurst(t *testing.T) {
	for _, probes := range []bool{true, false} {
		raw := testSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false)
		s := newSimulation(t, raw.set("balancers", 40.0).set("limits.probes", probes).set("tariffs",
			map[string]any{"probe": 0.01}), 12)
		before := s.playSteadyLoad(6*second, 0.04)
		require(t, before == 0, "%d throttled at low load", before)
		burst := s.playSteadyLoad(5*second, 0.25)
		require(t, burst > 20, "%d throttled in the burst, too few for an overload", burst)
		drained := s.playSteadyLoad(3*second, 0.04)
		after := s.playSteadyLoad(6*second, 0.04)
		require(t, after == before, "probes %v: throttled %d before, %d in the burst, %d and then %d after it", probes,
			before, burst,
			drained, after)
	}
}
