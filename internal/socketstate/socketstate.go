// Package socketstate queries the state of a socket without consuming data and without blocking. Its functions are safe
// for concurrent use, and detect a close even if input before it is unread.
package socketstate

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports whether the peer has half-closed, closed or reset the connection, or the connection is closed
// locally.
func PeerClosed(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLRDHUP)
	return err != nil || events&closedEvents != 0
}

// Readable reports whether a listener has a connection to accept, or a connection has input or has ended.
func Readable(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLIN)
	return err == nil && events&unix.POLLIN != 0
}

// poll returns the requested events that are set, as well as errors and hang-ups.
func poll(socket syscall.Conn, events int16) (int16, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	fds := []unix.PollFd{{Events: events}}
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for {
			_, err := unix.Poll(fds, 0)
			if !errors.Is(err, unix.EINTR) {
				return // after any other error, no event is set
			}
		}
	})
	return fds[0].Revents, err
}
