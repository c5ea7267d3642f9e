package ingress

import (
	"slices"
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/limits"
)

// Conn is a client connection that may be closed in favor of another. Its methods are called with the table's lock held
// and must not call the table.
type Conn interface {
	// AcceptedAt returns when the connection was accepted.
	AcceptedAt() time.Time
	// Activity returns how the connection is used.
	Activity() Activity
	// HasPendingInput reports whether unread input or part of a request may become a request.
	HasPendingInput() bool
	// HalfCloseIfIdle half-closes the connection if it is idle without pending input, and reports whether it is now
	// half-closed. Check and close are atomic: a request read between them could not be answered.
	HalfCloseIfIdle() bool
	// HalfCloseIfSilent half-closes the connection if no complete request was ever read on it, and reports whether it is
	// now half-closed.
	HalfCloseIfSilent() bool
	// Abort closes the connection. Its reader returns with an error.
	Abort()
}

// Activity describes the use of a connection.
type Activity struct {
	LastUsed           time.Time
	HasReceivedRequest bool // a complete request was read
	IsIdle             bool // no request is open and no answer is being written
}

// Table holds the client connections of all front ends, which share one limit, and closes idle ones if it is full. It
// is safe for concurrent use.
type Table struct {
	limits *limits.Budget

	mu            sync.Mutex // guards the fields below
	capacityFreed *sync.Cond
	conns         map[Conn]struct{}
	lingering     []Conn // half-closed by the table and not yet closed by their clients, oldest first; not in conns
}

// NewTable returns a table with the limits of a budget for connections.
func NewTable(budget *limits.Budget) *Table {
	t := &Table{limits: budget, conns: map[Conn]struct{}{}}
	t.capacityFreed = sync.NewCond(&t.mu)
	return t
}

// Add waits for capacity and adds the connection that create returns, unless that is nil. The descriptor of the waiting
// connection comes from the reserve (see package limits). It waits no longer once isOver returns true; a call of Wake
// must follow.
func (t *Table) Add(isOver func() bool, create func() Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.conns) >= t.limits.ClientConns.Max() && !isOver() {
		counters.Increment("client_conns_full")
		if t.evictOne(time.Now()) {
			continue
		}
		wake := time.AfterFunc(MinSilentAge/4, t.capacityFreed.Broadcast)
		t.capacityFreed.Wait()
		wake.Stop()
	}
	if added := create(); added != nil {
		t.conns[added] = struct{}{}
	}
}

// Remove removes a connection that has ended.
func (t *Table) Remove(c Conn) {
	t.mu.Lock()
	delete(t.conns, c)
	t.lingering = slices.DeleteFunc(t.lingering, func(other Conn) bool { return other == c })
	t.mu.Unlock()
	t.capacityFreed.Broadcast()
}

// Wake makes all waiting calls of Add check whether they still have to wait.
func (t *Table) Wake() { t.capacityFreed.Broadcast() }

// linger removes a half-closed connection from the connection count. Its descriptor counts toward the reserve (see
// package limits) until the client closes it too. If too many are lingering, the oldest is closed. t.mu must be held.
func (t *Table) linger(c Conn) {
	delete(t.conns, c)
	t.lingering = append(t.lingering, c)
	if len(t.lingering) > max(1, t.limits.LingeringConns.Max()) {
		counters.Increment("lingering_full")
		t.lingering[0].Abort()
		t.lingering = slices.Delete(t.lingering, 0, 1)
	}
}

// LingeringCount returns the number of connections that the table has half-closed and their clients have not closed.
func (t *Table) LingeringCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lingering)
}
