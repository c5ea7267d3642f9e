// Package socketstate looks at the state of a socket without reading from it and without blocking. Its functions are
// safe for concurrent use and also see what lies behind unread bytes.
package socketstate

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports whether the peer has half-closed, closed or reset the connection, or it is closed here.
func PeerClosed(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLRDHUP)
	return err != nil || events&closedEvents != 0
}

// Readable reports whether a listener has a connection to accept, or a connection something to read.
func Readable(c syscall.Conn) bool {
	events, err := poll(c, unix.POLLIN)
	return err == nil && events&unix.POLLIN != 0
}

// poll returns which of the events hold, with errors and hang-ups.
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
				return // another error leaves no event set
			}
		}
	})
	return fds[0].Revents, err
}
