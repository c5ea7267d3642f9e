package client

import "swiftreel/internal/socketstate"

// hasBufferedInput reports whether the client has sent bytes that are still unread.
func (c *conn) hasBufferedInput() bool {
	return socketstate.HasBufferedInput(c.socket)
}

// HasPendingInput reports whether unread input or a partial message may become a call.
func (c *conn) HasPendingInput() bool {
	c.mu.Lock()
	isInputEnded := c.isInputEnded
	isHalfClosed := c.isHalfClosed
	c.mu.Unlock()
	switch {
	case isHalfClosed: // further input is discarded
		return false
	case c.isMidMessage.Load():
		return true
	}
	return !isInputEnded && c.hasBufferedInput()
}

// isInputRead reports whether all input received so far has been read and handled, apart from the start of an
// incomplete message. It is also true if the input can no longer be read as messages.
func (c *conn) isInputRead() bool {
	return c.isFramingLost.Load() || c.isReaderIdle.Load() && !c.hasBufferedInput()
}
