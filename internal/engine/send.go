package engine

import (
	"errors"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

const (
	writeTimeout = time.Second // an engine that takes no byte for so long is cut off
	maxMoves     = 3           // of a dispatch of which no byte went out, to another connection

	maxPermissions = 3 // that a dispatch asks for on one connection
)

var (
	errClosedByEngine    = errors.New("the engine has closed the connection")
	errPermissionExpired = errors.New("the permission to send has expired")
)

// send writes a dispatch, unless it was given up or is not permitted any more. If no byte of it went out it never ran,
// and may go over another connection. A permission that has expired before the first byte is asked for again.
func (c *conn) send(dispatch *Dispatch) {
	for range maxPermissions {
		dispatch.awaitGate()
		if !c.trySend(dispatch) {
			return
		}
		counters.Increment("permissions_expired")
	}
	c.endExpired(dispatch)
}

// trySend asks for the permission and writes a dispatch. It reports whether the permission has expired meanwhile, and
// nothing was written: then it may be tried again.
func (c *conn) trySend(dispatch *Dispatch) (hasExpired bool) {
	c.writeMu.Lock()
	granted := dispatch.permission()
	decision := c.beginSend(dispatch, granted)
	var written int
	var err error
	if decision == sendNow {
		written, err = c.writeDispatch(dispatch, granted)
	}
	if written == 0 {
		dispatch.withdraw(granted)
	}
	c.writeMu.Unlock() // an abort of the dispatch has waited for it
	switch {
	case errors.Is(err, errPermissionExpired):
		return true
	case decision == sendRefused:
		counters.Increment("dispatches_refused_at_send")
		dispatch.notifyEnd(backend.Reply{Outcome: backend.Superseded})
	default:
		c.finishSend(dispatch, written, err)
	}
	return false
}

// endExpired ends a dispatch whose permissions have all expired: this process is short of CPU.
func (c *conn) endExpired(dispatch *Dispatch) {
	if c.beginSend(dispatch, backend.Permission{}) == sendRefused {
		counters.Increment("dispatches_refused_at_send")
		dispatch.notifyEnd(backend.Reply{Outcome: backend.Superseded})
	}
}

// sendDecision is what becomes of a dispatch whose turn has come.
type sendDecision uint8

const (
	sendNow     sendDecision = iota
	sendNothing              // it was given up
	sendRefused
)

// beginSend decides on a dispatch whose turn has come, and ends it if it is not permitted.
func (c *conn) beginSend(d *Dispatch, granted backend.Permission) sendDecision {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	d.writtenAt = time.Now()
	switch {
	case d.state != stateSending:
		return sendNothing
	case granted.Granted:
		return sendNow
	}
	c.release(d)
	d.close(backend.Superseded)
	return sendRefused
}

// writeDispatch writes the command of a dispatch, unless the engine has closed the connection, which its reader may
// not have come to yet. writeMu is held.
func (c *conn) writeDispatch(d *Dispatch, granted backend.Permission) (int, error) {
	command := d.appendCommand(nil, granted)
	if isClosedByPeer(c.socket) {
		return 0, errClosedByEngine
	}
	if !granted.ExpiresAt.IsZero() && time.Now().After(granted.ExpiresAt) { // a stall, since the permission
		return 0, errPermissionExpired
	}
	return c.writeLocked(command)
}

// finishSend goes on with a dispatch after its write: it is out, or ends, or goes over another connection.
func (c *conn) finishSend(dispatch *Dispatch, written int, err error) {
	p := c.pool
	p.mu.Lock()
	if dispatch.state != stateSending { // given up, or answered already
		p.mu.Unlock()
		return
	}
	if err == nil && !c.isRemoved {
		dispatch.markDispatched()
		p.mu.Unlock()
		return
	}
	delete(c.open, dispatch.id)
	p.remove(c, closedBySend)
	// Past half the dial time-out another connection might be too late for an engine that now drains.
	canMove := written == 0 && dispatch.moves < maxMoves && time.Since(dispatch.orderedAt) <= p.bounds.DialTimeout/2
	if !canMove {
		dispatch.close(backend.Reset)
		p.mu.Unlock()
		dispatch.notifyEnd(backend.Reply{Outcome: endOfFailedSend(written)})
		return
	}
	dispatch.moves++
	state := p.assign(c.engine, dispatch)
	p.mu.Unlock()
	counters.Increment("dispatches_moved")
	dispatch.proceed(state)
}

func endOfFailedSend(written int) backend.Outcome {
	if written > 0 {
		return backend.Reset
	}
	return backend.DialFailed
}

// write writes a message; one that does not go out completely ends the connection, whose reader then ends what is
// open.
func (c *conn) write(message []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.writeLocked(message) // the reader sees the end of the connection
}

// writeLocked writes a message and returns how many bytes went out. writeMu is held.
func (c *conn) writeLocked(message []byte) (int, error) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error shows at the write
	n, err := c.socket.Write(message)
	if err != nil {
		closeSocket(c.socket, true) // it is of no further use
	}
	return n, err
}
