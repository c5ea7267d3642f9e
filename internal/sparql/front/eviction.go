package front

import (
	"time"

	"swiftreel/internal/ingress"
	"swiftreel/internal/socketstate"
)

var _ ingress.Conn = (*clientConn)(nil)

// AcceptedAt implements ingress.Conn.
func (c *clientConn) AcceptedAt() time.Time { return c.acceptedAt }

// Activity implements ingress.Conn.
func (c *clientConn) Activity() ingress.Activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.phase == awaitingRequest
	return ingress.Activity{LastUsed: c.lastUsed, HasReceivedRequest: c.hasReceivedRequest, IsIdle: isIdle}
}

// HasPendingInput implements ingress.Conn.
func (c *clientConn) HasPendingInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isHalfClosed && c.hasPendingInput()
}

func (c *clientConn) hasPendingInput() bool {
	return c.phase != awaitingRequest || socketstate.HasBufferedInput(c.socket)
}

// HalfCloseIfIdle implements ingress.Conn.
func (c *clientConn) HalfCloseIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHalfClosed && c.hasPendingInput() {
		return false
	}
	c.halfClose()
	return true
}

// HalfCloseIfSilent implements ingress.Conn.
func (c *clientConn) HalfCloseIfSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHalfClosed && c.hasReceivedRequest {
		return false
	}
	c.halfClose()
	return true
}

// halfClose half-closes the connection, unless that was done before. c.mu must be held.
func (c *clientConn) halfClose() {
	if c.isHalfClosed {
		return
	}
	c.isHalfClosed = true
	ingress.HalfClose(c.socket)
}

// Abort implements ingress.Conn.
func (c *clientConn) Abort() {
	_ = c.socket.Close() // the reader returns with an error
}
