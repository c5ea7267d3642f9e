package choice

import "testing"

func TestConcurrencyLimitBindsUnderPressureRisesAndHalves(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	e := s.c.engines[0]
	require(t, e.concurrencyLimit == 4 && !e.underPressure, "starts at cores by share")
	j := &job{jobType: s.c.types[1], work: float64(second), bucket: &bucket{}}
	f := &attempt{job: j, engine: e, expectedNanos: 1e9}
	s.now += second
	s.c.now = s.now
	s.c.observeSuccess(f, Event{Latency: 450 * ms})
	require(t, e.concurrencyLimit == 5, "widens by a thread near best: %v", e.concurrencyLimit)
	for i := range 80 {
		if s.c.observeSuccess(f, Event{Latency: 6 * second}); i == 40 {
			require(t, !e.underPressure && e.concurrencyLimit == 5, "latency that grew with few threads there is no crowding")
			e.concurrencyLimit, e.ownThreads, e.attempts = 8, 9, []*attempt{f}
		}
	}
	require(t, e.underPressure && e.concurrencyLimit == 4, "pressed %v, halved once to %v", e.underPressure,
		e.concurrencyLimit)
	e.ownThreads, j.jobType.threads = 3, 3
	require(t, !s.c.hasCapacity(j, e), "the bound binds under pressure")
	e.underPressure = false
	require(t, s.c.hasCapacity(j, e), "without pressure it does not")
	j.bucket.threadsInUse = 100
	require(t, !s.c.hasCapacity(j, e), "but for a borrower")
}

// The failure: a job of many threads never fitted a small share of a small engine beside a single lookup.
func TestJobFitsIfHalfOfItsThreadsDo(t *testing.T) {
	f := plainSettings().set("balancers", 4.0).set("domain.class_threads", []any{1.0, 4.0, 2.0})
	s := newStage(t, f, 1)
	s.arrive(0, 0, 1)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "four threads beside one, where four are the most")
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "but no further job")
}

// The failure: in a burst each of five controllers put one long job on every engine, past its memory and cores.
func TestFirstJobRespectsSiblingLoad(t *testing.T) {
	s := newStage(t, plainSettings().set("balancers", 5.0), 1)
	e := s.c.engines[0]
	e.siblingThreads, e.loadKnownAt = 18, s.now
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "siblings hold 18 threads on 8 cores")
	e.siblingThreads, e.loadKnownAt, s.c.ownLoad.threads, s.c.ownLoad.memoryMB = 8, s.now, 1, 3000
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 0, "siblings hold all its memory")
	s.pass(15 * second)
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "an old report fades: %v", e.siblingThreads)
}
