package choice

import "slices"

// tokenBucket admits a rate of jobs and a burst.
type tokenBucket struct {
	tokens    float64
	updatedAt Nanos
}

// take takes a token if there is one. The rate is in tokens a second.
func (b *tokenBucket) take(now Nanos, rate, burst float64) bool {
	b.tokens = min(b.tokens+rate*float64(now-b.updatedAt)/float64(second), burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryBudget limits dispatches beyond a job's first: by tokens that admitted jobs earn, and by the configured ratio
// of retries to admitted jobs in a window.
type retryBudget struct {
	tokens     float64
	admittedAt []Nanos // when admitted jobs arrived, inside the window
	retriedAt  []Nanos // dispatches beyond the first, likewise
}

func (b *retryBudget) admit(arrivedAt Nanos) { b.admittedAt = append(b.admittedAt, arrivedAt) }

func (b *retryBudget) retry(now Nanos) { b.retriedAt = append(b.retriedAt, now) }

// trim removes what happened until a time, inclusive.
func (b *retryBudget) trim(until Nanos) {
	past := func(at Nanos) bool { return at <= until }
	b.admittedAt = slices.DeleteFunc(b.admittedAt, past)
	b.retriedAt = slices.DeleteFunc(b.retriedAt, past)
}

// probeBudget limits probes by tokens that admitted jobs earn.
type probeBudget struct {
	tokens       float64
	lastFundedAt Nanos // when there last was a token
}

// checkFunds notes whether a probe is paid for now.
func (b *probeBudget) checkFunds(now Nanos) {
	if b.tokens >= 1 {
		b.lastFundedAt = now
	}
}
