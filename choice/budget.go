package choice

import "slices"

// tokenBucket limits the rate of jobs, with a burst.
type tokenBucket struct {
	tokens    float64
	updatedAt Nanos
}

// take refills the token bucket and takes a token if there is one. The rate is in tokens per second, and the
// burst is the capacity.
func (b *tokenBucket) take(now Nanos, rate, burst float64) bool {
	b.tokens = min(b.tokens+rate*float64(now-b.updatedAt)/float64(second), burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryBudget limits dispatches after a job's first: by tokens that admitted jobs earn, and by the configured
// ratio of retries to admitted jobs in a window.
type retryBudget struct {
	tokens     float64
	admittedAt []Nanos // when the admitted jobs of the window arrived
	retriedAt  []Nanos // times of the window's dispatches after a job's first
}

func (b *retryBudget) recordAdmission(arrivedAt Nanos) {
	b.admittedAt = append(b.admittedAt, arrivedAt)
}

func (b *retryBudget) recordRetry(now Nanos) { b.retriedAt = append(b.retriedAt, now) }

// trim removes all entries up to and including a time.
func (b *retryBudget) trim(until Nanos) {
	expired := func(at Nanos) bool { return at <= until }
	b.admittedAt = slices.DeleteFunc(b.admittedAt, expired)
	b.retriedAt = slices.DeleteFunc(b.retriedAt, expired)
}

// probeBudget limits probes by tokens that admitted jobs earn.
type probeBudget struct {
	tokens       float64
	lastFundedAt Nanos // when a token was last available
}

// recordFunding records the time if there is a token for a probe.
func (b *probeBudget) recordFunding(now Nanos) {
	if b.tokens >= 1 {
		b.lastFundedAt = now
	}
}
