package ingress

import (
	"sync/atomic"
	"time"

	"swiftreel/internal/counters"
)

// The rate limit is a leaky bucket, in requests: a connection that sends more than MaxRequestRate is read more slowly.
// A refused request counts several times, so that a client that immediately retries refused ones is slowed down.
// Regular clients stay far below the limit.
const (
	MaxRequestRate = 1000                  // per second; also the burst size
	MaxReadDelay   = 50 * time.Millisecond // of each read
	refusalCost    = 8                     // requests that a refused one counts as
)

// RequestRate measures the rate of requests, or other messages, on a connection. Count and CountRefusal are safe for
// concurrent use; only the connection's reader calls DelayReading.
type RequestRate struct {
	level     atomic.Int64 // requests in the bucket, drained until updatedAt
	updatedAt time.Time
}

// Count counts a request.
func (r *RequestRate) Count() { r.level.Add(1) }

// CountRefusal adds the extra cost of a refused request that is already counted.
func (r *RequestRate) CountRefusal() { r.level.Add(refusalCost - 1) }

// DelayReading is called between reads. It sleeps if the rate is exceeded, and reports whether it did.
func (r *RequestRate) DelayReading(now time.Time) bool {
	delay := r.delay(now)
	if delay <= 0 {
		return false
	}
	counters.Increment("clients_slowed")
	time.Sleep(delay)
	return true
}

// delay drains the bucket for the time passed, and returns how long the next read must be delayed.
func (r *RequestRate) delay(now time.Time) time.Duration {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	drained := int64(now.Sub(r.updatedAt) * MaxRequestRate / time.Second)
	if drained > 0 {
		r.updatedAt = now
		if r.level.Add(-drained) < 0 {
			r.level.Store(0)
		}
	}
	excess := time.Duration(r.level.Load() - MaxRequestRate)
	return min(MaxReadDelay, max(0, excess*time.Second/MaxRequestRate))
}
