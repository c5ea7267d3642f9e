package client

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// What a look at a connection shows, without reading it.
const (
	nothing = iota
	something
	ended
)

// unread looks whether bytes wait on a descriptor. It never blocks.
func unread(fd uintptr) int {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return nothing
		case err != nil || n == 0:
			return ended
		default:
			return something
		}
	}
}

// hasUnread tells whether a client has sent what was not read yet.
func (c *conn) hasUnread() (is bool) {
	raw, err := c.nc.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { is = unread(fd) == something })
	}
	return is
}

// gone looks whether the client has closed or reset its connection, whatever lies unread before that.
func (c *conn) gone() bool {
	const ends = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	events, err := look(c.nc, unix.POLLRDHUP)
	return err != nil || events&ends != 0
}

// waits looks whether a connection waits to be accepted.
func waits(listener syscall.Conn) bool {
	events, err := look(listener, unix.POLLIN)
	return err == nil && events&unix.POLLIN != 0
}

// look tells which of the events stand on a descriptor, with errors and hang-ups. It never blocks.
func look(at syscall.Conn, events int16) (int16, error) {
	raw, err := at.SyscallConn()
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
