package client

import (
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

const (
	pulseEvery = 10 * time.Millisecond
	stallLeast = 50 * time.Millisecond // a pulse so late shows that the program stood still
	stallAfter = 20 * time.Millisecond // in which all that came meanwhile is read
)

// pulse tells how long what was just read may have lain unread: a program that was stopped, or got no CPU, reads
// calls long after they were sent, and their clients count from then.
type pulse struct {
	mu       sync.Mutex
	last     time.Time
	from, to time.Time // the last stall
	say      ratelog.Logger
}

func newPulse(now time.Time) *pulse { return &pulse{last: now, from: now, to: now.Add(-stallAfter)} }

// beat is called every pulse and tells how long the program stood still, if it did.
func (p *pulse) beat(now time.Time) (still time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap := now.Sub(p.last); gap > stallLeast {
		p.from, p.to, still = p.last, now, gap
	}
	p.last = now
	return still
}

// sent is the earliest time at which what was read may have been sent, within a pulse.
func (p *pulse) sent(read time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case read.Sub(p.last) > stallLeast: // the reader came before the pulse
		return p.last
	case read.Sub(p.to) < stallAfter:
		return p.from
	}
	return read
}

// run beats until done.
func (p *pulse) run(done <-chan struct{}) {
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			if still := p.beat(time.Now()); still > 0 {
				counters.Increment("stalls")
				p.say.Warn("stood_still", "for_ms", still.Milliseconds())
			}
		}
	}
}
