package choice

import "testing"

func TestJobBelowLimitIsDispatchedAtOnce(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	id := s.arrive(0, 0, 1)
	require(t, len(s.enginesOf(id)) == 1, "not dispatched")
	options := s.actions[len(s.actions)-2]
	require(t, options.Kind == SetDispatchOptions && options.Priority == 3,
		"a short type does not get the highest priority: %+v", s.actions)
}

func TestBucketLimitFollowsCoresShareAndTenants(t *testing.T) {
	s := newSimulation(t, testSettings(), 3)
	s.arrive(0, 0, 1)
	require(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2, "limit %v", s.c.bucketLimit(&bucket{}))
	s.arriveAs(Event{Type: 0, Tenant: 1, TimeLeft: second, Cost: ms, CostKnown: true})
	require(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2/2, "limit %v with two tenants", s.c.bucketLimit(&bucket{}))
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	require(t, s.c.bucketLimit(&bucket{}) == 2*8*2/2/2, "limit %v after an engine began to drain",
		s.c.bucketLimit(&bucket{}))
}

func TestJobBeyondCapacityIsParkedAndFreedBucketGoesFirst(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	var ids []JobID
	for range 6 { // two threads each; the limit without pressure is eight
		ids = append(ids, s.arrive(1, 0, 1))
	}
	require(t, len(s.enginesOf(ids[3])) == 1 && len(s.enginesOf(ids[4])) == 0, "not exactly four jobs were dispatched")
	s.arrive(2, 9, 2)
	s.now += 100 * ms
	s.finish(ids[0], Done)
	require(t, len(s.enginesOf(ids[4])) == 1 && len(s.enginesOf(ids[5])) == 0,
		"not only the head of the freed bucket was dispatched")
}

func TestFullQueueThrottlesAndSweepEndsExpiredJobs(t *testing.T) {
	s := newSimulation(t, testSettings(), 0)
	short := s.arrive(0, 0, 1)
	for range maxParkedPerBucket {
		s.arrive(1, 0, 1)
	}
	id := s.arrive(1, 0, 1)
	require(t, s.jobs[id].endedBy == Throttle && s.actions[0].Duration == second, "not throttled with Retry-After: %+v",
		s.actions)
	s.advance(3 * second)
	require(t, s.jobs[short].endedBy == Throttle, "a job that was never dispatched was not throttled")
}

// Guards against a job that arrives with almost no time left and stays unanswered until the next sweep.
func TestJobWithoutTimeLeftIsThrottledAtOnce(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	id := s.arriveAs(Event{Type: 0, TimeLeft: 0, Cost: 1, CostKnown: true})
	require(t, s.jobs[id].endedBy == Throttle, "answered by %v", s.jobs[id].endedBy)
}

// Guards against parked long jobs that get no answer when their controller stops. Throttled at once, their clients can
// still use another controller.
func TestJobThatOutlastsShutdownIsThrottledAtOnce(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.c.engines[0].cooldownUntil = s.now + 100*second // nothing is dispatched for now
	long, short := s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true}), s.arrive(0, 0, 0)
	s.advance(100 * ms)
	require(t, !s.jobs[long].ended && !s.jobs[short].ended, "not both jobs are parked")
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.advance(100 * ms)
	require(t, s.jobs[long].ended && s.jobs[long].endedBy == Throttle && !s.jobs[short].ended, "%+v %+v", s.jobs[long],
		s.jobs[short])
	long = s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true})
	require(t, s.jobs[long].ended && s.jobs[long].endedBy == Throttle, "a job that arrived after Stopping: %+v",
		s.jobs[long])
}

// Guards against jobs on hung engines that get no answer when their controller stops before their own timeouts. The
// jobs are answered in time, and their attempts are canceled.
func TestJobThatIsOutAtTheEndOfAShutdownIsAnswered(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	repeatable := s.arriveAs(Event{Type: 0, TimeLeft: 20 * second, Cost: ms, CostKnown: true})
	once := s.arriveAs(Event{Type: 2, TimeLeft: 20 * second, Cost: ms, CostKnown: true})
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.advance(2900 * ms)
	require(t, !s.jobs[once].ended, "answered long before the process ends: %+v", s.jobs[once])
	s.advance(100 * ms)
	for id, want := range map[JobID]ActionKind{repeatable: Throttle, once: CancelPermanently} {
		require(t, s.jobs[id].ended && s.jobs[id].endedBy == want, "job %d: %+v", id, s.jobs[id])
	}
}

// Guards against counting the wait for an ordering key as overload, for which other types would be throttled.
func TestWaitForOrderingKeyIsNoOverload(t *testing.T) {
	s := newSimulation(t, testSettings(), 3)
	for range 5 {
		s.arrive(2, 5, 1)
	}
	s.advance(2 * second)
	require(t, s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

// Guards against dispatching jobs with short client timeouts to engines that are too slow for them, and against
// shedding them for ever: a shed job gives no new measurement of its type's slowdown.
func TestSlowTypeIsShedButRecovers(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	s.c.types[1].slowdown, s.c.types[1].lastLatencyAt = 3, s.now
	short := func() JobID {
		return s.arriveAs(Event{Type: 1, TimeLeft: 1500 * ms, Cost: 2 * second, CostKnown: true})
	}
	id := short() // 2 s on two threads
	require(t, s.jobs[id].endedBy == Throttle && len(s.enginesOf(id)) == 0, "dispatched to %v", s.enginesOf(id))
	require(t, len(s.enginesOf(s.arrive(1, 0, 1))) == 1, "a job with enough time is not dispatched")
	s.advance(3 * second)
	id = short()
	require(t, len(s.enginesOf(id)) == 0, "dispatched while its type is known to be slow")
	s.advance(22 * second) // the job that was dispatched reaches its job timeout
	require(t, len(s.enginesOf(short())) == 1, "not dispatched: the slowdown is still %v without new measurements",
		s.c.types[1].slowdown)
}

// Guards against heads of a type that is restricted to full engines raising the price of types for which other engines
// have capacity.
func TestHeadWaitPricesOnlyTypesWithTheSamePlacement(t *testing.T) {
	raw := testSettings()
	raw.list("classes")[1].(map[string]any)["kinds_only"] = []any{1.0}
	s := newSimulation(t, raw.set("domain.cpu_of_kind", []any{8.0, 8.0}).set("domain.size_mb", []any{16000.0, 16000.0}), 2)
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, Kind: 1, Zone: 1})
	s.c.engines[1].cooldownUntil = s.now + 100*second
	id := s.arrive(1, 0, 1)
	s.advance(2 * second)
	require(t, len(s.enginesOf(id)) == 0 && s.c.types[1].price > 0, "restricted type: dispatched to %v, price %v",
		s.enginesOf(id), s.c.types[1].price)
	require(t, s.c.types[0].price == 0 && s.c.types[2].price == 0, "prices %v %v", s.c.types[0].price, s.c.types[2].price)
	s.c.engines[0].cooldownUntil = s.now + 100*second
	s.arrive(2, 0, 2)
	s.advance(2 * second)
	require(t, s.c.types[0].price > 0, "all engines are full: price %v", s.c.types[0].price)
}
