package client

import (
	"errors"
	"fmt"
	"io"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ingress"
	"swiftreel/internal/socketstate"
)

// maxOpenCalls is the maximum number of open calls on a connection, as the protocol specifies.
const maxOpenCalls = 32

// handleMessages handles all complete messages in the buffer, which were received within the given bounds.
func (c *conn) handleMessages(received ingress.Receipt) error {
	for {
		size, err := valueSize(c.buffer[c.start:c.end])
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		c.rate.Count()
		isLast := c.start+size == c.end && received.IsLate && !c.hasBufferedInput()
		if err := c.handle(c.buffer[c.start:c.start+size], received.OfMessage(isLast)); err != nil {
			c.unusableSize = size
			return err
		}
		c.start += size
		c.hasMessageDeadline = false
		c.isFinalRead = false
	}
}

// handle handles one complete message. An error ends the input of the connection.
func (c *conn) handle(text []byte, received ingress.Receipt) error {
	m, err := parseMessage(text)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.hasReceivedMessage = true
	c.lastUsed = time.Now()
	c.mu.Unlock()
	switch {
	case m.isNotification:
		if id, isRevocation := m.revokedID(); isRevocation {
			c.revoke(id)
		}
		return nil
	case string(m.method) == methodHeartbeat:
		return c.reply(appendHeartbeatAnswer(nil, m.id, c.server.jobs.Ready()))
	default:
		return c.handleCall(m, received)
	}
}

// handleCall opens a call or refuses it.
func (c *conn) handleCall(m message, received ingress.Receipt) error {
	r, err := parseRequest(m)
	if err != nil {
		address := c.socket.RemoteAddr()
		c.server.unusable.CountAndWarn("calls_unusable", "call_unusable", "address", address, "reason", err)
		return c.refuse(m.id, errorFailed, fieldReason, err.Error())
	}
	if !c.server.limits.MessageBytes.Reserve(len(r.statement)) {
		return c.refuse(m.id, errorThrottled, "", "")
	}
	call := &call{conn: c, id: m.id, reservedBytes: len(r.statement)}
	result := c.openCall(call)
	if result == callOpened {
		c.pendingCalls = append(c.pendingCalls, pendingCall{call, newJobRequest(call, m, r, received)})
		return nil
	}
	c.server.limits.MessageBytes.Release(call.reservedBytes)
	switch result {
	case callCrossedClose:
		counters.Increment("calls_crossed")
		return nil
	case callIDInUse:
		return &idInUseError{id: m.id}
	default:
		return c.refuse(m.id, errorThrottled, "", "")
	}
}

// idInUseError ends the input: a request reuses the id of a call that is still open. The request gets no answer of its
// own, even if that call is answered shortly afterwards, because the client could not match two answers with the same
// id.
type idInUseError struct{ id uint32 }

// Error implements error.
func (e *idInUseError) Error() string {
	return fmt.Sprintf("id %d is still open and was used again", e.id)
}

// openResult tells whether a call was opened, and if not, why.
type openResult uint8

const (
	callOpened       openResult = iota
	callCrossedClose            // discarded: it crossed our half-close, which its client sees
	callIDInUse
	callOverLimit
)

func (c *conn) openCall(call *call) openResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, isInUse := c.open[call.id]
	switch {
	case c.isHalfClosed:
		return callCrossedClose
	case isInUse:
		return callIDInUse
	case len(c.open) >= maxOpenCalls:
		return callOverLimit
	}
	c.open[call.id] = call
	c.server.pendingAnswers.Add(1)
	return callOpened
}

func (c *conn) revoke(id uint32) {
	c.mu.Lock()
	call := c.open[id]
	c.mu.Unlock()
	if call != nil {
		c.abandon(call)
	}
}

// submitPendingCalls submits the calls that were read and not revoked since. If the client has disconnected, it submits
// none and returns io.EOF.
func (c *conn) submitPendingCalls() error {
	c.readSinceSubmit = 0
	if len(c.pendingCalls) == 0 {
		return nil
	}
	if socketstate.PeerClosed(c.socket) {
		return io.EOF
	}
	for _, pending := range c.pendingCalls {
		switch {
		case !c.isOpen(pending.call):
			counters.Increment("calls_revoked_early")
		case c.server.isThrottling.Load():
			counters.Increment("calls_after_stop")
			pending.call.Throttled(0)
		default:
			c.server.jobs.Submit(pending.job)
		}
	}
	clear(c.pendingCalls)
	c.pendingCalls = c.pendingCalls[:0]
	return nil
}

func (c *conn) isOpen(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[call.id] == call
}
