package choice

import "testing"

func TestJobBelowLimitIsDispatchedAtOnce(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	id := s.arrive(0, 0, 1)
	require(t, len(s.enginesOf(id)) == 1, "not sent")
	terms := s.acts[len(s.acts)-2]
	require(t, terms.Kind == SetDispatchOptions && terms.Priority == 3, "a quick type goes at the highest priority: %+v",
		s.acts)
}

func TestBucketLimitFollowsCoresShareAndTenants(t *testing.T) {
	s := newStage(t, plainSettings(), 3)
	s.arrive(0, 0, 1)
	require(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2, "limit %v", s.c.bucketLimit(&bucket{}))
	s.arriveAs(Event{Type: 0, Tenant: 1, TimeLeft: second, Cost: ms, CostKnown: true})
	require(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2/2, "limit %v with two tenants", s.c.bucketLimit(&bucket{}))
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	require(t, s.c.bucketLimit(&bucket{}) == 2*8*2/2/2, "live limit %v", s.c.bucketLimit(&bucket{}))
}

func TestJobBeyondCapacityIsParkedAndFreedBucketGoesFirst(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	var ids []JobID
	for range 6 { // two threads each, twice the start is eight
		ids = append(ids, s.arrive(1, 0, 1))
	}
	require(t, len(s.enginesOf(ids[3])) == 1 && len(s.enginesOf(ids[4])) == 0, "four fit")
	s.arrive(2, 9, 2)
	s.now += 100 * ms
	s.finish(ids[0], Done)
	require(t, len(s.enginesOf(ids[4])) == 1 && len(s.enginesOf(ids[5])) == 0, "the freed bucket's head leaves, alone")
}

func TestFullQueueThrottlesAndSweepEndsExpiredJobs(t *testing.T) {
	s := newStage(t, plainSettings(), 0)
	short := s.arrive(0, 0, 1)
	for range maxBucketQueue {
		s.arrive(1, 0, 1)
	}
	id := s.arrive(1, 0, 1)
	require(t, s.jobs[id].endedBy == Throttle && s.acts[0].Duration == second, "not throttled with a retry-after: %+v",
		s.acts)
	s.pass(3 * second)
	require(t, s.jobs[short].endedBy == Throttle, "a job never sent is throttled, not cancelled for good")
}

// The failure: a job that comes with next to no time left outlived it until the next sweep.
func TestJobWithoutTimeLeftIsThrottledAtOnce(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	id := s.arriveAs(Event{Type: 0, TimeLeft: 0, Cost: 1, CostKnown: true})
	require(t, s.jobs[id].endedBy == Throttle, "answered by %v", s.jobs[id].endedBy)
}

// The failure: long jobs that waited when a controller was told to stop were killed with it; throttled at once, their
// clients find another in time.
func TestJobThatOutlastsShutdownIsThrottledAtOnce(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.c.engines[0].fullUntil = s.now + 100*second // nothing is sent for now
	long, short := s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true}), s.arrive(0, 0, 0)
	s.pass(100 * ms)
	require(t, !s.jobs[long].ended && !s.jobs[short].ended, "both wait")
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.pass(100 * ms)
	require(t, s.jobs[long].ended && s.jobs[long].endedBy == Throttle && !s.jobs[short].ended, "%+v %+v", s.jobs[long],
		s.jobs[short])
	long = s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true})
	require(t, s.jobs[long].ended && s.jobs[long].endedBy == Throttle, "one that comes later: %+v", s.jobs[long])
}

// The failure: jobs that were out at engines which hung when a controller was told to stop were killed with it, as
// their own time went on for longer. They are answered in time, and what is out for them is canceled.
func TestJobThatIsOutAtTheEndOfAShutdownIsAnswered(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	repeatable := s.arriveAs(Event{Type: 0, TimeLeft: 20 * second, Cost: ms, CostKnown: true})
	once := s.arriveAs(Event{Type: 2, TimeLeft: 20 * second, Cost: ms, CostKnown: true})
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.pass(2900 * ms)
	require(t, !s.jobs[once].ended, "answered long before the end: %+v", s.jobs[once])
	s.pass(100 * ms)
	for id, want := range map[JobID]ActionKind{repeatable: Throttle, once: CancelPermanently} {
		require(t, s.jobs[id].ended && s.jobs[id].endedBy == want, "job %d: %+v", id, s.jobs[id])
	}
}

// The failure: waiting for a key's turn counted as overload, and other types were throttled for it.
func TestWaitForOrderingKeyIsNoOverload(t *testing.T) {
	s := newStage(t, plainSettings(), 3)
	for range 5 {
		s.arrive(2, 5, 1)
	}
	s.pass(2 * second)
	require(t, s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

// The failure: jobs whose clients wait little were sent to engines too slow for them, timed out and were wasted; and
// what is refused for the slowness of its type teaches nothing, so that it was refused for ever.
func TestSlowTypeIsShedButRecovers(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	s.c.types[1].slowdown, s.c.types[1].lastLatencyAt = 3, s.now
	short := func() JobID {
		return s.arriveAs(Event{Type: 1, TimeLeft: 1500 * ms, Cost: 2 * second, CostKnown: true})
	}
	id := short() // 2 s on two threads
	require(t, s.jobs[id].endedBy == Throttle && len(s.enginesOf(id)) == 0, "sent %v", s.enginesOf(id))
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "one with time is sent")
	s.pass(3 * second)
	id = short()
	require(t, len(s.enginesOf(id)) == 0, "sent while its type is known to be slow")
	s.pass(22 * second) // the first is given up at its job timeout
	require(t, len(s.enginesOf(short())) == 1, "slow %v still, untaught", s.c.types[1].slowdown)
}

// The failure: heads of a type bound to full engines made the price of all jobs rise, also of those others had room
// for.
func TestHeadWaitPricesOnlyTypesWithTheSamePlaces(t *testing.T) {
	f := plainSettings()
	f.list("classes")[1].(map[string]any)["kinds_only"] = []any{1.0}
	s := newStage(t, f.set("domain.cpu_of_kind", []any{8.0, 8.0}).set("domain.size_mb", []any{16000.0, 16000.0}), 2)
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, Kind: 1, Zone: 1})
	s.c.engines[1].fullUntil = s.now + 100*second
	id := s.arrive(1, 0, 1)
	s.pass(2 * second)
	require(t, len(s.enginesOf(id)) == 0 && s.c.types[1].price > 0, "bound type: sent %v, price %v", s.enginesOf(id),
		s.c.types[1].price)
	require(t, s.c.types[0].price == 0 && s.c.types[2].price == 0, "prices %v %v", s.c.types[0].price, s.c.types[2].price)
	s.c.engines[0].fullUntil = s.now + 100*second
	s.arrive(2, 0, 2)
	s.pass(2 * second)
	require(t, s.c.types[0].price > 0, "all engines are full: price %v", s.c.types[0].price)
}
