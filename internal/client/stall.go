package client

import (
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

const (
	stallCheckInterval = 10 * time.Millisecond
	stallThreshold     = 50 * time.Millisecond // a tick so late shows that the process was stalled
	stallGrace         = 20 * time.Millisecond // after a stall, in which all that arrived meanwhile is read
)

// stallDetector tells how long what was just read may have lain unread: a process that was stopped, or got no CPU,
// reads calls long after they were sent, and their clients count the timeout from then. It is safe for concurrent
// use.
type stallDetector struct {
	mu         sync.Mutex
	lastTick   time.Time
	stallStart time.Time // of the last stall
	stallEnd   time.Time
	log        ratelog.Logger
}

func newStallDetector(now time.Time) *stallDetector {
	d := &stallDetector{}
	d.reset(now)
	return d
}

// reset begins again: what was before now is no stall.
func (d *stallDetector) reset(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTick = now
	d.stallStart = now
	d.stallEnd = now.Add(-stallGrace)
}

// tick is called at each interval and returns for how long the process was stalled, 0 if it was not.
func (d *stallDetector) tick(now time.Time) (stall time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastTick)
	if gap > stallThreshold {
		d.stallStart = d.lastTick
		d.stallEnd = now
		stall = gap
	}
	d.lastTick = now
	return stall
}

// earliestSendTime is the earliest time at which what was read may have been sent, within an interval.
func (d *stallDetector) earliestSendTime(readAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case readAt.Sub(d.lastTick) > stallThreshold: // the reader runs before the tick
		return d.lastTick
	case readAt.Sub(d.stallEnd) < stallGrace:
		return d.stallStart
	}
	return readAt
}

// run ticks until done.
func (d *stallDetector) run(done <-chan struct{}) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if stall := d.tick(time.Now()); stall > 0 {
				counters.Increment("process_stalls")
				d.log.Warn("process_stalled", "for_ms", stall.Milliseconds())
			}
		}
	}
}
