package socketstate

import (
	"errors"
	"syscall"
)

// BufferState is the state of a connection's receive buffer in the kernel.
type BufferState uint8

// The states.
const (
	BufferEmpty BufferState = iota
	BufferHasBytes
	BufferEnded // end of stream or an error
)

// PeekBuffer returns the state of a socket's receive buffer without consuming data. It never blocks.
func PeekBuffer(fd uintptr) BufferState {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return BufferEmpty
		case err != nil || n == 0:
			return BufferEnded
		default:
			return BufferHasBytes
		}
	}
}

// HasBufferedInput reports whether the peer has sent bytes that are still unread.
func HasBufferedInput(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := BufferEmpty
	err = raw.Control(func(fd uintptr) { state = PeekBuffer(fd) })
	return err == nil && state == BufferHasBytes
}
