package client

import (
	"sync/atomic"
	"time"

	"swiftreel/internal/counters"
)

// A connection may send so many messages a second before it is read more slowly; one that was refused counts as
// several. Usual clients stay far below; one that asks for the same again as soon as it is turned away costs itself.
const (
	paceMost    = 1000 // a second, and saved up
	paceRefused = 8
	paceRest    = 50 * time.Millisecond
)

// pace is what a connection has sent of late.
type pace struct {
	spent atomic.Int64 // messages since at
	at    time.Time
}

func (p *pace) message() { p.spent.Add(1) }
func (p *pace) refused() { p.spent.Add(paceRefused - 1) }

// rest is called between reads, and sleeps where too much came; it tells whether it did.
func (p *pace) rest(now time.Time) bool {
	wait := p.owes(now)
	if wait > 0 {
		counters.Increment("clients_slowed")
		time.Sleep(wait)
	}
	return wait > 0
}

// owes tells how long the next read must wait. What was sent is forgiven as time passes.
func (p *pace) owes(now time.Time) time.Duration {
	if p.at.IsZero() {
		p.at = now
	}
	if n := int64(now.Sub(p.at) * paceMost / time.Second); n > 0 {
		p.at = now
		if p.spent.Add(-n) < 0 {
			p.spent.Store(0)
		}
	}
	over := p.spent.Load() - paceMost
	return min(paceRest, max(0, time.Duration(over)*time.Second/paceMost))
}
