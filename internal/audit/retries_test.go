package audit

import (
	"testing"
	"time"

	"swiftreel/choice"
)

// repeat sends a job again after a time, and reports whether that is beyond the budget.
func repeat(l *Ledger, after time.Duration) bool {
	l.Ended(job, choice.Failed, at(after))
	for _, violation := range l.Dispatched(dispatch(job, after)) {
		if violation == RetriedBeyondBudget {
			return true
		}
	}
	return false
}

// Dispatches beyond a job's first are counted over a window, against a number and a part of the jobs admitted.
func TestRetriesBeyondTheirBudgetAreFound(t *testing.T) {
	const window = 10 * time.Second
	for name, c := range map[string]struct {
		budget  RetryBudget
		between time.Duration
		within  int // repeats that the budget holds
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
				if repeat(l, time.Duration(i)*c.between) {
					break
				}
				found++
			}
			if found != c.within {
				t.Errorf("%d repeats are within the budget, want %d", found, c.within)
			}
		})
	}
}

// A dispatch of which no byte went out is none, and a new budget counts anew.
func TestWithdrawnRetriesAndANewBudget(t *testing.T) {
	budget := RetryBudget{Window: time.Minute, Free: 1}
	l := NewLedger(Bounds{Retries: budget})
	l.Admitted(Job{ID: job, Deadline: at(time.Hour)}, start)
	l.Dispatched(dispatch(job, 0))
	for i := range 5 {
		if repeat(l, time.Duration(i)) {
			t.Fatal("one that was withdrawn counts")
		}
		l.Withdrawn(job)
	}
	if repeat(l, time.Second) || !repeat(l, 2*time.Second) {
		t.Error("the second is not the first beyond the budget")
	}
	l.SetRetryBudget(budget)
	if repeat(l, 3*time.Second) || !repeat(l, 4*time.Second) {
		t.Error("the new budget does not begin anew")
	}
}
