package client

import (
	"errors"
	"syscall"
)

// bufferState is what the system holds for a connection that was not read yet.
type bufferState uint8

const (
	bufferEmpty bufferState = iota
	bufferHasBytes
	bufferEnded // the end of the connection, or an error
)

// peekBuffer looks at a descriptor without reading from it. It never blocks.
func peekBuffer(fd uintptr) bufferState {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return bufferEmpty
		case err != nil || n == 0:
			return bufferEnded
		default:
			return bufferHasBytes
		}
	}
}

// hasBufferedInput reports whether the client has sent bytes that were not read yet.
func (c *conn) hasBufferedInput() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	state := bufferEmpty
	err = raw.Control(func(fd uintptr) { state = peekBuffer(fd) })
	return err == nil && state == bufferHasBytes
}

// hasPendingInput reports whether the client has sent something that may become a call.
func (c *conn) hasPendingInput() bool {
	c.mu.Lock()
	isInputEnded := c.isInputEnded
	isHalfClosed := c.isHalfClosed
	c.mu.Unlock()
	switch {
	case isHalfClosed: // what still comes is dropped
		return false
	case c.isMidMessage.Load():
		return true
	}
	return !isInputEnded && c.hasBufferedInput()
}

// isInputRead reports whether all that the client has sent was read and acted on, but for the beginning of a message
// and for what never will be.
func (c *conn) isInputRead() bool {
	return c.isInputLost.Load() || c.isWaiting.Load() && !c.hasBufferedInput()
}
