package client

import "syscall"

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
