package client

import (
	"errors"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/socketstate"
)

// acceptRetryDelay is the pause after a failed accept, which passes: there was no descriptor left, say.
const acceptRetryDelay = 20 * time.Millisecond

// Submitter takes the calls of clients.
type Submitter interface {
	// Ready reports whether calls may be sent, for heartbeats.
	Ready() bool
	// Submit takes a call over and does not wait for its answer. Calls of one connection come in their order.
	Submit(gateway.Request)
}

// Server holds all client connections. It is safe for concurrent use.
type Server struct {
	jobs    Submitter
	limits  *limits.Budget
	buffers sync.Pool // of *firstBuffer

	malformed      ratelog.Logger
	unusable       ratelog.Logger
	writesFailed   ratelog.Logger
	acceptsFailed  ratelog.Logger
	stalls         *stallDetector
	owedAnswers    atomic.Int64 // calls not answered, or with a result being written
	pendingReplies atomic.Int64 // connections with refusals or heartbeats not written yet
	isRefusing     atomic.Bool  // calls are throttled instead of taken
	isAdmitting    atomic.Bool  // a connection was accepted and is not served yet
	done           chan struct{}
	reading        sync.WaitGroup // the connections' readers

	mu            sync.Mutex // guards what follows
	capacityFreed *sync.Cond // a connection has ended, or the server is closed
	conns         map[*conn]struct{}
	lingering     []*conn      // half-closed by us, not in conns, until their clients close them; the oldest first
	listener      syscall.Conn // nil: not known
	isClosed      bool
}

// NewServer returns a server that submits calls and stays within the budget. Close ends it.
func NewServer(jobs Submitter, budget *limits.Budget) *Server {
	s := &Server{
		jobs:    jobs,
		limits:  budget,
		buffers: sync.Pool{New: func() any { return new(firstBuffer) }},
		stalls:  newStallDetector(time.Now()),
		done:    make(chan struct{}),
		conns:   map[*conn]struct{}{},
	}
	s.capacityFreed = sync.NewCond(&s.mu)
	return s
}

// Serve accepts connections until the listener is closed. It is called once. Clients may have connected, and sent
// calls, since the time given.
func (s *Server) Serve(listener net.Listener, since time.Time) error {
	s.mu.Lock()
	s.listener, _ = listener.(syscall.Conn)
	s.mu.Unlock()
	s.stalls.reset(time.Now())
	go s.stalls.run(s.done)
	queuedSince := since
	for {
		wasQueued := s.isQueued()
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		socket, isTCP := accepted.(*net.TCPConn)
		if err != nil || !isTCP {
			s.acceptsFailed.CountAndWarn("accepts_failed", "accept_failed", "reason", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !wasQueued { // it was waited for: it has just come, and nobody else waits
			queuedSince = time.Now()
		}
		s.admit(socket, queuedSince)
	}
}

// isQueued reports whether a connection waits to be accepted.
func (s *Server) isQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil && socketstate.Readable(s.listener)
}

// admit serves a connection once there is room for it: only now, as nobody has to leave while nobody waits to be
// accepted. It may have come as early as queuedSince. Then it lets others run: in a crowd that waits to be accepted
// this goroutine never waits, and on one core it would keep the readers of all clients from what has come for them.
func (s *Server) admit(socket *net.TCPConn, queuedSince time.Time) {
	s.isAdmitting.Store(true)
	defer s.isAdmitting.Store(false)
	s.awaitCapacity()
	s.start(socket, queuedSince)
	runtime.Gosched()
}

// start serves a connection, or closes it if the server is closed.
func (s *Server) start(socket *net.TCPConn, queuedSince time.Time) {
	now := time.Now()
	c := &conn{server: s, socket: socket, acceptedAt: now, bufferedSince: queuedSince, lastUsed: now,
		open: map[uint32]*call{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		_ = socket.Close() // nothing was written to it
		return
	}
	s.conns[c] = struct{}{}
	s.reading.Add(1)
	go c.serve()
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.stopLingering(c)
	s.mu.Unlock()
	s.capacityFreed.Signal()
}

// OwedAnswers returns the number of calls whose answer has not been written.
func (s *Server) OwedAnswers() int64 { return s.owedAnswers.Load() }

// RefuseCalls throttles all calls that are read from now on. Those taken before are still owed their answer.
func (s *Server) RefuseCalls() { s.isRefusing.Store(true) }

// HasPendingInput reports whether bytes of clients lie unread or were read in part, a connection waits to be accepted
// or served, or a small answer to be written. A client can bring that about without end, so a caller must not wait
// for it without a limit.
func (s *Server) HasPendingInput() bool {
	if s.pendingReplies.Load() > 0 || s.isAdmitting.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil && socketstate.Readable(s.listener) {
		return true
	}
	for c := range s.conns {
		if c.hasPendingInput() {
			return true
		}
	}
	return false
}

// closeTimeout is how long Close waits for what came between its caller's last look and the close.
const closeTimeout = 500 * time.Millisecond

// Close does what CloseWithin does, with time enough for what is under way.
func (s *Server) Close() { s.CloseWithin(closeTimeout) }

// CloseWithin ends all connections and waits for their readers. Each is half-closed first, so that an answer that was
// just written reaches a client which has sent more; that is not taken. A call that was read since its caller has
// looked is answered before, for as long as the limit.
func (s *Server) CloseWithin(limit time.Duration) {
	s.RefuseCalls()
	s.mu.Lock()
	s.isClosed = true
	s.capacityFreed.Broadcast()
	s.mu.Unlock()
	stop := time.Now().Add(limit)
	for !s.CloseIdle() && time.Now().Before(stop) {
		time.Sleep(closePoll)
	}
	close(s.done)
	s.closeAll()
	late := time.AfterFunc(max(minLinger, time.Until(stop)), s.endLingering)
	defer late.Stop()
	s.reading.Wait()
}

// endLingering closes connections that are half-closed, and whose clients have not closed them yet: nothing is owed
// on them, and the process is about to be killed.
func (s *Server) endLingering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		counters.Increment("client_conns_closed_lingering")
		_ = c.socket.Close() // its reader ends
	}
	for _, c := range s.lingering {
		_ = c.socket.Close() // likewise
	}
}

const (
	closePoll = 2 * time.Millisecond
	minLinger = 30 * time.Millisecond // of connections that were half-closed last
)

// CloseIdle half-closes connections on which nothing is owed and nothing has come, and reports whether those are all.
// Their clients send no more on them, which leaves less to cross the end of the process.
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

// logCloses counts and logs why connections are closed at the end of the process, and what was found on each just
// before: what comes later has crossed the close.
func logCloses(reason string, closed []connState) {
	for _, found := range closed {
		counters.Increment("client_conns_closed_" + reason)
		slog.Info("client_conn_closed", "reason", reason, "address", found.address, "open_calls", found.openCalls,
			"unread", found.hasBuffered, "mid_message", found.isMidMessage)
	}
}
