package choice

import "testing"

func TestConcurrencyLimitBindsUnderPressureRisesAndHalves(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	e := s.c.engines[0]
	require(t, e.concurrencyLimit == 4 && !e.underPressure, "the limit does not start at our share of the cores")
	j := &job{jobType: s.c.types[1], work: float64(second), bucket: &bucket{}}
	a := &attempt{job: j, engine: e, expectedDuration: 1e9}
	s.now += second
	s.c.now = s.now
	s.c.observeSuccess(a, Event{Latency: 450 * ms})
	require(t, e.concurrencyLimit == 5, "the limit does not rise by one thread near the best latency: %v",
		e.concurrencyLimit)
	for i := range 80 {
		if s.c.observeSuccess(a, Event{Latency: 6 * second}); i == 40 {
			require(t, !e.underPressure && e.concurrencyLimit == 5,
				"latency that grew while few threads are in use counts as pressure")
			e.concurrencyLimit, e.ownThreads, e.attempts = 8, 9, []*attempt{a}
		}
	}
	require(t, e.underPressure && e.concurrencyLimit == 4, "pressure %v, limit %v, want it halved once", e.underPressure,
		e.concurrencyLimit)
	e.ownThreads, j.jobType.threads = 3, 3
	require(t, !s.c.hasCapacity(j, e), "the limit is not enforced under pressure")
	e.underPressure = false
	require(t, s.c.hasCapacity(j, e), "the limit is enforced without pressure")
	j.bucket.threadsInUse = 100
	require(t, !s.c.hasCapacity(j, e), "the limit is not enforced for a bucket that borrows")
}

// Guards against a job of many threads that never fits a small share of a small engine beside a single short job.
func TestJobFitsIfHalfOfItsThreadsDo(t *testing.T) {
	raw := testSettings().set("balancers", 4.0).set("domain.class_threads", []any{1.0, 4.0, 2.0})
	s := newSimulation(t, raw, 1)
	s.arrive(0, 0, 1)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "four threads do not fit beside one under a limit of four")
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "a further job fits")
}

// Guards against five controllers that each place one long job on every engine in a burst, beyond its memory and cores.
func TestFirstJobRespectsPeerLoad(t *testing.T) {
	s := newSimulation(t, testSettings().set("balancers", 5.0), 1)
	e := s.c.engines[0]
	e.peerThreads, e.loadKnownAt = 18, s.now
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "dispatched though peers use 18 threads on 8 cores")
	e.peerThreads, e.loadKnownAt, s.c.ownLoad.threads, s.c.ownLoad.memoryMB = 8, s.now, 1, 3000
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "dispatched though peers use all its memory")
	s.advance(15 * second)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "an expired report does not decay: %v", e.peerThreads)
}
