package discovery

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/internal/socketstate"
)

// feedSocket is a TCP connection as the feed is read from it.
type feedSocket interface {
	syscall.Conn
	SetReadDeadline(until time.Time) error
}

// feedReader reads from a feed that may be slow: what bounds a read is the silence before it, and the time that the
// line has taken, not the length of the line. It belongs to one goroutine, but for what its freshness guards.
type feedReader struct {
	socket    feedSocket
	raw       syscall.RawConn
	freshness *freshness
	lineUntil time.Time

	// Guarded by the freshness's lock.
	isWaiting   bool      // all that was received is passed on
	hasReceived bool      // anything
	currentAt   time.Time // all that had arrived by then was passed on
	drainedAt   time.Time // of the last read after which nothing was left to read
}

func newFeedReader(socket feedSocket, fresh *freshness) (*feedReader, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &feedReader{socket: socket, raw: raw, freshness: fresh}
	r.lineComplete()
	return r, nil
}

// checkSocket notes that nothing has arrived that was not passed on, if that is so. The freshness's lock is held.
func (r *feedReader) checkSocket(now time.Time) {
	if r.hasReceived && r.isWaiting && !r.hasBuffered() {
		r.currentAt = now
	}
}

// hasBuffered reports whether something has arrived that was not read.
func (r *feedReader) hasBuffered() bool { return socketstate.Readable(r.socket) }

// lineComplete gives the next line its time.
func (r *feedReader) lineComplete() { r.lineUntil = time.Now().Add(lineTimeout) }

// Read implements io.Reader. It is called once all that it returned before is passed on.
func (r *feedReader) Read(buffer []byte) (n int, err error) {
	until := time.Now().Add(silenceTimeout)
	if r.lineUntil.Before(until) {
		until = r.lineUntil
	}
	if err := r.socket.SetReadDeadline(until); err != nil {
		return 0, err
	}
	r.freshness.beginRead(r)
	var readErr error
	take := func(fd uintptr) (done bool) {
		n, readErr = r.freshness.take(r, len(buffer), func() (int, error) { return readUninterrupted(int(fd), buffer) })
		return !errors.Is(readErr, syscall.EAGAIN)
	}
	err = r.raw.Read(take)
	if errors.Is(err, os.ErrDeadlineExceeded) { // what arrived while the process was stalled can be read
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

// readUninterrupted reads from a descriptor, again where a signal has interrupted it. It returns no negative count.
func readUninterrupted(fd int, buffer []byte) (int, error) {
	for {
		n, err := unix.Read(fd, buffer)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}
