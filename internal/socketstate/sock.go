// Package socketstate looks at the state of a socket without reading from it and without waiting.
package socketstate

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed tells whether the other side has half-closed, closed or reset its end, whatever lies unread before that.
func PeerClosed(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLRDHUP)
	return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Readable tells whether a listener has a connection to accept, or a connection something to read.
func Readable(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLIN)
	return err == nil && events&unix.POLLIN != 0
}

// poll tells which of the events hold, with errors and hang-ups.
func poll(c syscall.Conn, events int16) (int16, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	fds := []unix.PollFd{{Events: events}}
	err = raw.Control(func(fd uintptr) {
		for fds[0].Fd = int32(fd); ; {
			if _, err := unix.Poll(fds, 0); err != unix.EINTR {
				return
			}
		}
	})
	return fds[0].Revents, err
}
