package audit

import "time"

// RetryBudget limits retries, that is dispatches after a job's first one: within any window there may be at most Free
// retries plus Ratio times the number of admitted jobs.
type RetryBudget struct {
	Window time.Duration // 0: no limit
	Free   float64       // retries per window
	Ratio  float64       // further retries per job admitted in the window
}

// retrySlack is the longest time from the decision to dispatch until the first byte is sent. It is needed because the
// decision module counts decisions against the budget, and the ledger counts sends.
const retrySlack = time.Second

// retries counts admitted jobs and retries within the window of the budget.
type retries struct {
	budget   RetryBudget
	admitted eventTimes
	retried  eventTimes
}

// addRetry counts a retry and reports whether it exceeds the budget.
func (r *retries) addRetry(at time.Time) bool {
	if r.budget.Window <= 0 {
		return false
	}
	r.retried.add(at)
	retried := float64(r.retried.since(at.Add(retrySlack - r.budget.Window)))
	admitted := float64(r.admitted.since(at.Add(-retrySlack - r.budget.Window)))
	return retried > r.budget.Free+r.budget.Ratio*admitted
}

// addJob counts an admitted job.
func (r *retries) addJob(at time.Time) {
	if r.budget.Window > 0 {
		r.admitted.add(at)
		r.admitted.since(at.Add(-retrySlack - r.budget.Window))
	}
}

// eventTimes are the times of events in ascending order, from the time last passed to since.
type eventTimes struct{ times []time.Time }

func (e *eventTimes) add(at time.Time) { e.times = append(e.times, at) }

// removeLast removes the latest event.
func (e *eventTimes) removeLast() {
	if len(e.times) > 0 {
		e.times = e.times[:len(e.times)-1]
	}
}

// since drops events before a time and returns the number of remaining events.
func (e *eventTimes) since(from time.Time) int {
	first := 0
	for first < len(e.times) && e.times[first].Before(from) {
		first++
	}
	e.times = e.times[first:]
	return len(e.times)
}
