package client

import (
	"errors"
	"syscall"
)

// bufferState is the state of a connection's receive buffer in the kernel.
type bufferState uint8

const (
	bufferEmpty bufferState = iota
	bufferHasBytes
	bufferEnded // end of stream or an error
)

// peekBuffer returns the state of a socket's receive buffer without consuming data. It never blocks.
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

// hasBufferedInput reports whether the client has sent bytes that are still unread.
func (c *conn) hasBufferedInput() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	state := bufferEmpty
	err = raw.Control(func(fd uintptr) { state = peekBuffer(fd) })
	return err == nil && state == bufferHasBytes
}

// hasPendingInput reports whether unread input or a partial message may become a call.
func (c *conn) hasPendingInput() bool {
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
