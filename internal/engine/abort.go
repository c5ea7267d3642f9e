package engine

import (
	"time"

	"swiftreel/internal/backend"
)

// Cancel tells the engine that the dispatch is no longer wanted. It returns false if the dispatch has already ended.
// Otherwise it calls done once the dispatch can no longer run: when the engine has read the abort, or when the
// connection has ended.
func (d *Dispatch) Cancel(done func()) bool {
	p := d.pool
	p.mu.Lock()
	if d.state == stateEnded {
		p.mu.Unlock()
		return false
	}
	c := d.conn
	wasQueued := d.state == stateQueued
	c.release(d)
	d.markEnded(backend.Running)
	needsAbort := !wasQueued && !d.isProbe && !c.isRemoved
	switch {
	case needsAbort:
		c.rememberID(d.id)
		c.pendingAborts[d.id] = done
	case !wasQueued && c.lastReceived.Before(d.writtenAt):
		p.markSuspect(c.engine.Name, d.writtenAt)
	}
	p.mu.Unlock()
	if !needsAbort {
		done()
		return true
	}
	go c.abort(d.id) // a write to an engine that reads nothing must not block the caller, which answers the job
	return true
}

// abort writes an abort command, followed by a more command, which the engine answers even for an unknown id. An engine
// processes commands in order, so that answer proves that it has read the abort.
func (c *conn) abort(id string) {
	at := time.Now()
	message := appendCommand(nil, commandAbort, id)
	message = appendNumberCommand(message, commandMore, id, 1)
	c.write(message)
	startTimeout(c.pool.limits.DialTimeout, func() { c.checkAbort(id, at) })
}

// checkAbort runs some time after an abort was written. If anything was received since, the connection works and the
// abort counts as read. Otherwise handleSilence closes the connection, which cancels what is in flight on it, unless
// run-once dispatches are open there.
func (c *conn) checkAbort(id string, since time.Time) {
	p := c.pool
	p.mu.Lock()
	done := c.pendingAborts[id]
	isAlive := c.lastReceived.After(since)
	switch {
	case done == nil:
	case isAlive:
		delete(c.pendingAborts, id)
	default:
		c.handleSilence(id, since)
	}
	p.mu.Unlock()
	if done != nil && isAlive {
		done()
	}
}

// handleSilence closes a connection on which an abort got no answer. While run-once dispatches are open on it, it stays
// open and is checked again later. The pool's lock is held.
func (c *conn) handleSilence(id string, since time.Time) {
	p := c.pool
	p.markSuspect(c.engine.Name, since)
	if c.lane == backend.Restartable || len(c.open) == 0 {
		c.isClosedLocally = true
		p.remove(c, closedSilent) // the reader of the connection ends the dispatches still open
		return
	}
	startTimeout(p.limits.DialTimeout, func() { c.checkAbort(id, since) })
}
