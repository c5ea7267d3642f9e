package ingress

import (
	"errors"
	"net"
	"syscall"
	"time"

	"swiftreel/internal/ratelog"
	"swiftreel/internal/socketstate"
)

// acceptRetryDelay is the pause after a failed accept. Such failures are transient, for example when no file descriptor
// is available.
const acceptRetryDelay = 20 * time.Millisecond

// Listener accepts TCP connections. Accept is used by one goroutine; IsQueued is safe for concurrent use.
type Listener struct {
	listener      net.Listener
	socket        syscall.Conn // nil if the listener's socket is not accessible
	queuedSince   time.Time
	acceptsFailed ratelog.Logger
}

// NewListener returns a Listener of a listener that has been open since a time: clients may have connected and sent
// requests from then on.
func NewListener(listener net.Listener, since time.Time) *Listener {
	socket, _ := listener.(syscall.Conn)
	return &Listener{listener: listener, socket: socket, queuedSince: since}
}

// Accept waits for a connection. It also returns the earliest time at which the connection may have been queued. It
// retries after errors, and returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (accepted *net.TCPConn, queuedSince time.Time, err error) {
	for {
		wasQueued := l.IsQueued()
		accepted, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, time.Time{}, net.ErrClosed
		}
		socket, isTCP := accepted.(*net.TCPConn)
		if err != nil || !isTCP {
			l.acceptsFailed.CountAndWarn("accepts_failed", "accept_failed", "reason", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !wasQueued { // Accept blocked, so the connection has just arrived and no other is queued
			l.queuedSince = time.Now()
		}
		return socket, l.queuedSince, nil
	}
}

// IsQueued reports whether a connection is waiting to be accepted.
func (l *Listener) IsQueued() bool { return l.socket != nil && socketstate.Readable(l.socket) }

// Close closes the listener. Connections that wait in its queue are reset.
func (l *Listener) Close() error { return l.listener.Close() }

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }
