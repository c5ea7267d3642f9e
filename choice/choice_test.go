package choice

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

func (s *stage) sentTo(id JobID) (to []EngineID) {
	for _, d := range s.jobs[id].sends {
		to = append(to, d.engine)
	}
	return to
}

func want(t *testing.T, ok bool, format string, v ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, v...)
	}
}

func TestUnderItsLimitAJobIsSentAtOnce(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	id := s.arrive(0, 0, 1)
	want(t, len(s.sentTo(id)) == 1, "not sent")
	terms := s.acts[len(s.acts)-2]
	want(t, terms.Kind == SetDispatchOptions && terms.Priority == 3, "a quick type goes at the highest priority: %+v", s.acts)
}

func TestLimitIsCoresTimesTwoByShareAndTenants(t *testing.T) {
	s := newStage(t, plainFacts(), 3)
	s.arrive(0, 0, 1)
	want(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2, "limit %v", s.c.bucketLimit(&bucket{}))
	s.arriveAs(Event{Type: 0, Tenant: 1, TimeLeft: second, Cost: ms, CostKnown: true})
	want(t, s.c.bucketLimit(&bucket{}) == 3*8*2/2/2, "limit %v with two tenants", s.c.bucketLimit(&bucket{}))
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	want(t, s.c.bucketLimit(&bucket{}) == 2*8*2/2/2, "live limit %v", s.c.bucketLimit(&bucket{}))
}

func TestPastItsRoomAJobParksAndACompletionDrainsItsBucketFirst(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	var ids []JobID
	for range 6 { // two threads each, twice the start is eight
		ids = append(ids, s.arrive(1, 0, 1))
	}
	want(t, len(s.sentTo(ids[3])) == 1 && len(s.sentTo(ids[4])) == 0, "four fit")
	s.arrive(2, 9, 2)
	s.now += 100 * ms
	s.finish(ids[0], Done)
	want(t, len(s.sentTo(ids[4])) == 1 && len(s.sentTo(ids[5])) == 0, "the freed bucket's head leaves, alone")
}

func TestAFullQueueThrottlesAtOnceAndTheSweepDropsWhatHasGivenUp(t *testing.T) {
	s := newStage(t, plainFacts(), 0)
	short := s.arrive(0, 0, 1)
	for range maxBucketQueue {
		s.arrive(1, 0, 1)
	}
	id := s.arrive(1, 0, 1)
	want(t, s.jobs[id].by == Throttle && s.acts[0].Duration == second, "not throttled with a retry-after: %+v", s.acts)
	s.pass(3 * second)
	want(t, s.jobs[short].by == Throttle, "a job never sent is throttled, not cancelled for good")
}

func TestABoundBindsOnlyUnderPressureWidensByOneAndHalves(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	e := s.c.engines[0]
	want(t, e.concurrencyLimit == 4 && !e.underPressure, "starts at cores by share")
	j := &job{jobType: s.c.types[1], work: float64(second), bucket: &bucket{}}
	f := &attempt{job: j, engine: e, expectedNanos: 1e9}
	s.now += second
	s.c.now = s.now
	s.c.observeSuccess(f, Event{Latency: 450 * ms})
	want(t, e.concurrencyLimit == 5, "widens by a thread near best: %v", e.concurrencyLimit)
	for i := range 80 {
		if s.c.observeSuccess(f, Event{Latency: 6 * second}); i == 40 {
			want(t, !e.underPressure && e.concurrencyLimit == 5, "latency that grew with few threads there is no crowding")
			e.concurrencyLimit, e.ownThreads, e.attempts = 8, 9, []*attempt{f}
		}
	}
	want(t, e.underPressure && e.concurrencyLimit == 4, "pressed %v, halved once to %v", e.underPressure, e.concurrencyLimit)
	e.ownThreads, j.jobType.threads = 3, 3
	want(t, !s.c.hasCapacity(j, e), "the bound binds under pressure")
	e.underPressure = false
	want(t, s.c.hasCapacity(j, e), "without pressure it does not")
	j.bucket.threadsInUse = 100
	want(t, !s.c.hasCapacity(j, e), "but for a borrower")
}

// The failure: a job parked again after a dispatch counted its time there as waiting, and raised the price.
func TestAJobParkedAgainHasNotWaited(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	s.c.retryBudget.tokens = 5
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	id := s.arrive(1, 0, 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready})
	s.now += 3 * second
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	s.finish(id, Reset)
	s.pass(20 * ms)
	want(t, len(s.sentTo(id)) == 1, "sent %v", s.sentTo(id))
	want(t, s.c.jobs[id].parked && s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

// The failure: a job that comes with next to no time left outlived it until the next sweep.
func TestAJobWithNoTimeLeftIsAnsweredAtOnce(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	id := s.arriveAs(Event{Type: 0, TimeLeft: 0, Cost: 1, CostKnown: true})
	want(t, s.jobs[id].by == Throttle, "answered by %v", s.jobs[id].by)
}

// The failure: long jobs that waited when a controller was told to stop were killed with it; throttled at once, their
// clients find another in time.
func TestWhatCannotEndBeforeWeStopIsThrottledAtOnce(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	s.c.engines[0].fullUntil = s.now + 100*second // nothing is sent for now
	long, short := s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true}), s.arrive(0, 0, 0)
	s.pass(100 * ms)
	want(t, !s.jobs[long].ended && !s.jobs[short].ended, "both wait")
	s.tell(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.pass(100 * ms)
	want(t, s.jobs[long].ended && s.jobs[long].by == Throttle && !s.jobs[short].ended, "%+v %+v", s.jobs[long], s.jobs[short])
	long = s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true})
	want(t, s.jobs[long].ended && s.jobs[long].by == Throttle, "one that comes later: %+v", s.jobs[long])
}

func TestOneJobAKeyInOrderWithItsRest(t *testing.T) {
	s := newStage(t, plainFacts(), 3)
	a, b, other := s.arrive(2, 5, 1), s.arrive(2, 5, 2), s.arrive(2, 6, 3)
	want(t, len(s.sentTo(b)) == 0 && len(s.sentTo(other)) == 1, "one at a time for each key")
	s.finish(a, Reset)
	s.pass(250 * ms)
	want(t, len(s.sentTo(b)) == 0, "the key rests")
	s.pass(200 * ms)
	want(t, len(s.sentTo(b)) == 1, "and goes on after it")
}

func TestNothingNewToADrainingEngineAndAFlappingListKeepsTheColdBudget(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	want(t, len(s.sentTo(s.arrive(0, 0, 1))) == 0, "sent to a draining engine")
	s.now += 2 * second
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	e := s.c.engines[len(s.c.engines)-1]
	e.slowStartWork = append(e.slowStartWork, timedWork{s.now, 1})
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready}) // the failure: a list that flaps renewed the budget
	want(t, len(e.slowStartWork) > 0, "a list that flaps renews the budget")
}

// The failure: the way to all engines lost a part of the answers, and three in a row set engines aside by chance.
func TestWhereAllLoseAPartThreeInARowAreChance(t *testing.T) {
	s := newStage(t, plainFacts(), 6)
	s.c.fleet.meanFailureRate = 0.3
	e := s.c.engines[0]
	for range 5 {
		s.c.recordOutcome(e, TimedOut)
	}
	want(t, !e.ejected, "set aside after %d", e.consecutiveFailures)
	s.c.recordOutcome(e, TimedOut)
	want(t, e.ejected, "six in a row are no chance")
}

func TestWhenAllFailTheFleetIsNotSetAside(t *testing.T) {
	s := newStage(t, plainFacts(), 6)
	for range 60 {
		id := s.arrive(0, 0, 1)
		for len(s.sentTo(id)) > 0 && s.jobs[id].out() {
			s.finish(id, Failed)
		}
	}
	in := slices.DeleteFunc(slices.Clone(s.c.engines), func(e *engine) bool { return e.ejected })
	want(t, len(in) == 4, "%d of 6 left", len(in))
}

// The failure: a keyed job on a silent engine waited for its job timeout though its group drops repeats.
func TestOffASilentEngineWhatMayRunAgainIsCalledBack(t *testing.T) {
	f := plainFacts()
	f.list("classes")[1].(map[string]any)["idempotency"] = "by_key"
	s := newStage(t, f, 4)
	keyed, once := s.arrive(1, 0, 1), s.arrive(2, 1, 2)
	s.c.eject(s.c.jobs[keyed].attempt.engine, false)
	s.c.eject(s.c.jobs[once].attempt.engine, true)
	want(t, s.c.jobs[keyed].attempt.cancelRequested && !s.c.jobs[once].attempt.cancelRequested, "keyed called back, run-once waited for")
}

// The failure: a bad plan runs many times as long; its own notes project it.
func TestABadPlanIsCalledBackAndSentAgain(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	s.c.retryBudget.tokens = 5
	id := s.arrive(1, 0, 1)
	s.now += 500 * ms
	s.tell(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.3})
	want(t, !s.jobs[id].sends[0].called, "a good pace is left alone")
	s.now += 1500 * ms
	s.tell(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.31})
	want(t, s.jobs[id].sends[0].called, "not called back")
	s.finish(id, Canceled)
	want(t, len(s.sentTo(id)) == 2, "not sent again")
}

// The failure: with rough estimates a third of what was called back as a bad plan or overdue was a job larger than its
// estimate, which runs as long again.
func TestWhatEstimatesScatterIsNoBadPlan(t *testing.T) {
	for _, rough := range []bool{false, true} {
		s := newStage(t, plainFacts(), 2)
		s.c.retryBudget.tokens = 5
		for i := range 60 {
			id := s.arrive(1, 0, TableGroup(i)) // a second is expected
			if s.now += 500 * ms; rough && i%2 == 0 {
				s.now += 1500 * ms
			} else if !rough {
				s.now += 500 * ms
			}
			s.finish(id, Done)
		}
		id := s.arrive(1, 0, 1)
		s.now += Nanos(2 * s.c.jobs[id].attempt.expectedNanos)
		s.tell(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.5}) // four times in all
		want(t, s.jobs[id].sends[0].called != rough, "rough=%v: called back=%v, scatter %v", rough, !rough, s.c.durationSpread())
	}
}

// The failure: waiting for a key's turn counted as overload, and other types were throttled for it.
func TestAKeysLineIsNoOverload(t *testing.T) {
	s := newStage(t, plainFacts(), 3)
	for range 5 {
		s.arrive(2, 5, 1)
	}
	s.pass(2 * second)
	want(t, s.c.types[1].price == 0, "price %v", s.c.types[1].price)
}

// The failure: a load stood still behind another load on its tables, and held memory and its key there.
func TestALoadNeverJoinsOurOwnLoadOnItsTables(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	a, b, c := s.arrive(2, 1, 7), s.arrive(2, 2, 7), s.arrive(2, 3, 7)
	want(t, len(s.sentTo(c)) == 0 && s.sentTo(a)[0] != s.sentTo(b)[0], "%v %v %v", s.sentTo(a), s.sentTo(b), s.sentTo(c))
}

// The failure: an uneven front or stopped siblings, and the controllers left kept to their small even share.
func TestTheShareFollowsWhatLoadReportsShowWeCarry(t *testing.T) {
	s := newStage(t, plainFacts().set("balancers", 8.0), 1)
	e := s.c.engines[0]
	e.attempts, e.ownThreads = []*attempt{{job: &job{jobType: s.c.types[0]}, dispatchedAt: s.now + second}}, 2
	j := &job{jobType: s.c.types[1], bucket: &bucket{}}
	want(t, !s.c.hasCapacity(j, e), "its even share is one thread")
	for range 300 {
		s.c.applyLoadReport(e, []float64{1})
		s.pass(20 * ms)
	}
	want(t, s.c.fleet.share > 0.3 && s.c.hasCapacity(j, e), "share %v though the reports show no others", s.c.fleet.share)
}

// The failure: while siblings restart one after the other, some seconds each, the controllers left throttled a tenth of
// the jobs, as their share followed what they carried over four seconds only.
func TestTheShareFollowsSoonWhereManyJobsAreOut(t *testing.T) {
	s := newStage(t, plainFacts().set("balancers", 3.0), 6)
	report := func(others float64) {
		for _, e := range s.c.engines {
			s.tell(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done, Load: []float64{float64(len(e.attempts)) + others}})
		}
	}
	for range 30 {
		s.arrive(0, 0, 0)
	}
	for range 10 { // two siblings carry as much
		report(10)
		s.pass(400 * ms)
	}
	want(t, s.c.fleet.share < 0.4, "share %v beside two siblings", s.c.fleet.share)
	for range 3 { // they are gone
		report(0)
		s.pass(400 * ms)
	}
	want(t, s.c.fleet.share > 0.6, "share %v 1.2 s after the siblings left", s.c.fleet.share)
}

// The failure: a job of many threads never fitted a small share of a small engine beside a single lookup.
func TestAJobFitsIfHalfOfItDoes(t *testing.T) {
	f := plainFacts().set("balancers", 4.0).set("domain.class_threads", []any{1.0, 4.0, 2.0})
	s := newStage(t, f, 1)
	s.arrive(0, 0, 1)
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 1, "four threads beside one, where four are the most")
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 0, "but no further job")
}

// The failure: in a burst each of five controllers put one long job on every engine, past its memory and cores.
func TestTheFirstJobHeedsWhatSiblingsHold(t *testing.T) {
	s := newStage(t, plainFacts().set("balancers", 5.0), 1)
	e := s.c.engines[0]
	e.siblingThreads, e.loadKnownAt = 18, s.now
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 0, "siblings hold 18 threads on 8 cores")
	e.siblingThreads, e.loadKnownAt, s.c.ownLoad.threads, s.c.ownLoad.memoryMB = 8, s.now, 1, 3000
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 0, "siblings hold all its memory")
	s.pass(15 * second)
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 1, "an old report fades: %v", e.siblingThreads)
}

func TestGrantsLearnTheBiasOfEstimates(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
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
	want(t, first < 150 && grant() > 290, "grants %v, then %v", first, grant())
}

// FuzzRules plays random runs under varied settings; the stage checks the rules after every step.
func FuzzRules(f *testing.F) {
	for seed := range int64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		facts := plainFacts()
		keyed := map[string]any{"idempotency": "by_key", "key_scope": []string{"all", "zone", "cell"}[r.Intn(3)],
			"repeat_window_ns": 1e9, "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0, "fifo_by_key": r.Intn(2) == 0}
		placed := map[string]any{"idempotency": "repeatable", "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0,
			"allowed_in": []any{1.0}, "kinds_only": []any{0.0, 1.0}}
		facts.set("classes", append(facts.list("classes"), keyed, placed))
		if r.Intn(2) == 0 {
			facts.set("invariants.further_ratio", 0.05).set("invariants.budget_free", 2.0).
				set("invariants.extra_window_ns", 2e9)
		}
		if r.Intn(3) == 0 {
			facts.set("balancers", 1.0).set("limits.cancel", false).set("limits.probes", false)
		}
		if r.Intn(3) == 0 {
			facts.set("telemetry", nil).set("invariants.order_pause_ns", 0.0).set("domain.cpu_of_kind", []any{})
		}
		facts.set("tenants", []any{map[string]any{"quota_per_s": 5.0}})
		newStage(t, facts, r.Intn(6)).chaos(r, 300)
	})
}

// The failure: hundreds of controllers probed every engine all the time, and ranked the whole fleet for every job.
func TestASmallShareLooksAtFewEnginesAndProbesForHeavyJobsOnly(t *testing.T) {
	s := newStage(t, plainFacts().set("balancers", 200.0).set("tariffs", map[string]any{"probe": 0.01}), 40)
	s.slowProbes = true
	heavy := s.arrive(1, 0, 1)
	want(t, len(s.probes) > 0 && len(s.probes) <= minSampleSize && len(s.sentTo(heavy)) == 0, "probes %v", s.probes)
	for _, e := range s.probes {
		s.tell(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{3}})
	}
	want(t, slices.Contains(s.probes, s.sentTo(heavy)[0]), "goes where it looked: %v", s.sentTo(heavy))
	s.probes = nil
	want(t, len(s.sentTo(s.arrive(0, 0, 9))) == 1 && len(s.probes) == 0, "a light job does not bear probes")
	s.pass(5 * second)
	want(t, len(s.probes) == 0, "no probes without jobs: %v", s.probes)
}

// The failure: a controller that stood still took all that was out for lost when it went on, and called it back.
func TestAControllerThatStoodStillBlamesNoEngine(t *testing.T) {
	s := newStage(t, plainFacts(), 3)
	id := s.arrive(0, 0, 1)
	s.now += 2 * second // its timer comes late, behind it the answer
	for mark := range s.timers {
		delete(s.timers, mark)
		s.tell(Event{Kind: TimerFired, TimerID: mark})
	}
	want(t, !s.jobs[id].sends[0].called, "called back for our own stall")
	s.finish(id, Done)
	want(t, s.c.fleet.meanLatencyRatio < 1.1 && s.c.types[1].price == 0, "latency/best %v, price %v", s.c.fleet.meanLatencyRatio, s.c.types[1].price)
}

// The failure: after a stall, a job that had not yet been a head seemed to have waited since the clock's zero.
func TestAStallDoesNotMakeParkedJobsWaitForEver(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	s.now += 3600 * second
	s.pass(5 * ms)
	var ids []JobID
	for range 8 {
		ids = append(ids, s.arrive(1, 0, 1))
	}
	s.now += 200 * ms
	for mark := range s.timers {
		delete(s.timers, mark)
		s.tell(Event{Kind: TimerFired, TimerID: mark})
	}
	s.finish(ids[0], Done) // the head goes, and the next is one from now on
	s.pass(40 * ms)
	want(t, s.c.types[1].price == 0 && !strings.Contains(s.texts, "overload"), "price %v: %s", s.c.types[1].price, s.texts)
}

// The failure: engines without a fresh report stayed as full as when last seen, and nothing was sent to look again.
func TestWithNoWordFromEnginesSendingGoesOn(t *testing.T) {
	f := plainFacts().set("balancers", 150.0).set("limits.probes", false)
	s := newStage(t, f, 24)
	s.c.fleet.contention = 3
	for _, e := range s.c.engines {
		e.siblingThreads = 24
	}
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 0, "sent to a fleet that was full when last seen")
	s.pass(16 * second)
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 1, "nothing is sent for ever: %v", s.c.fleet.contention)
}

// The failure: engines restarted while the list was out of reach, looked emptiest, and were pushed over.
func TestAnEngineThatComesBackUntoldIsTakenForJustStarted(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	refused, empty := s.c.engines[0], s.c.engines[1]
	s.c.recordOutcome(refused, Unreachable)
	want(t, s.c.slowStartFraction(empty) < 1, "it may have restarted too")
	s.tell(Event{Kind: ProbeCompleted, Engine: empty.Engine, Result: Done})
	want(t, s.c.slowStartFraction(empty) == 1, "it is heard of")
	s.tell(Event{Kind: ProbeCompleted, Engine: refused.Engine, Result: Done})
	want(t, s.c.slowStartFraction(refused) < 1, "it answers again")
	s.pass(outageDuration)
	s.c.fleet.contention = 1
	s.c.applyLoadReport(empty, []float64{2})
	want(t, s.c.slowStartFraction(empty) == 1, "two of eight jobs")
	s.c.applyLoadReport(empty, []float64{0})
	want(t, s.c.slowStartFraction(empty) < 1, "empty in a busy fleet")
	want(t, strings.Count(s.texts, "taken for just started") == 1, "%v", s.texts)
}

// The failure: a run-once load whose answer was lost held its key until its job timeout.
func TestARunOnceLoadWhoseNotesStoppedFreesItsKey(t *testing.T) {
	s := newStage(t, plainFacts().set("domain.note_period_ns", 5e8), 2)
	a, b := s.arrive(2, 5, 1), s.arrive(2, 5, 2)
	for range 10 {
		s.pass(400 * ms)
		s.tell(Event{Kind: ProgressReported, Job: a, Progress: ProgressWaiting, Amount: 2})
	}
	want(t, !s.jobs[a].ended, "ended though it stands still with notes")
	s.pass(2 * second)
	want(t, s.jobs[a].by == CancelPermanently && s.jobs[a].sends[0].called, "by %v", s.jobs[a].by)
	s.finish(a, Canceled)
	s.pass(400 * ms)
	want(t, len(s.sentTo(b)) == 1, "its key is free")
}

// The failure: engines lost a part of their answers, were not set aside, and went on drawing jobs.
func TestAnEngineThatLosesAPartOfItsAnswersIsChosenLess(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	for range 30 {
		s.c.recordOutcome(s.c.engines[0], Reset)
		s.c.recordOutcome(s.c.engines[0], Done)
	}
	want(t, !s.c.engines[0].ejected && s.sentTo(s.arrive(0, 0, 1))[0] == 101, "chosen though it loses half")
}

// The failure: by even parts a cold engine gets nothing from hundreds of controllers, by looser ones it falls over.
func TestTurnsKeepAColdEnginesBudgetForAllControllersTogether(t *testing.T) {
	const n, steps = 100, 80
	var stages []*stage
	for i := range n {
		s := newStage(t, plainFacts().set("balancers", float64(n)).set("me", float64(i)), 1)
		s.now += 2 * second
		s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
		stages = append(stages, s)
	}
	work, sum := [steps]float64{}, 0.0
	for step := range steps {
		for _, s := range stages {
			work[step] += 0.1 * float64(len(s.sentTo(s.arrive(0, 0, 1)))) // jobs of 0.1 s
			s.pass(100 * ms)
		}
		window := 0.0
		for _, w := range work[max(0, step-9) : step+1] {
			window += w
		}
		sum += work[step]
		want(t, window <= 2*0.4*8, "%v s of work within a second, step %d", window, step)
	}
	want(t, sum > 2, "all together sent only %v s of work", sum)
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (log string) {
		s := newStage(t, plainFacts(), 5)
		for i := range 300 {
			s.arrive(TypeID(i%3), Key(i%4), TableGroup(i%7))
			s.pass(15 * ms)
			log += fmt.Sprint(s.acts)
		}
		return log
	}
	want(t, play() == play(), "two plays differ")
}

// The failure: an engine takes jobs and answers none, and looks emptiest.
func TestASilentEngineIsSetAsideAndComesBackAfterProbes(t *testing.T) {
	s := newStage(t, plainFacts(), 3)
	s.c.retryBudget.tokens = 5
	id := s.arrive(0, 0, 1)
	e := s.c.jobs[id].attempt.engine
	s.pass(500 * ms) // over half its SLA time, four times what it should take
	want(t, e.consecutiveFailures == 1 && s.jobs[id].sends[0].called, "lost dispatches count against their engine")
	s.c.recordOutcome(e, TimedOut)
	s.c.recordOutcome(e, TimedOut)
	want(t, e.ejected, "three lost in a row")
	s.pass(3 * second)
	want(t, !e.ejected, "not back after probes: %v", s.texts)
	s.c.recordOutcome(e, TimedOut)
	want(t, e.ejected && e.ejectionTime == 2*minEjectionTime, "one failure more sets it aside for twice as long")
}

// The failure: an engine that had been cold was empty for our own restraint, and taken for just started for ever.
func TestAnEngineJustWarmAgainIsNotTakenForJustStarted(t *testing.T) {
	s := newStage(t, plainFacts(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
	s.now += s.c.settings.slowStartWindow + second
	s.c.now, s.c.fleet.contention = s.now, 1
	s.c.applyLoadReport(s.c.engines[0], []float64{0})
	want(t, s.c.slowStartFraction(s.c.engines[0]) == 1, "cold again")
}

// Settings restated in a running controller hold from the next decision on, in both directions; what was taken in
// and what types have learned stay.
func TestRestatedSettingsHoldAtOnceBothWays(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	out := s.arrive(1, 0, 1)
	usual := s.c.types[1].meanWork
	barred := plainFacts().set("limits.cancel", false)
	barred["classes"].([]any)[1].(map[string]any)["kinds_only"] = []any{1.0}
	s.tell(Event{Kind: Reconfigured, Settings: barred})
	want(t, s.c.jobs[out].attempt != nil && s.c.types[1].meanWork == usual && !s.c.settings.cancelAllowed, "what was out or learned is lost")
	held := s.arrive(1, 0, 1)
	want(t, len(s.sentTo(held)) == 0, "sent to an engine of a kind that the restated settings bar")
	s.tell(Event{Kind: Reconfigured, Settings: plainFacts()})
	s.pass(resampleInterval)
	want(t, len(s.sentTo(held)) == 1 && s.c.settings.cancelAllowed, "the way back does not hold at once")
	want(t, len(s.sentTo(out)) == 1, "what was out is sent twice")
	e := s.c.engines[1]
	memory := plainFacts().set("telemetry.fields", []any{"load_share", "x0"})
	for range 2 { // from counts of jobs to memory granted, and back
		s.tell(Event{Kind: Reconfigured, Settings: memory})
		s.tell(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done, Load: []float64{0, (e.ownMemoryMB + 800) / e.memoryMB}})
		want(t, e.siblingThreads > 6 && e.siblingThreads < 10, "others %v of 8 by memory", e.siblingThreads)
		s.tell(Event{Kind: Reconfigured, Settings: plainFacts()})
		s.tell(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done, Load: []float64{float64(len(e.attempts))}})
		want(t, e.siblingThreads == 0, "others %v of 0 by count", e.siblingThreads)
	}
}

// The failure: where reports do not count jobs nothing of them was read, and siblings were thought to hold a multiple of
// what we hold: a fleet that had drained stayed refused for 15 s.
func TestMemoryGrantedTellsWhatSiblingsHoldWhereNoReportCountsJobs(t *testing.T) {
	for _, own := range []bool{true, false} { // whether grants are ours, or each engine's: a quarter over the estimate
		f := plainFacts().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", own)
		s := newStage(t, f.set("balancers", 20.0), 1)
		id, e := s.arrive(1, 0, 1), s.c.engines[0]
		s.now += 100 * ms
		s.c.now = s.now
		granted := 1.0
		if !own {
			granted = 1.25
		}
		s.c.applyLoadReport(e, []float64{0.1, granted * (e.ownMemoryMB + 800) / e.memoryMB}) // jobs here are 200 MB on two threads
		want(t, e.siblingThreads > 7.9 && e.siblingThreads < 8.1 && e.loadKnownAt == s.now, "others %v of 8", e.siblingThreads)
		s.c.applyLoadReport(e, []float64{1, granted * e.ownMemoryMB / e.memoryMB})
		want(t, e.siblingThreads < 0.01, "all busy, by ours alone: %v", e.siblingThreads)
		s.finish(id, Done)
		s.c.applyLoadReport(e, []float64{0, 2 * granted})
		want(t, len(s.sentTo(s.arrive(1, 0, 2))) == 0, "twice its memory is granted")
		s.c.applyLoadReport(e, []float64{1, 0})
		want(t, len(s.sentTo(s.arrive(1, 0, 3))) == 1, "drained, and used again at the first word of it")
	}
	for _, f := range []RawSettings{plainFacts().set("telemetry.fields", []any{"load_share"}), // busy cores alone
		plainFacts().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.size_mb", []any{})} { // a share of what?
		s := newStage(t, f, 1)
		s.arrive(1, 0, 1)
		s.c.applyLoadReport(s.c.engines[0], []float64{1, 1})
		want(t, s.c.engines[0].loadKnownAt == 0, "taken for a report: others %v", s.c.engines[0].siblingThreads)
	}
}

// The failure: jobs whose clients wait little were sent to engines too slow for them, timed out and were wasted; and what
// is refused for the slowness of its type teaches nothing, so that it was refused for ever.
func TestWhatItsTypesSlownessWouldLoseIsRefusedAndNotForEver(t *testing.T) {
	s := newStage(t, plainFacts(), 2)
	s.c.types[1].slowdown, s.c.types[1].lastLatencyAt = 3, s.now
	short := func() JobID {
		return s.arriveAs(Event{Type: 1, TimeLeft: 1500 * ms, Cost: 2 * second, CostKnown: true})
	}
	id := short() // 2 s on two threads
	want(t, s.jobs[id].by == Throttle && len(s.sentTo(id)) == 0, "sent %v", s.sentTo(id))
	want(t, len(s.sentTo(s.arrive(1, 0, 1))) == 1, "one with time is sent")
	s.pass(3 * second)
	id = short()
	want(t, len(s.sentTo(id)) == 0, "sent while its type is known to be slow")
	s.pass(22 * second) // the first is given up at its job timeout
	want(t, len(s.sentTo(short())) == 1, "slow %v still, untaught", s.c.types[1].slowdown)
}

// The failure: heads of a type bound to full engines made the price of all jobs rise, also of those others had room for.
func TestTheWaitOfABoundTypeCostsOnlyTypesBoundAsItIs(t *testing.T) {
	f := plainFacts()
	f.list("classes")[1].(map[string]any)["kinds_only"] = []any{1.0}
	s := newStage(t, f.set("domain.cpu_of_kind", []any{8.0, 8.0}).set("domain.size_mb", []any{16000.0, 16000.0}), 2)
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, Kind: 1, Zone: 1})
	s.c.engines[1].fullUntil = s.now + 100*second
	id := s.arrive(1, 0, 1)
	s.pass(2 * second)
	want(t, len(s.sentTo(id)) == 0 && s.c.types[1].price > 0, "bound type: sent %v, price %v", s.sentTo(id), s.c.types[1].price)
	want(t, s.c.types[0].price == 0 && s.c.types[2].price == 0, "prices %v %v", s.c.types[0].price, s.c.types[2].price)
	s.c.engines[0].fullUntil = s.now + 100*second
	s.arrive(2, 0, 2)
	s.pass(2 * second)
	want(t, s.c.types[0].price > 0, "all engines are full: price %v", s.c.types[0].price)
}

// The failure: at a probe's price of 0.08 no job bore the probes of all engines that it looked at, so none was made, and
// each waiting head was refused by a guess: all engines alike, and fuller than they were.
func TestALookPaysForTheProbesItCanBearAndWithoutThemTheFleetsMeanMustDo(t *testing.T) {
	s := newStage(t, plainFacts().set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.08}), 30)
	s.slowProbes = true
	for range 9 { // worth 1 each: a probe costs more than they are worth
		s.finish(s.arrive(0, 0, 1), Done)
	}
	want(t, len(s.probes) == 0, "a light job bears none: %v", s.probes)
	id := s.arrive(1, 0, 1)
	want(t, len(s.probes) == 3, "a heavy one bears three: %v", s.probes)
	for _, e := range s.probes {
		s.tell(Event{Kind: ProbeCompleted, Engine: e, Result: Done, Load: []float64{16}})
	}
	s.pass(50 * ms)
	want(t, len(s.sentTo(id)) == 1, "not sent to what nobody filled")
	s.finish(id, Done)
	crowd := func() { // those reported are full, the others thought to be all alike, over a thread a core
		for s.c.fleet.contention = 1.45; len(s.probes) > 0; s.probes = s.probes[1:] {
			s.tell(Event{Kind: ProbeCompleted, Engine: s.probes[0], Result: Done, Load: []float64{20}})
		}
		for _, e := range s.c.engines {
			if e.siblingThreads = 1.45 * e.cores; s.now-e.loadKnownAt < reportTTL {
				e.siblingThreads = 2 * e.cores
			}
		}
		s.c.fleet.contention = 1.45
	}
	crowd()
	s.c.probeBudget.tokens = 2
	for id = s.arrive(1, 0, 1); s.c.probeBudget.tokens >= 1; crowd() {
		want(t, len(s.sentTo(id)) == 0, "sent while probes can be had")
		s.pass(350 * ms)
	}
	want(t, len(s.sentTo(id)) == 0, "sent though it might have looked")
	s.pass(probeExhaustedAfter)
	want(t, len(s.sentTo(id)) == 1, "refused on a guess though nobody can look: %+v", s.jobs[id])
}

// The failure: after a burst of 5 s the guess of what siblings hold outlived it; for 15 s engines that had drained were
// refused, nothing was sent and so nothing heard.
func TestAfterABurstTheGuessOfSiblingsFallsWithTheirJobs(t *testing.T) {
	for _, probes := range []bool{true, false} {
		f := plainFacts().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false)
		s := newStage(t, f.set("balancers", 40.0).set("limits.probes", probes).set("tariffs", map[string]any{"probe": 0.01}), 12)
		before := s.hums(6*second, 0.04)
		want(t, before == 0, "%d refused in calm", before)
		burst := s.hums(5*second, 0.25)
		want(t, burst > 20, "%d refused in the burst, is it one?", burst)
		drained := s.hums(3*second, 0.04)
		after := s.hums(6*second, 0.04)
		want(t, after == before, "probes %v: refused %d before, %d in the burst, %d and then %d after it", probes, before, burst,
			drained, after)
	}
}

// A dispatch says by when its first byte must go: the drain's grace from now, and what may have run, by the end of its
// window of repeats, where that is sooner.
func TestADispatchSaysByWhenItMustGo(t *testing.T) {
	f := plainFacts().set("invariants.drain_grace_ns", 4e8)
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
	want(t, until() == first+400*ms, "the first by %v after its order", until()-first)
	s.now += 200 * ms
	s.finish(id, Reset)
	want(t, until() == first+500*ms-2*s.c.settings.batchStep, "the next by %v after the first", until()-first)
}
