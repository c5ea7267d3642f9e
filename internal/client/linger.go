package client

import "time"

const (
	lingerTime     = 300 * time.Millisecond // for a client to read the last answer
	maxLingerInput = 512 << 10              // bytes that it may still send meanwhile
)

// A close over unread bytes is a reset, which may destroy answers that were just written. So a connection is
// half-closed first, and what still comes is read and dropped for a while.

// halfClose tells the client that nothing more comes, and bounds what it may still send.
func (c *conn) halfClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfCloseLocked()
}

func (c *conn) halfCloseLocked() {
	c.isHalfClosed = true
	_ = c.socket.CloseWrite() // an error shows at the next read
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime))
}

// halfCloseIfIdle half-closes the connection if nothing is open on it, no bytes lie unread and no message was read in
// part, and reports whether it did. It is one step: a call that is read between the look and the close would have no
// way for its answer.
func (c *conn) halfCloseIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || c.isMidMessage.Load() || c.hasBufferedInput() {
		return false
	}
	c.halfCloseLocked()
	return true
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
