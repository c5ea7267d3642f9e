package client

import (
	"net"
	"time"
)

const (
	lingerTime     = 300 * time.Millisecond // for a client to read the last answer
	maxLingerInput = 512 << 10              // bytes that it may still send meanwhile
)

// A close over unread bytes is a reset, which may destroy answers that were just written. So a connection is
// half-closed first, and what still comes is read and dropped for a while.

// connState is what is found on a connection in the step that may close it.
type connState struct {
	address      net.Addr // of the client
	openCalls    int
	isWriting    bool // an answer is being written
	isMidMessage bool // part of a message was read, or is being read
	hasBuffered  bool // bytes of the client were not read yet
}

// isIdle reports whether nothing is owed to the client and nothing has come from it.
func (s connState) isIdle() bool {
	return s.openCalls == 0 && !s.isWriting && !s.isMidMessage && !s.hasBuffered
}

// state looks at the connection. The lock is held.
func (c *conn) state() connState {
	return connState{
		address:      c.socket.RemoteAddr(),
		openCalls:    len(c.open),
		isWriting:    c.isWriting(),
		isMidMessage: c.isMidMessage.Load(),
		hasBuffered:  c.hasBufferedInput(),
	}
}

// halfClose tells the client that nothing more comes, and bounds what it may still send. It returns what was found
// just before.
func (c *conn) halfClose() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.state()
	c.halfCloseLocked()
	return found
}

func (c *conn) halfCloseLocked() {
	c.isHalfClosed = true
	_ = c.socket.CloseWrite() // an error shows at the next read
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
}

// halfCloseIfIdle half-closes the connection if it is idle, and returns what was found on it. It is one step: a call
// that is read between the look and the close would have no way for its answer.
func (c *conn) halfCloseIfIdle() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.state()
	if found.isIdle() {
		c.halfCloseLocked()
	}
	return found
}

// halfCloseIfSilent half-closes the connection if no complete message was ever read on it, and reports whether it did.
func (c *conn) halfCloseIfSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasSpoken {
		return false
	}
	c.halfCloseLocked()
	return true
}

// discardInput reads and drops what comes on a half-closed connection, until the client closes it too or its time is
// over.
func (c *conn) discardInput() {
	if c.buffer == nil {
		c.buffer = c.newBuffer()
	}
	for remaining := maxLingerInput; remaining > 0; {
		n, err := c.socket.Read(c.buffer)
		if err != nil {
			return
		}
		remaining -= n
	}
}
