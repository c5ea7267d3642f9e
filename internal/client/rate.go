package client

import (
	"sync/atomic"
	"time"

	"swiftreel/internal/counters"
)

// A connection may send so many messages a second before it is read more slowly; one that was refused counts as
// several. Usual clients stay far below; a client that repeats at once what was refused slows down itself.
const (
	maxMessageRate = 1000 // a second; also what may be saved up
	refusalCost    = 8    // messages
	maxReadDelay   = 50 * time.Millisecond
)

// messageRate is what a connection has sent of late. Only the connection's reader calls delayReading.
type messageRate struct {
	spent     atomic.Int64 // messages since updatedAt
	updatedAt time.Time
}

func (r *messageRate) countMessage() { r.spent.Add(1) }

// countRefusal counts a message that was counted before as one that was refused.
func (r *messageRate) countRefusal() { r.spent.Add(refusalCost - 1) }

// delayReading is called between reads. It sleeps if too much came, and reports whether it did.
func (r *messageRate) delayReading(now time.Time) bool {
	delay := r.delay(now)
	if delay <= 0 {
		return false
	}
	counters.Increment("clients_slowed")
	time.Sleep(delay)
	return true
}

// delay returns how long the next read must wait. What was sent is forgiven as time passes.
func (r *messageRate) delay(now time.Time) time.Duration {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	forgiven := int64(now.Sub(r.updatedAt) * maxMessageRate / time.Second)
	if forgiven > 0 {
		r.updatedAt = now
		if r.spent.Add(-forgiven) < 0 {
			r.spent.Store(0)
		}
	}
	excess := time.Duration(r.spent.Load() - maxMessageRate)
	return min(maxReadDelay, max(0, excess*time.Second/maxMessageRate))
}
