package audit

import "time"

// RetryBudget bounds dispatches beyond a job's first: of all in a window, there may be so many more than a part of the
// jobs admitted in it.
type RetryBudget struct {
	Window time.Duration // 0: no bound
	Free   float64
	Ratio  float64 // of the jobs admitted
}

// retrySlack is by how much an order may come before its first byte: the budget counts orders, the ledger sends.
const retrySlack = time.Second

// retries counts admitted jobs and further dispatches over a window.
type retries struct {
	budget   RetryBudget
	admitted eventTimes
	further  eventTimes
}

// dispatched counts a further dispatch, and reports whether it is beyond the budget.
func (r *retries) dispatched(at time.Time) bool {
	if r.budget.Window <= 0 {
		return false
	}
	r.further.add(at)
	further := float64(r.further.since(at.Add(retrySlack - r.budget.Window)))
	admitted := float64(r.admitted.since(at.Add(-retrySlack - r.budget.Window)))
	return further > r.budget.Free+r.budget.Ratio*admitted
}

// admit counts a job.
func (r *retries) admit(at time.Time) {
	if r.budget.Window > 0 {
		r.admitted.add(at)
		r.admitted.since(at.Add(-retrySlack - r.budget.Window))
	}
}

// eventTimes are times of events, the oldest first, as far back as was asked last.
type eventTimes struct{ times []time.Time }

func (e *eventTimes) add(at time.Time) { e.times = append(e.times, at) }

// removeLast takes back the event added last.
func (e *eventTimes) removeLast() {
	if len(e.times) > 0 {
		e.times = e.times[:len(e.times)-1]
	}
}

// since drops what was before a time, and returns how many are left.
func (e *eventTimes) since(from time.Time) int {
	first := 0
	for first < len(e.times) && e.times[first].Before(from) {
		first++
	}
	e.times = e.times[first:]
	return len(e.times)
}
