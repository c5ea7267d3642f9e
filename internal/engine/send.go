package engine

import (
	"errors"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

const (
	writeTimeout = time.Second // a connection on which a write takes longer is closed
	maxMoves     = 3           // of a dispatch to another connection, before any byte was sent

	maxPermissions = 3 // requested for a dispatch on one connection
)

var (
	errClosedByEngine    = errors.New("engine closed the connection")
	errPermissionExpired = errors.New("permission to send expired")
)

// send writes a dispatch, unless it was cancelled or is no longer permitted. If none of its bytes was sent it never
// ran, and may move to another connection. A permission that expires before the first byte is requested again.
func (c *conn) send(dispatch *Dispatch) {
	for range maxPermissions {
		dispatch.awaitGate()
		if !c.trySend(dispatch) {
			return
		}
		counters.Increment("permissions_expired")
	}
	c.refuseExpired(dispatch)
}

// trySend requests the permission and writes a dispatch. It reports whether the permission expired before anything was
// written, in which case the caller may try again.
func (c *conn) trySend(dispatch *Dispatch) (hasExpired bool) {
	c.writeMu.Lock()
	granted := dispatch.requestPermission()
	decision := c.beginSend(dispatch, granted)
	var written int
	var err error
	if decision == sendNow {
		written, err = c.writeDispatch(dispatch, granted)
	}
	if written == 0 {
		dispatch.withdrawPermission(granted)
	}
	c.writeMu.Unlock() // an abort of this dispatch waits for the lock
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

// refuseExpired ends a dispatch whose permissions have all expired, as happens when this process is short of CPU time.
func (c *conn) refuseExpired(dispatch *Dispatch) {
	if c.beginSend(dispatch, backend.Permission{}) == sendRefused {
		counters.Increment("dispatches_refused_at_send")
		dispatch.notifyEnd(backend.Reply{Outcome: backend.Superseded})
	}
}

// sendDecision is what to do with a dispatch that is ready to be sent.
type sendDecision uint8

const (
	sendNow sendDecision = iota
	sendCancelled
	sendRefused
)

// beginSend decides whether to send a dispatch that is ready, and ends it if it is not permitted.
func (c *conn) beginSend(d *Dispatch, granted backend.Permission) sendDecision {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	d.writtenAt = time.Now()
	switch {
	case d.state != stateSending:
		return sendCancelled
	case granted.Granted:
		return sendNow
	}
	c.release(d)
	d.markEnded(backend.Superseded)
	return sendRefused
}

// writeDispatch writes the command of a dispatch, unless the permission has expired or the engine has closed the
// connection, which its reader may not have noticed yet. writeMu is held.
func (c *conn) writeDispatch(d *Dispatch, granted backend.Permission) (int, error) {
	command := d.appendCommand(nil, granted)
	if isClosedByPeer(c.socket) {
		return 0, errClosedByEngine
	}
	written, err := c.writeLocked(command, granted.ExpiresAt)
	if written > 0 {
		c.recordSendTime(d, granted)
	}
	return written, err
}

// recordSendTime logs a send that ended after its permission expired: the process was stopped, or short of CPU time,
// shortly before, during or after the system call.
func (c *conn) recordSendTime(d *Dispatch, granted backend.Permission) {
	overdue := time.Since(granted.ExpiresAt)
	if granted.ExpiresAt.IsZero() || overdue <= 0 {
		return
	}
	c.pool.stalledSendLog.CountAndWarn("sends_stalled", "send_stalled", "call", d.id, "engine", c.engine.Name,
		"overdue_ms", overdue.Milliseconds())
}

// finishSend continues after the write of a dispatch: it is in flight, ends, or moves to another connection.
func (c *conn) finishSend(dispatch *Dispatch, written int, err error) {
	p := c.pool
	p.mu.Lock()
	if dispatch.state != stateSending { // cancelled or answered already
		p.mu.Unlock()
		return
	}
	if err == nil && !c.isRemoved {
		dispatch.markDispatched()
		p.mu.Unlock()
		return
	}
	delete(c.open, dispatch.id)
	p.remove(c, closedSendFailed)
	// After half the dial timeout, another connection might come up only once the engine has begun to drain.
	canMove := written == 0 && dispatch.moves < maxMoves && time.Since(dispatch.decidedAt) <= p.limits.DialTimeout/2
	if !canMove {
		dispatch.markEnded(backend.Reset)
		p.mu.Unlock()
		dispatch.notifyEnd(backend.Reply{Outcome: outcomeOfFailedSend(written)})
		return
	}
	dispatch.moves++
	state := p.assign(c.engine, dispatch)
	p.mu.Unlock()
	counters.Increment("dispatches_moved")
	dispatch.proceed(state)
}

func outcomeOfFailedSend(written int) backend.Outcome {
	if written > 0 {
		return backend.Reset
	}
	return backend.DialFailed
}

// write writes a message. If it cannot be written completely the connection is closed, and its reader ends the
// dispatches open on it.
func (c *conn) write(message []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.writeLocked(message, time.Time{}) // after an error the reader sees the end of the connection
}

// writeLocked writes a message whose first byte must not be sent after expiresAt (zero: no limit), and returns how many
// bytes were written. writeMu is held.
func (c *conn) writeLocked(message []byte, expiresAt time.Time) (int, error) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error surfaces at the write
	n, err := writeBefore(c.socket, message, expiresAt)
	if err != nil && !errors.Is(err, errPermissionExpired) {
		closeSocket(c.socket, true) // nothing valid can follow an incomplete message
	}
	return n, err
}
