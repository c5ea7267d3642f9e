package client

import (
	"net"

	"swiftreel/internal/ingress"
)

// connState is the state of a connection at the moment when it may be closed.
type connState struct {
	address      net.Addr // of the client
	openCalls    int
	isWriting    bool // an answer is being written
	isMidMessage bool // part of a message was read or is being read
	hasBuffered  bool // input is unread
}

// isIdle reports whether there is no open call, pending write or unhandled input.
func (s connState) isIdle() bool {
	return s.openCalls == 0 && !s.isWriting && !s.isMidMessage && !s.hasBuffered
}

// state returns the current state of the connection. c.mu must be held.
func (c *conn) state() connState {
	return connState{
		address:      c.socket.RemoteAddr(),
		openCalls:    len(c.open),
		isWriting:    c.isWriting(),
		isMidMessage: c.isMidMessage.Load(),
		hasBuffered:  c.hasBufferedInput(),
	}
}

// halfClose shuts down the write side and sets a deadline for the client's remaining input. It returns the state just
// before.
func (c *conn) halfClose() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.state()
	c.halfCloseLocked()
	return found
}

func (c *conn) halfCloseLocked() {
	c.isHalfClosed = true
	ingress.HalfClose(c.socket)
}

// halfCloseIfIdle half-closes the connection if it is idle, and returns the state on which it decided. Check and close
// are atomic: a call read between them could not be answered.
func (c *conn) halfCloseIfIdle() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.state()
	if found.isIdle() {
		c.halfCloseLocked()
	}
	return found
}

// HalfCloseIfIdle implements ingress.Conn.
func (c *conn) HalfCloseIfIdle() bool { return c.halfCloseIfIdle().isIdle() }

// HalfCloseIfSilent implements ingress.Conn.
func (c *conn) HalfCloseIfSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReceivedMessage {
		return false
	}
	c.halfCloseLocked()
	return true
}

// discardInput reads and discards input on a half-closed connection until its end.
func (c *conn) discardInput() {
	if c.buffer == nil {
		c.buffer = c.newBuffer()
	}
	ingress.DiscardInput(c.socket, c.buffer)
}
