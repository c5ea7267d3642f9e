package coordinator

import (
	"math/rand/v2"
	"time"
)

// Limits of the delay before a supervisor that did not reply is polled again.
const (
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	maxDoublings    = 10
)

// backoff determines when a supervisor that did not reply is polled again: after an exponential delay with jitter, so
// that supervisors that failed at the same time are not polled at the same time. It has no clock; times are in
// nanoseconds since the client's start.
type backoff struct {
	failures int   // consecutive
	retryAt  int64 // ns
}

func (b backoff) isDue(now int64) bool { return now >= b.retryAt }

func (b *backoff) succeeded() { *b = backoff{} }

func (b *backoff) failed(now int64, random *rand.Rand) {
	b.failures++
	delay := min(int64(maxRetryDelay), int64(firstRetryDelay)<<min(b.failures-1, maxDoublings))
	b.retryAt = now + delay*3/4 + random.Int64N(delay/2)
}
