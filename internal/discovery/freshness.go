package discovery

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// notifiedWithin is how long after an event of the feed a controller that the feed does not reach counts as
	// notified (protocol page, Figures).
	notifiedWithin = 7 * time.Second
	// reconnectTime is how long after the loss of the feed its next connection is waited for, where what was received
	// before is older than notifiedWithin. Then the feed counts as out of reach, which must stop nothing.
	reconnectTime = 500 * time.Millisecond
	// runningInterval is how often it is noted that the process runs.
	runningInterval = 250 * time.Millisecond
	// minStall is the least stall after which the feed is waited for anew: without one a connection is tried as often.
	minStall = maxReconnect
)

// freshness knows how old the endpoint list is, as far as it was passed on: what the feed has sent may lie unread, or
// be read and not passed on yet, while the process or a goroutine of it is stalled. It is safe for concurrent use.
type freshness struct {
	mu          sync.Mutex // taken last: no other lock is taken while it is held
	connections map[*feedReader]struct{}
	currentAt   time.Time     // without a connection: all that had arrived by then was passed on
	lostAt      time.Time     // when the last connection ended over which something had come, or a stall since
	runningAt   time.Time     // when the process last ran; zero: nobody notes it
	changed     chan struct{} // closed when more was passed on, or a connection ends
}

func newFreshness(now time.Time) *freshness {
	return &freshness{connections: map[*feedReader]struct{}{}, currentAt: now, lostAt: now,
		changed: make(chan struct{})}
}

// noteRunning notes that the process runs. After a stall the feed is waited for as if it had just been lost: no
// connection could be tried meanwhile, and what was told since may count as told already.
func (f *freshness) noteRunning(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRunningLocked(now)
}

func (f *freshness) noteRunningLocked(now time.Time) {
	if !f.runningAt.IsZero() && now.Sub(f.runningAt) >= minStall {
		f.lostAt = now
	}
	f.runningAt = now
}

// watchRunning notes that the process runs until the context ends.
func (f *freshness) watchRunning(ctx context.Context) {
	ticker := time.NewTicker(runningInterval)
	defer ticker.Stop()
	for {
		f.noteRunning(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// add counts a connection from now on.
func (f *freshness) add(r *feedReader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.currentAt = f.lastCurrent()
	f.connections[r] = struct{}{}
}

// remove forgets a connection. All that was received over it is passed on, or will be told again.
func (f *freshness) remove(r *feedReader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAt = f.lastCurrent()
	delete(f.connections, r)
	if r.hasReceived {
		f.lostAt = time.Now()
	}
	f.notifyChange()
}

// notifyChange wakes all that wait. The lock is held.
func (f *freshness) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// beginRead notes that all that was received over a connection is passed on, and that it waits for more.
func (f *freshness) beginRead(r *feedReader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.drainedAt.After(r.currentAt) {
		r.currentAt = r.drainedAt
	}
	r.isWaiting = true
	r.checkSocket(time.Now())
	f.notifyChange()
}

// take reads what has arrived over a connection; from then on until beginRead it counts as not passed on. Where
// nothing has arrived the error is EAGAIN, and the connection waits on.
func (f *freshness) take(r *feedReader, bufferSize int, read func() (int, error)) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	n, err = read()
	if errors.Is(err, syscall.EAGAIN) {
		return n, err
	}
	r.isWaiting = false
	r.hasReceived = r.hasReceived || n > 0
	if n < bufferSize { // nothing is left of what had arrived by now
		r.drainedAt = now
	}
	return n, err
}

// lastCurrent is a moment such that all that had arrived by then was passed on. The lock is held.
func (f *freshness) lastCurrent() time.Time {
	var last time.Time
	for r := range f.connections {
		if r.hasReceived && (last.IsZero() || r.currentAt.Before(last)) {
			last = r.currentAt
		}
	}
	if last.IsZero() {
		return f.currentAt
	}
	return last
}

// check returns a moment such that the list is known as it was told by then, and a channel that is closed once that
// may have become a later one. A moment within maxAge is not looked for anew.
func (f *freshness) check(maxAge time.Duration) (currentAt time.Time, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	last := f.lastCurrent()
	if now.Sub(last) <= maxAge {
		return last, f.changed
	}
	if !f.runningAt.IsZero() {
		f.noteRunningLocked(now) // a send may come before the note of the same moment
	}
	hasReceived := false
	for r := range f.connections {
		r.checkSocket(now)
		hasReceived = hasReceived || r.hasReceived
	}
	last = f.lastCurrent()
	isOutOfReach := now.Sub(last) < notifiedWithin || now.Sub(f.lostAt) >= reconnectTime
	if !hasReceived && isOutOfReach { // what it has to tell counts as told later
		return now, f.changed
	}
	return last, f.changed
}

// await returns what check does, once that is within maxAge of the call or the limit is over.
func (f *freshness) await(maxAge, limit time.Duration) time.Time {
	wanted := time.Now().Add(-maxAge)
	currentAt, changed := f.check(maxAge)
	if !currentAt.Before(wanted) || limit <= 0 {
		return currentAt
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for currentAt.Before(wanted) {
		select {
		case <-changed:
			currentAt, changed = f.check(maxAge)
		case <-timeout.C:
			return currentAt
		}
	}
	return currentAt
}
