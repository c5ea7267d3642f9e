package engine

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// errNoDescriptor is returned for a connection that is not a socket.
var errNoDescriptor = errors.New("connection has no file descriptor")

// timedWrite is the write of one message, whose first byte must not be sent after expiresAt.
type timedWrite struct {
	rest      []byte
	written   int       // bytes
	expiresAt time.Time // zero: no limit
	err       error
}

// writeBefore writes a message. If it has expired before its first byte is sent, it writes nothing and returns
// errPermissionExpired. The time is checked right before each system call, since the process may be stopped anywhere
// else and the engine may accept no bytes for a while. The write deadline of the socket applies. It returns the number
// of bytes written, also with an error.
func writeBefore(socket net.Conn, message []byte, expiresAt time.Time) (written int, err error) {
	descriptor, ok := socket.(syscall.Conn)
	if !ok {
		return 0, errNoDescriptor
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return 0, err
	}
	w := timedWrite{rest: message, expiresAt: expiresAt}
	if err := raw.Write(w.writeAvailable); err != nil {
		return w.written, err
	}
	return w.written, w.err
}

// writeAvailable writes as much as the socket accepts. It returns false if the socket must become writable first.
//
// The system call is a raw one: preparing the Go scheduler for a call that may block takes longer than the check of the
// time and would leave room for a stall. The socket is in non-blocking mode, so the call does not wait for the engine.
func (w *timedWrite) writeAvailable(fd uintptr) (done bool) {
	for len(w.rest) > 0 {
		if w.hasExpired() {
			w.err = errPermissionExpired
			return true
		}
		n, _, errno := unix.RawSyscall(unix.SYS_WRITE, fd, uintptr(unsafe.Pointer(&w.rest[0])), uintptr(len(w.rest)))
		switch errno {
		case 0:
			w.written += int(n)
			w.rest = w.rest[n:]
		case unix.EINTR:
		case unix.EAGAIN:
			return false
		default:
			w.err = os.NewSyscallError("write", errno)
			return true
		}
	}
	return true
}

// hasExpired reports whether nothing was written yet and it is too late to begin.
func (w *timedWrite) hasExpired() bool {
	return w.written == 0 && !w.expiresAt.IsZero() && time.Now().After(w.expiresAt)
}
