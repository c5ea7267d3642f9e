package ingress

import (
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

const (
	stallCheckInterval = 10 * time.Millisecond
	stallThreshold     = 50 * time.Millisecond // a tick this late means that the process was stalled
	stallGrace         = 20 * time.Millisecond // time after a stall in which all input that arrived during it is read
	busyGrace          = time.Second           // the same on a machine that is short of CPU time
)

// StallDetector determines how long input may have been waiting when it is read. A process that was stopped or got no
// CPU time reads calls long after they were sent, while their clients measure the timeout from the time of sending. It
// is safe for concurrent use.
type StallDetector struct {
	mu         sync.Mutex
	lastTick   time.Time
	stallStart time.Time // start of the last stall
	stallEnd   time.Time
	log        ratelog.Logger
}

// NewStallDetector returns a detector that has seen no stall.
func NewStallDetector(now time.Time) *StallDetector {
	d := &StallDetector{}
	d.Reset(now)
	return d
}

// Reset starts over: any time before now does not count as a stall.
func (d *StallDetector) Reset(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTick = now
	d.stallStart = now
	d.stallEnd = now.Add(-busyGrace)
}

// tick must be called at each interval. It returns the duration of a stall that has just ended, or 0 if there was none.
func (d *StallDetector) tick(now time.Time) (stall time.Duration) {
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

// EarliestSendTime returns the earliest time at which input read at readAt may have been sent, to within
// stallThreshold.
func (d *StallDetector) EarliestSendTime(readAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case readAt.Sub(d.lastTick) > stallThreshold: // the process was stalled and no tick has run since
		return d.lastTick
	case readAt.Sub(d.stallEnd) < stallGrace:
		return d.stallStart
	}
	return readAt
}

// StalledSince returns the start of a stall since which input that is read at a time may have lain unread, and false if
// there was none.
func (d *StallDetector) StalledSince(readAt time.Time) (start time.Time, stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stallStart, readAt.Sub(d.stallEnd) < busyGrace
}

// Run calls tick at each interval until done is closed.
func (d *StallDetector) Run(done <-chan struct{}) {
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
