package discovery

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// assumedNotifiedAfter is how long after an event a controller that the discovery feed does not reach counts as
	// notified (protocol page, Figures).
	assumedNotifiedAfter = 7 * time.Second
	// reconnectGrace is how long after the loss of the feed its next connection is awaited, if what was received before
	// is older than assumedNotifiedAfter. After that the feed counts as unreachable, which must not block any send.
	reconnectGrace = 500 * time.Millisecond
	// runningCheckInterval is the interval at which the process is recorded as running.
	runningCheckInterval = 250 * time.Millisecond
	// minStall is the shortest stall after which the feed is awaited again: a process that runs tries to reconnect at
	// least this often.
	minStall = maxReconnectDelay
)

// freshness tracks how old the delivered endpoint list is. Data from the feed may lie unread, or be read and not yet
// delivered, while the process or one of its goroutines is stalled. It is safe for concurrent use.
type freshness struct {
	mu            sync.Mutex // innermost lock: no other lock is taken while it is held
	connections   map[*feedReader]struct{}
	currentAt     time.Time     // without a connection: everything that had arrived by then was delivered
	lostAt        time.Time     // when the last connection ended that had received data, or a stall after that
	lastRunningAt time.Time     // when the process was last recorded as running; zero: not recorded
	changed       chan struct{} // closed when more was delivered, or a connection ended
}

func newFreshness(now time.Time) *freshness {
	return &freshness{connections: map[*feedReader]struct{}{}, currentAt: now, lostAt: now,
		changed: make(chan struct{})}
}

// recordRunning records that the process is running. After a stall the feed is awaited as if it had just been lost: no
// connection could be attempted during the stall, and events sent since may already count as notified.
func (f *freshness) recordRunning(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordRunningLocked(now)
}

func (f *freshness) recordRunningLocked(now time.Time) {
	if !f.lastRunningAt.IsZero() && now.Sub(f.lastRunningAt) >= minStall {
		f.lostAt = now
	}
	f.lastRunningAt = now
}

// trackRunning records that the process is running until the context ends.
func (f *freshness) trackRunning(ctx context.Context) {
	ticker := time.NewTicker(runningCheckInterval)
	defer ticker.Stop()
	for {
		f.recordRunning(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// add starts to track a connection.
func (f *freshness) add(r *feedReader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.currentAt = f.effectiveCurrentAt()
	f.connections[r] = struct{}{}
}

// remove stops tracking a connection. Everything received over it was delivered, or will be sent again.
func (f *freshness) remove(r *feedReader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAt = f.effectiveCurrentAt()
	delete(f.connections, r)
	if r.hasReceived {
		f.lostAt = time.Now()
	}
	f.notifyChange()
}

// notifyChange wakes all waiters. The lock is held.
func (f *freshness) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// beginRead records that everything received over a connection was delivered, and that it waits for more.
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

// trackRead reads what has arrived over a connection; from then on until beginRead, it counts as undelivered. If
// nothing has arrived the error is EAGAIN, and the connection keeps waiting.
func (f *freshness) trackRead(r *feedReader, bufferSize int, read func() (int, error)) (n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	n, err = read()
	if errors.Is(err, syscall.EAGAIN) {
		return n, err
	}
	r.isWaiting = false
	r.hasReceived = r.hasReceived || n > 0
	if n < bufferSize { // everything that had arrived by now was read
		r.drainedAt = now
	}
	return n, err
}

// effectiveCurrentAt returns a time by which everything that had arrived was delivered. The lock is held.
func (f *freshness) effectiveCurrentAt() time.Time {
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

// check returns a time as of which the list is current, and a channel that is closed once a later one may be available.
// If the known time is within maxAge, the connections are not checked.
func (f *freshness) check(maxAge time.Duration) (currentAt time.Time, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	last := f.effectiveCurrentAt()
	if now.Sub(last) <= maxAge {
		return last, f.changed
	}
	if !f.lastRunningAt.IsZero() {
		f.recordRunningLocked(now) // a send may precede the periodic record
	}
	hasReceived := false
	for r := range f.connections {
		r.checkSocket(now)
		hasReceived = hasReceived || r.hasReceived
	}
	last = f.effectiveCurrentAt()
	canAssumeCurrent := now.Sub(last) < assumedNotifiedAfter || now.Sub(f.lostAt) >= reconnectGrace
	if !hasReceived && canAssumeCurrent { // what the feed sends from now on counts as notified later
		return now, f.changed
	}
	return last, f.changed
}

// await returns the result of check once that is within maxAge of the call, or after limit.
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
