package engine

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
)

// The harness reproduces races between the pool and an engine: a latch delays one of two events, so that they occur in
// the order under test.

// latch blocks callers of wait while it is closed.
type latch struct {
	mu      sync.Mutex
	opened  chan struct{} // nil: open
	blocked int           // callers of wait since close
}

func (g *latch) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
	g.blocked = 0
}

func (g *latch) hasBlocked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked > 0
}

func (g *latch) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
	}
	g.opened = nil
}

func (g *latch) wait() {
	g.mu.Lock()
	opened := g.opened
	g.blocked++
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// blockingConn is a connection whose reads return, and whose writes begin, only while their latch is open: the pool
// does not see what the peer has done, or the peer accepts no bytes.
type blockingConn struct {
	*net.TCPConn
	reads  *latch
	writes *latch
}

func (c blockingConn) Write(b []byte) (int, error) {
	c.writes.wait()
	return c.TCPConn.Write(b)
}

func (c blockingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return blockingRawConn{raw, c.writes}, err
}

// blockingRawConn is the raw connection of a blockingConn.
type blockingRawConn struct {
	syscall.RawConn
	writes *latch
}

func (c blockingRawConn) Write(write func(fd uintptr) (done bool)) error {
	c.writes.wait()
	return c.RawConn.Write(write)
}

func (c blockingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.reads.wait()
	return n, err
}

// scriptedEngine is an engine that passes its connections, and the commands received on them, to the test.
type scriptedEngine struct {
	net.Listener
	fetches      chan receivedCommand
	pageRequests chan receivedCommand // buffered: most tests do not read them
}

type receivedCommand struct {
	id   string
	conn net.Conn
}

func newScriptedEngine(t *testing.T) *scriptedEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedEngine{l, make(chan receivedCommand, 100), make(chan receivedCommand, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go func() {
				for r := bufio.NewReader(nc); ; {
					c, err := ReadCommand(r)
					if err != nil {
						return
					}
					switch c.Name {
					case commandFetch:
						p.fetches <- receivedCommand{c.ID, nc}
					case commandMore:
						p.pageRequests <- receivedCommand{c.ID, nc}
					}
				}
			}()
		}
	}()
	return p
}

func (p *scriptedEngine) nextFetch(t *testing.T) receivedCommand {
	t.Helper()
	select {
	case f := <-p.fetches:
		return f
	case <-time.After(20 * time.Second):
		t.Fatal("no fetch command received")
	}
	return receivedCommand{}
}

type harness struct {
	t       *testing.T
	pool    *Pool
	peer    *scriptedEngine
	dials   *latch // blocks after the connection is established
	reads   *latch
	writes  *latch
	replies chan backend.Reply
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	w := &harness{
		t:       t,
		peer:    newScriptedEngine(t),
		dials:   new(latch),
		reads:   new(latch),
		writes:  new(latch),
		replies: make(chan backend.Reply, 100),
	}
	bounds := backend.Limits{
		DialTimeout:    20 * time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 1,
		Conns:          new(limits.Limit),
		ResultBytes:    new(limits.Bytes),
	}
	bounds.Conns.Store(10)
	bounds.ResultBytes.SetCapacity(1 << 20)
	w.pool = NewPool(bounds)
	w.pool.dialTimeout = func(network, address string, limit time.Duration) (net.Conn, error) {
		nc, err := net.DialTimeout(network, address, limit)
		if err != nil {
			return nil, err
		}
		w.dials.wait()
		return blockingConn{nc.(*net.TCPConn), w.reads, w.writes}, nil
	}
	t.Cleanup(func() {
		w.dials.open()
		w.reads.open()
		w.writes.open()
		w.pool.Close()
	})
	return w
}

// deadlineGate permits dispatches until a time; zero: always.
type deadlineGate time.Time

func (g deadlineGate) Permit() backend.Permission {
	until := time.Time(g)
	isTooLate := !until.IsZero() && time.Now().After(until)
	return backend.Permission{Granted: !isTooLate, TimeoutMS: 1000}
}

func (deadlineGate) Withdraw()          {}
func (deadlineGate) AwaitPendingInput() {}

func (w *harness) start(id string, until time.Time) backend.Dispatch {
	host := backend.Host{Name: "e1", Address: w.peer.Addr().String()}
	request := backend.Request{
		ID:        []byte(id),
		Type:      []byte("import"),
		Statement: []byte("x"),
		Priority:  1,
		Lane:      backend.NotRestartable,
		DecidedAt: time.Now(),
		Gate:      deadlineGate(until),
	}
	return w.pool.Start(host, request, func(r backend.Reply) { w.replies <- r })
}

func (w *harness) expectOutcome(end backend.Outcome) {
	w.t.Helper()
	select {
	case r := <-w.replies:
		if r.Outcome != end {
			w.t.Fatalf("%+v instead of %d", r, end)
		}
	case <-time.After(20 * time.Second):
		w.t.Fatalf("no outcome %d", end)
	}
}

// serveOne completes one dispatch, which leaves its connection idle.
func (w *harness) serveOne(id string) net.Conn {
	w.t.Helper()
	w.start(id, time.Time{})
	f := w.peer.nextFetch(w.t)
	f.conn.Write(AppendAnswer(nil, id, "data", "sheets=1", []byte("a\tb\tc\n")))
	w.expectOutcome(backend.Done)
	return f.conn
}

func (w *harness) waitUntil(what string, holds func() bool) {
	w.t.Helper()
	for stop := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			w.t.Fatal(what)
		}
	}
}

// isOnlyConnClosedByPeer reports whether the peer's close of the only connection has arrived.
func (p *Pool) isOnlyConnClosedByPeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		for _, c := range conns {
			return isClosedByPeer(c.socket)
		}
	}
	return false
}

// cancelAll cancels all open dispatches.
func (w *harness) cancelAll() {
	w.pool.mu.Lock()
	var out []*Dispatch
	for _, c := range w.pool.conns["e1"] {
		for _, d := range c.open {
			out = append(out, d)
		}
	}
	w.pool.mu.Unlock()
	for _, d := range out {
		d.Cancel(func() {})
	}
}

func (p *scriptedEngine) nextPageRequest(t *testing.T) receivedCommand {
	t.Helper()
	select {
	case f := <-p.pageRequests:
		return f
	case <-time.After(20 * time.Second):
		t.Fatal("no page request received")
	}
	return receivedCommand{}
}
