package client

import (
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
)

// Submitter receives the calls of clients.
type Submitter interface {
	// Ready reports whether calls may be sent. Heartbeat answers carry it.
	Ready() bool
	// Submit takes ownership of a call and returns without waiting for its answer. Calls from one connection are submitted
	// in the order in which they were sent.
	Submit(gateway.Request)
}

// Server accepts client connections and serves their calls. It is safe for concurrent use.
type Server struct {
	jobs    Submitter
	limits  *limits.Budget
	buffers sync.Pool // of *firstBuffer

	malformed      ratelog.Logger
	unusable       ratelog.Logger
	writesFailed   ratelog.Logger
	shared         *ingress.Shared
	pendingAnswers atomic.Int64 // calls that are unanswered or whose result is being written
	pendingReplies atomic.Int64 // connections with refusals or heartbeat answers still to be written
	isThrottling   atomic.Bool  // new calls are throttled instead of submitted
	isAdmitting    atomic.Bool  // an accepted connection is waiting to be served
	done           chan struct{}
	readers        sync.WaitGroup // the connections' reader goroutines

	mu       sync.Mutex // guards the fields below
	conns    map[*conn]struct{}
	listener *ingress.Listener // nil before Serve
	isClosed bool
}

// NewServer returns a server that submits calls to jobs and stays within the budget. It runs the shared stall detector
// while it serves. The caller must close it.
func NewServer(jobs Submitter, budget *limits.Budget, shared *ingress.Shared) *Server {
	return &Server{
		jobs:    jobs,
		limits:  budget,
		buffers: sync.Pool{New: func() any { return new(firstBuffer) }},
		shared:  shared,
		done:    make(chan struct{}),
		conns:   map[*conn]struct{}{},
	}
}

// Serve accepts connections until the listener is closed. It must be called only once. since is when the listener was
// opened: clients may have connected and sent calls from then on.
func (s *Server) Serve(listener net.Listener, since time.Time) error {
	clients := ingress.NewListener(listener, since)
	s.mu.Lock()
	s.listener = clients
	s.mu.Unlock()
	s.shared.Stalls.Reset(time.Now())
	go s.shared.Stalls.Run(s.done)
	for {
		socket, queuedSince, err := clients.Accept()
		if err != nil {
			return nil //nolint:nilerr // the only error is that the listener is closed
		}
		s.admit(socket, queuedSince)
	}
}

// admit waits for capacity and then serves a connection, which may have been queued since queuedSince. Once new calls
// are throttled it does not wait, as the connection's calls are throttled too. Capacity is checked only after the
// accept, so that no connection is evicted while none is waiting. The final yield lets other goroutines run: with many
// connections queued, Accept never blocks, and on a single core its loop would starve the readers of all clients.
func (s *Server) admit(socket *net.TCPConn, queuedSince time.Time) {
	s.isAdmitting.Store(true)
	defer s.isAdmitting.Store(false)
	s.shared.Conns.Add(s.isThrottling.Load, func() ingress.Conn { return s.start(socket, queuedSince) })
	runtime.Gosched()
}

// start serves a connection, or closes it and returns nil if the server is closed.
func (s *Server) start(socket *net.TCPConn, queuedSince time.Time) ingress.Conn {
	now := time.Now()
	clock := ingress.InputClock{Stalls: s.shared.Stalls, Socket: socket, BufferedSince: queuedSince}
	c := &conn{server: s, socket: socket, acceptedAt: now, clock: clock, lastUsed: now, open: map[uint32]*call{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = socket.Close() // nothing was written to it, so the error has no consequence
		return nil
	}
	s.conns[c] = struct{}{}
	s.readers.Add(1)
	go c.serve()
	return c
}

// remove unregisters a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.shared.Conns.Remove(c)
}

// PendingAnswers returns the number of calls whose answer has not been written completely.
func (s *Server) PendingAnswers() int64 { return s.pendingAnswers.Load() }

// ThrottleNewCalls throttles all calls that are not yet submitted, and all later ones. Submitted calls are still
// answered.
func (s *Server) ThrottleNewCalls() { s.isThrottling.Store(true) }

// HasPendingWork reports whether client input is unread or partly read, a connection is waiting to be accepted or
// served, or refusals or heartbeat answers are still to be written. A client can keep this state up indefinitely, so a
// caller must bound its wait for it.
func (s *Server) HasPendingWork() bool {
	if s.pendingReplies.Load() > 0 || s.isAdmitting.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil && s.listener.IsQueued() {
		return true
	}
	for c := range s.conns {
		if c.HasPendingInput() {
			return true
		}
	}
	return false
}

// closeTimeout bounds how long Close waits for calls that arrived after its caller's last check.
const closeTimeout = 500 * time.Millisecond

// Close is CloseWithin with closeTimeout, which is enough for work in progress.
func (s *Server) Close() { s.CloseWithin(closeTimeout) }

// CloseWithin ends all connections and waits for their readers. Calls that were read after the caller's last check are
// still answered, until the limit is reached. Each connection is half-closed first, so that an answer just written
// reaches its client even if the client has sent more; that input is discarded.
func (s *Server) CloseWithin(limit time.Duration) {
	s.ThrottleNewCalls()
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.shared.Conns.Wake()
	stop := time.Now().Add(limit)
	for !s.CloseIdle() && time.Now().Before(stop) {
		time.Sleep(closePollInterval)
	}
	close(s.done)
	s.closeAll()
	late := time.AfterFunc(max(minLinger, time.Until(stop)), s.endLingering)
	defer late.Stop()
	s.readers.Wait()
}

// endLingering closes connections that are half-closed but not yet closed by their clients. No answer is outstanding on
// them, and the process is about to be killed.
func (s *Server) endLingering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		counters.Increment("client_conns_closed_lingering")
		c.Abort()
	}
}

const (
	closePollInterval = 2 * time.Millisecond
	minLinger         = 30 * time.Millisecond // minimum for connections that were half-closed last
)

// CloseIdle half-closes all idle connections, which have no open call, pending write or unhandled input, and reports
// whether these are all connections. Their clients then stop sending on them, so fewer calls cross the shutdown.
func (s *Server) CloseIdle() bool {
	closed, isAll := s.halfCloseIdle()
	logCloses("idle", closed)
	return isAll
}

func (s *Server) halfCloseIdle() (closed []connState, isAll bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isAll = true
	for c := range s.conns {
		if c.isClosing() {
			continue
		}
		if found := c.halfCloseIfIdle(); found.isIdle() {
			closed = append(closed, found)
		} else {
			isAll = false
		}
	}
	return closed, isAll
}

// closeAll half-closes all connections.
func (s *Server) closeAll() { logCloses("in_use", s.halfCloseAll()) }

func (s *Server) halfCloseAll() (closed []connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isClosing() {
			closed = append(closed, c.halfClose())
		}
	}
	return closed
}

// logCloses counts and logs the connections closed at shutdown, with the reason and the state of each just before its
// close. Input that arrives later has crossed the close.
func logCloses(reason string, closed []connState) {
	for _, found := range closed {
		counters.Increment("client_conns_closed_" + reason)
		slog.Info("client_conn_closed", "reason", reason, "address", found.address, "open_calls", found.openCalls,
			"unread", found.hasBuffered, "mid_message", found.isMidMessage)
	}
}
