package coordinator

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before a supervisor that did not answer is polled again.
const (
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	maxDoublings    = 10
)

// backoff decides when a supervisor that did not answer is polled again: with a delay that doubles, and with jitter,
// so that many that were lost at once are not all polled at once. It has no clock; times are in nanoseconds since the
// client's start.
type backoff struct {
	failures int   // in a row
	retryAt  int64 // ns
}

func (b backoff) isDue(now int64) bool { return now >= b.retryAt }

func (b *backoff) succeeded() { *b = backoff{} }

func (b *backoff) failed(now int64, random *rand.Rand) {
	b.failures++
	delay := min(int64(maxRetryDelay), int64(firstRetryDelay)<<min(b.failures-1, maxDoublings))
	b.retryAt = now + delay*3/4 + random.Int64N(delay/2)
}
