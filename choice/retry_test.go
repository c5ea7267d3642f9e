package choice

import "testing"

// The failure: a bad plan runs many times as long; its own notes project it.
func TestAttemptWithBadPlanIsCanceledAndRetried(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	s.c.retryBudget.tokens = 5
	id := s.arrive(1, 0, 1)
	s.now += 500 * ms
	s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.3})
	require(t, !s.jobs[id].attempts[0].cancelRequested, "a good pace is left alone")
	s.now += 1500 * ms
	s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.31})
	require(t, s.jobs[id].attempts[0].cancelRequested, "not canceled")
	s.finish(id, Canceled)
	require(t, len(s.enginesOf(id)) == 2, "not sent again")
}

// The failure: with rough estimates a third of what was canceled as a bad plan or overdue was a job larger than its
// estimate, which runs as long again.
func TestScatteredEstimatesAreNoBadPlan(t *testing.T) {
	for _, rough := range []bool{false, true} {
		s := newStage(t, plainSettings(), 2)
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
		s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.5}) // four times in all
		require(t, s.jobs[id].attempts[0].cancelRequested != rough, "rough=%v: canceled=%v, scatter %v", rough, !rough,
			s.c.durationSpread())
	}
}

// The failure: a run-once load whose answer was lost held its key until its job timeout.
func TestRunOnceLoadWithoutProgressFreesItsKey(t *testing.T) {
	s := newStage(t, plainSettings().set("domain.note_period_ns", 5e8), 2)
	a, b := s.arrive(2, 5, 1), s.arrive(2, 5, 2)
	for range 10 {
		s.pass(400 * ms)
		s.handle(Event{Kind: ProgressReported, Job: a, Progress: ProgressWaiting, Amount: 2})
	}
	require(t, !s.jobs[a].ended, "ended though it stands still with notes")
	s.pass(2 * second)
	require(t, s.jobs[a].endedBy == CancelPermanently && s.jobs[a].attempts[0].cancelRequested, "by %v", s.jobs[a].endedBy)
	s.finish(a, Canceled)
	s.pass(400 * ms)
	require(t, len(s.enginesOf(b)) == 1, "its key is free")
}

// A process that was stopped finds calls that have lain unread. They earn retries in the window in which they
// arrived, which is when whoever counts them has seen them. Seen in the soak with pauses of 1.2 s: 25 retries for 522
// calls where 24.88 are allowed, as calls counted from when they were read.
func TestAJobThatLayUnreadEarnsRetriesFromWhenItArrived(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	s.c.settings.retryWindow, s.c.settings.freeRetries, s.c.settings.retryRatio = second, 0, 1
	s.now += 2 * second
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now - 300*ms})
	s.now += 600 * ms
	s.handle(Event{Kind: TimerFired})
	require(t, s.c.retryBudgetAllows(), "nothing is earned inside the window")
	s.now += 150 * ms
	s.handle(Event{Kind: TimerFired})
	require(t, !s.c.retryBudgetAllows(), "a job that was sent before the window earns a retry")
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now - 2*second})
	require(t, !s.c.retryBudgetAllows(), "a job that lay unread for longer than the window earns a retry")
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now + second})
	require(t, s.c.retryBudgetAllows(), "a job that is said to come later earns nothing")
}
