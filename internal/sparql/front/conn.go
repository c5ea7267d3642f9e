package front

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"swiftreel/internal/ingress"
	"swiftreel/internal/limits"
	"swiftreel/internal/socketstate"
)

const (
	// readBufferSize is the size in bytes of the buffer with which net/http reads requests. While the buffer holds part of
	// a request, a smaller space is read into.
	readBufferSize = 4 << 10
	// finalReadTimeout is the time after a deadline for input that arrived during a stall.
	finalReadTimeout = 20 * time.Millisecond
)

// clientConn is a client connection below net/http, which reads requests from it. It records when their input was
// received, and tells the connection table whether it may be closed.
//
// net/http reads ahead only what one read brings, and reads again only for input that it has not got. The last byte of
// a request that it has read is therefore always in the read before. The one exception is a read of a single byte while
// a request is being handled, by which it detects that the client has disconnected: that byte belongs to a later
// request, which may lie unread until the answer is written.
type clientConn struct {
	net.Conn
	socket     *net.TCPConn
	table      *ingress.Table
	budget     *limits.Bytes // for heads of requests
	acceptedAt time.Time
	removal    sync.Once

	// Used by the connection's reader only.
	clock       ingress.InputClock
	received    ingress.Receipt // of the last read but those of single bytes
	tail        []byte          // the end of that input, if it was read late
	isFinalRead bool            // the deadline has passed, and the input that was already buffered is being read
	rate        ingress.RequestRate

	// readAhead gets a value when net/http has read the first byte of a later request. It reads no more until the request
	// in hand is answered, and does not detect a disconnect any longer.
	readAhead chan struct{}

	mu                 sync.Mutex // guards the fields below
	phase              connPhase
	headMemory         int  // bytes of budget reserved for the head of the request
	hasReceivedRequest bool // completely
	isHalfClosed       bool // by the table; further input is discarded
	lastUsed           time.Time
}

func newClientConn(
	socket *net.TCPConn, shared *ingress.Shared, budget *limits.Bytes, queuedSince time.Time,
) *clientConn {
	now := time.Now()
	return &clientConn{
		Conn:       socket,
		socket:     socket,
		table:      shared.Conns,
		budget:     budget,
		acceptedAt: now,
		readAhead:  make(chan struct{}, 1),
		clock:      ingress.InputClock{Stalls: shared.Stalls, Socket: socket, BufferedSince: queuedSince},
		lastUsed:   now,
	}
}

// Read reads input for net/http.
func (c *clientConn) Read(input []byte) (int, error) {
	if len(input) == 1 {
		n, err := c.Conn.Read(input)
		if n > 0 {
			c.clock.BufferedSince = c.clock.Receipt().Earliest
			c.noteReadAhead()
		}
		return n, err
	}
	c.beginWait(len(input))
	if err := c.waitReadable(); err != nil {
		return 0, err
	}
	if !c.beginRead() {
		ingress.DiscardInput(c.socket, input)
		return 0, errEvicted
	}
	n, err := c.Conn.Read(input)
	if n > 0 {
		c.received = c.clock.Receipt()
		c.keepTail(input[:n])
	}
	if !c.reserveHead(input[:n]) {
		c.refuse(input)
		return 0, errEvicted
	}
	return n, err
}

// errEvicted is the error of a read after which net/http closes the connection without a response.
var errEvicted = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

func (c *clientConn) noteReadAhead() {
	select {
	case c.readAhead <- struct{}{}:
	default: // noted already
	}
}

// waitReadable waits for input without consuming it. Input that has arrived by a deadline is read even if the process
// was stalled until after the deadline.
func (c *clientConn) waitReadable() error {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) bool { return socketstate.PeekBuffer(fd) != socketstate.BufferEmpty })
	isLate := errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalRead && socketstate.HasBufferedInput(c.socket)
	if !isLate {
		return err
	}
	c.isFinalRead = true
	return c.socket.SetReadDeadline(time.Now().Add(finalReadTimeout))
}

// SetReadDeadline sets the deadline of reads. On a half-closed connection it leaves the deadline of the half-close in
// place.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHalfClosed {
		return nil
	}
	c.isFinalRead = false
	return c.socket.SetReadDeadline(at)
}

// Close removes the connection from the table, once, and closes it.
func (c *clientConn) Close() error {
	c.removal.Do(func() {
		c.table.Remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.releaseHead()
	})
	return c.Conn.Close()
}

// CloseWrite shuts down the write side. net/http does so before it closes a connection with unread input.
func (c *clientConn) CloseWrite() error { return c.socket.CloseWrite() }

// isClosedByClient reports whether the client has closed the connection, also if input before that is unread.
func (c *clientConn) isClosedByClient() bool { return socketstate.PeerClosed(c.socket) }

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request that the front's server serves.
func connOf(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(connKey{}).(*clientConn) // set by withConn for every connection
	return conn
}
