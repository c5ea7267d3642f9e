package engine

import (
	"time"

	"swiftreel/internal/backend"
)

// Cancel tells the engine that nobody waits for a dispatch any more. It returns false if the dispatch has ended. Else
// done is called once the dispatch cannot run any more: when the engine has read the abort, or the connection has
// ended.
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
	d.close(backend.Running)
	needsAbort := !wasQueued && !d.isProbe && !c.isRemoved
	switch {
	case needsAbort:
		c.rememberID(d.id)
		c.pendingAborts[d.id] = done
	case !wasQueued && c.lastReceived.Before(d.writtenAt):
		p.suspect(c.engine.Name, d.writtenAt)
	}
	p.mu.Unlock()
	if !needsAbort {
		done()
		return true
	}
	go c.abort(d.id) // an engine that takes no bytes must not hold up whoever answers the job
	return true
}

// abort writes an abort, and behind it a command that the engine answers also for an unknown id: it reads in order,
// so that answer proves that it has read the abort.
func (c *conn) abort(id string) {
	at := time.Now()
	message := appendCommand(nil, commandAbort, id)
	message = appendNumberCommand(message, commandMore, id, 1)
	c.write(message)
	afterReading(c.pool.bounds.DialTimeout, func() { c.checkAbort(id, at) })
}

// checkAbort looks after an abort some time after it was written. If something was received since, the connection
// works and the abort counts as read. If nothing at all was received, the connection is closed, which gives up what
// is out on it, unless others that must not be lost are open there.
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

// handleSilence closes a connection on which an abort was not answered, or looks again later. The lock is held.
func (c *conn) handleSilence(id string, since time.Time) {
	p := c.pool
	p.suspect(c.engine.Name, since)
	if c.lane == backend.Restartable || len(c.open) == 0 {
		c.isCutByUs = true
		p.remove(c, closedSilent) // its reader ends the rest
		return
	}
	afterReading(p.bounds.DialTimeout, func() { c.checkAbort(id, since) })
}
