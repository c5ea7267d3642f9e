package discovery

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/internal/socketstate"
)

// feedSocket is the TCP connection that a feedReader reads from.
type feedSocket interface {
	syscall.Conn
	SetReadDeadline(until time.Time) error
}

// feedReader reads from a discovery feed that may be slow: a read is bounded by the silence before it and by the time
// that the line has taken, not by the length of the line. It is for use by one goroutine, except for the fields that
// the freshness lock guards.
type feedReader struct {
	socket       feedSocket
	raw          syscall.RawConn
	freshness    *freshness
	lineDeadline time.Time

	// Guarded by the freshness lock.
	isWaiting   bool      // everything received was delivered
	hasReceived bool      // any data was received
	currentAt   time.Time // everything that had arrived by then was delivered
	drainedAt   time.Time // when the last read began that left nothing unread
}

func newFeedReader(socket feedSocket, fresh *freshness) (*feedReader, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &feedReader{socket: socket, raw: raw, freshness: fresh}
	r.resetLineDeadline()
	return r, nil
}

// checkSocket advances currentAt to now if nothing undelivered has arrived. The freshness lock is held.
func (r *feedReader) checkSocket(now time.Time) {
	if r.hasReceived && r.isWaiting && !r.hasBuffered() {
		r.currentAt = now
	}
}

// hasBuffered reports whether data has arrived that was not read.
func (r *feedReader) hasBuffered() bool { return socketstate.Readable(r.socket) }

// resetLineDeadline starts the time limit of the next line.
func (r *feedReader) resetLineDeadline() { r.lineDeadline = time.Now().Add(lineTimeout) }

// Read implements io.Reader. It is called once everything that it returned before was delivered.
func (r *feedReader) Read(buffer []byte) (n int, err error) {
	until := time.Now().Add(silenceTimeout)
	if r.lineDeadline.Before(until) {
		until = r.lineDeadline
	}
	if err := r.socket.SetReadDeadline(until); err != nil {
		return 0, err
	}
	r.freshness.beginRead(r)
	var readErr error
	take := func(fd uintptr) (done bool) {
		n, readErr = r.freshness.trackRead(r, len(buffer), func() (int, error) { return readUninterrupted(int(fd), buffer) })
		return !errors.Is(readErr, syscall.EAGAIN)
	}
	err = r.raw.Read(take)
	if errors.Is(err, os.ErrDeadlineExceeded) { // data received while the process was stalled can still be read
		var hasRead bool
		if controlErr := r.raw.Control(func(fd uintptr) { hasRead = take(fd) }); controlErr == nil && hasRead {
			err = nil
		}
	}
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, errClosedByFeed
	}
	return n, nil
}

// readUninterrupted reads from a descriptor and retries after EINTR. The count that it returns is never negative.
func readUninterrupted(fd int, buffer []byte) (int, error) {
	for {
		n, err := unix.Read(fd, buffer)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}
