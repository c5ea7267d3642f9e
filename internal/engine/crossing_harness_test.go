package engine

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/limits"
)

// Pairs of events that can cross between the pool and an engine, each held in its bad order by a gate.

// gate holds whoever passes it while it is shut.
type gate struct {
	mu sync.Mutex
	on chan struct{} // nil: open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.on != nil {
		close(g.on)
	}
	g.on = nil
}

func (g *gate) pass() {
	g.mu.Lock()
	on := g.on
	g.mu.Unlock()
	if on != nil {
		<-on
	}
}

// gatedConn is a connection whose reader stands before a gate: it has not come to what the peer did. Its writer stands
// before another: the peer takes no bytes.
type gatedConn struct {
	*net.TCPConn
	reads  *gate
	writes *gate
}

func (c gatedConn) Write(b []byte) (int, error) {
	c.writes.pass()
	return c.TCPConn.Write(b)
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.reads.pass()
	return n, err
}

// scriptedEngine is an engine that hands out its connections and what is asked on them.
type scriptedEngine struct {
	net.Listener
	fetched chan fetched
	paged   chan fetched // what is asked for in pages; not read where nobody looks
}

type fetched struct {
	id   string
	conn net.Conn
}

func newScriptedEngine(t *testing.T) *scriptedEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedEngine{l, make(chan fetched, 100), make(chan fetched, 1000)}
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
						p.fetched <- fetched{c.ID, nc}
					case commandMore:
						p.paged <- fetched{c.ID, nc}
					}
				}
			}()
		}
	}()
	return p
}

func (p *scriptedEngine) nextFetch(t *testing.T) fetched {
	t.Helper()
	select {
	case f := <-p.fetched:
		return f
	case <-time.After(20 * time.Second):
		t.Fatal("no fetch")
	}
	return fetched{}
}

type harness struct {
	t       *testing.T
	pool    *Pool
	peer    *scriptedEngine
	dials   *gate // held once the connection is up
	reads   *gate
	writes  *gate
	replies chan backend.Reply
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	w := &harness{
		t:       t,
		peer:    newScriptedEngine(t),
		dials:   new(gate),
		reads:   new(gate),
		writes:  new(gate),
		replies: make(chan backend.Reply, 100),
	}
	bounds := backend.Limits{
		DialTimeout:    20 * time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 1,
		Conns:          new(limits.Count),
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
		w.dials.pass()
		return gatedConn{nc.(*net.TCPConn), w.reads, w.writes}, nil
	}
	t.Cleanup(func() {
		w.dials.open()
		w.reads.open()
		w.writes.open()
		w.pool.Close()
	})
	return w
}

// gateUntil permits dispatches up to a moment; zero: always.
type gateUntil time.Time

func (g gateUntil) Permit() backend.Permission {
	until := time.Time(g)
	isTooLate := !until.IsZero() && time.Now().After(until)
	return backend.Permission{Granted: !isTooLate, TimeoutMS: 1000}
}

func (gateUntil) Withdraw() {}
func (gateUntil) Await()    {}

func (w *harness) start(id string, until time.Time) backend.Dispatch {
	host := backend.Host{Name: "e1", Address: w.peer.Addr().String()}
	request := backend.Request{
		ID:        []byte(id),
		Type:      []byte("import"),
		Statement: []byte("x"),
		Priority:  1,
		Lane:      backend.RunOnce,
		OrderedAt: time.Now(),
		Gate:      gateUntil(until),
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
		w.t.Fatalf("no end %d", end)
	}
}

// serveOne has one dispatch serveOne and its connection idle.
func (w *harness) serveOne(id string) net.Conn {
	w.t.Helper()
	w.start(id, time.Time{})
	f := w.peer.nextFetch(w.t)
	f.conn.Write(AppendAnswer(nil, id, "data", "sheets=1", []byte("a\tb\tc\n")))
	w.expectOutcome(backend.Done)
	return f.conn
}

func (w *harness) until(what string, is func() bool) {
	w.t.Helper()
	for stop := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			w.t.Fatal(what)
		}
	}
}

// onlyOneEnded tells whether the only connection shows its end.
func (p *Pool) onlyOneEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		for _, c := range conns {
			return isClosedByPeer(c.socket)
		}
	}
	return false
}

// drop gives up what is out.
func (w *harness) drop() {
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

func (p *scriptedEngine) nextPageRequest(t *testing.T) fetched {
	t.Helper()
	select {
	case f := <-p.paged:
		return f
	case <-time.After(20 * time.Second):
		t.Fatal("no page is asked for")
	}
	return fetched{}
}
