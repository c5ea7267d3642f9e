package choice

import "testing"

// Guards against an attempt with a bad plan that runs many times as long as expected, as its progress reports show.
func TestAttemptWithBadPlanIsCanceledAndRetried(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	s.c.retryBudget.tokens = 5
	id := s.arrive(1, 0, 1)
	s.now += 500 * ms
	s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.3})
	require(t, !s.jobs[id].attempts[0].cancelRequested, "canceled though its progress is normal")
	s.now += 1500 * ms
	s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.31})
	require(t, s.jobs[id].attempts[0].cancelRequested, "not canceled")
	s.finish(id, Canceled)
	require(t, len(s.enginesOf(id)) == 2, "not retried")
}

// Guards against canceling jobs that are only larger than a rough estimate, and take as long again when retried. A
// third of the attempts canceled as overdue or for a bad plan were such.
func TestScatteredEstimatesAreNoBadPlan(t *testing.T) {
	for _, rough := range []bool{false, true} {
		s := newSimulation(t, testSettings(), 2)
		s.c.retryBudget.tokens = 5
		for i := range 60 {
			id := s.arrive(1, 0, TableGroup(i)) // expected to take a second
			if s.now += 500 * ms; rough && i%2 == 0 {
				s.now += 1500 * ms
			} else if !rough {
				s.now += 500 * ms
			}
			s.finish(id, Done)
		}
		id := s.arrive(1, 0, 1)
		s.now += Nanos(2 * s.c.jobs[id].attempt.expectedDuration)
		// projects four times the expected duration
		s.handle(Event{Kind: ProgressReported, Job: id, Progress: ProgressFraction, Amount: 0.5})
		require(t, s.jobs[id].attempts[0].cancelRequested != rough, "rough=%v: canceled=%v, duration spread %v", rough,
			!rough, s.c.durationSpread())
	}
}

// Guards against a run-once load whose answer was lost and that blocks its ordering key until its job timeout.
func TestRunOnceLoadWithoutProgressFreesItsKey(t *testing.T) {
	s := newSimulation(t, testSettings().set("domain.note_period_ns", 5e8), 2)
	a, b := s.arrive(2, 5, 1), s.arrive(2, 5, 2)
	for range 10 {
		s.advance(400 * ms)
		s.handle(Event{Kind: ProgressReported, Job: a, Progress: ProgressWaiting, Amount: 2})
	}
	require(t, !s.jobs[a].ended, "ended though it reports that it waits")
	s.advance(2 * second)
	require(t, s.jobs[a].endedBy == CancelPermanently && s.jobs[a].attempts[0].cancelRequested, "ended by %v",
		s.jobs[a].endedBy)
	s.finish(a, Canceled)
	s.advance(400 * ms)
	require(t, len(s.enginesOf(b)) == 1, "the next job of its key is not dispatched")
}

// After a pause of the process, jobs that arrived during it are read late. They earn retries in the window of their
// arrival, as an observer outside the process counts them. Counted from when they were read, pauses of 1.2 s led to 25
// retries for 522 jobs, where 24.88 are allowed.
func TestAJobThatLayUnreadEarnsRetriesFromWhenItArrived(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	s.c.settings.retryWindow, s.c.settings.freeRetries, s.c.settings.retryRatio = second, 0, 1
	s.now += 2 * second
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now - 300*ms})
	s.now += 600 * ms
	s.handle(Event{Kind: TimerFired})
	require(t, s.c.retryBudgetAllows(), "a job that arrived within the window earns no retry")
	s.now += 150 * ms
	s.handle(Event{Kind: TimerFired})
	require(t, !s.c.retryBudgetAllows(), "a job that arrived before the window earns a retry")
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now - 2*second})
	require(t, !s.c.retryBudgetAllows(), "a job that lay unread for longer than the window earns a retry")
	s.arriveAs(Event{Type: 1, TimeLeft: second, ArrivedAt: s.now + second})
	require(t, s.c.retryBudgetAllows(), "a job with an arrival time in the future earns no retry")
}
