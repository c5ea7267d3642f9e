package client

import (
	"sync/atomic"
	"time"

	"swiftreel/internal/counters"
)

// The rate limit is a leaky bucket, in messages: a connection that sends more than maxMessageRate is read more slowly.
// A refused message counts several times, so that a client that immediately retries refused calls is slowed down.
// Regular clients stay far below the limit.
const (
	maxMessageRate = 1000 // per second; also the burst size
	refusalCost    = 8    // messages that a refused one counts as
	maxReadDelay   = 50 * time.Millisecond
)

// messageRate measures the message rate of a connection. Only the connection's reader calls delayReading.
type messageRate struct {
	level     atomic.Int64 // messages in the bucket, drained until updatedAt
	updatedAt time.Time
}

func (r *messageRate) countMessage() { r.level.Add(1) }

// countRefusal adds the extra cost of a refused message that is already counted as a message.
func (r *messageRate) countRefusal() { r.level.Add(refusalCost - 1) }

// delayReading is called between reads. It sleeps if the rate is exceeded, and reports whether it did.
func (r *messageRate) delayReading(now time.Time) bool {
	delay := r.delay(now)
	if delay <= 0 {
		return false
	}
	counters.Increment("clients_slowed")
	time.Sleep(delay)
	return true
}

// delay drains the bucket for the time passed, and returns how long the next read must be delayed.
func (r *messageRate) delay(now time.Time) time.Duration {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	drained := int64(now.Sub(r.updatedAt) * maxMessageRate / time.Second)
	if drained > 0 {
		r.updatedAt = now
		if r.level.Add(-drained) < 0 {
			r.level.Store(0)
		}
	}
	excess := time.Duration(r.level.Load() - maxMessageRate)
	return min(maxReadDelay, max(0, excess*time.Second/maxMessageRate))
}
