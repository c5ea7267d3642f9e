package audit

import (
	"testing"
	"time"

	"swiftreel/choice"
)

// retry dispatches a job again at an offset from the start, and reports whether this exceeds the budget.
func retry(l *Ledger, after time.Duration) bool {
	l.Ended(job, choice.Failed, at(after))
	for _, violation := range l.Dispatched(dispatch(job, after)) {
		if violation == RetriedBeyondBudget {
			return true
		}
	}
	return false
}

// The budget limits the retries in a window to a fixed number plus a ratio of the admitted jobs.
func TestRetriesBeyondTheirBudgetAreFound(t *testing.T) {
	const window = 10 * time.Second
	for name, c := range map[string]struct {
		budget  RetryBudget
		between time.Duration
		within  int // retries within the budget
	}{
		"no budget":                   {RetryBudget{}, time.Millisecond, 40},
		"a number":                    {RetryBudget{Window: window, Free: 3}, time.Millisecond, 3},
		"a number and a part of jobs": {RetryBudget{Window: window, Free: 3, Ratio: 0.5}, time.Millisecond, 4},
		"spread over windows":         {RetryBudget{Window: window, Free: 3}, window / 3, 40},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(Bounds{Retries: c.budget})
			for _, id := range []choice.JobID{job, later} {
				l.Admitted(Job{ID: id, Deadline: at(time.Hour)}, start)
			}
			l.Dispatched(dispatch(job, 0))
			found := 0
			for i := range 40 {
				if retry(l, time.Duration(i)*c.between) {
					break
				}
				found++
			}
			if found != c.within {
				t.Errorf("%d retries are within the budget, want %d", found, c.within)
			}
		})
	}
}

// A withdrawn retry does not count towards the budget, and a new budget starts with no retries.
func TestWithdrawnRetriesAndANewBudget(t *testing.T) {
	budget := RetryBudget{Window: time.Minute, Free: 1}
	l := NewLedger(Bounds{Retries: budget})
	l.Admitted(Job{ID: job, Deadline: at(time.Hour)}, start)
	l.Dispatched(dispatch(job, 0))
	for i := range 5 {
		if retry(l, time.Duration(i)) {
			t.Fatal("a withdrawn retry counts towards the budget")
		}
		l.Withdrawn(job)
	}
	if retry(l, time.Second) || !retry(l, 2*time.Second) {
		t.Error("the second retry is not the first one beyond the budget")
	}
	l.SetRetryBudget(budget)
	if retry(l, 3*time.Second) || !retry(l, 4*time.Second) {
		t.Error("earlier retries count towards the new budget")
	}
}
