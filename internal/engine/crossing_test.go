package engine

import (
	"bufio"
	"fmt"
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

// gatedConn is a connection whose reader stands before a gate: it has not come to what the peer did.
type gatedConn struct {
	*net.TCPConn
	reads *gate
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
	replies chan backend.Reply
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	w := &harness{
		t:       t,
		peer:    newScriptedEngine(t),
		dials:   new(gate),
		reads:   new(gate),
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
		return gatedConn{nc.(*net.TCPConn), w.reads}, nil
	}
	t.Cleanup(func() {
		w.dials.open()
		w.reads.open()
		w.pool.Close()
	})
	return w
}

func (w *harness) start(id string, until time.Time) backend.Dispatch {
	host := backend.Host{Name: "e1", Address: w.peer.Addr().String()}
	request := backend.Request{
		ID:         []byte(id),
		Type:       []byte("import"),
		Statement:  []byte("x"),
		TimeoutMS:  1000,
		Priority:   1,
		Lane:       backend.RunOnce,
		OrderedAt:  time.Now(),
		SendBefore: until,
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

// The connection comes up after the moment that the module named: the engine may have begun to drain, or a keyed
// job's window of repeats be over. It is within the dial time-out. Nothing is sent.
func TestADialThatEndsAfterItsDispatchsTimeSendsNothing(t *testing.T) {
	w := newHarness(t)
	w.dials.shut()
	w.start("late", time.Now())
	w.until("no dial", func() bool { return w.pool.ConnCount() == 1 })
	time.Sleep(time.Millisecond) // the clock goes on past that moment, however coarse it is
	w.dials.open()
	w.expectOutcome(backend.Superseded)
	w.serveOne("next") // over the same connection
	if len(w.peer.fetched) > 0 {
		t.Errorf("sent: %+v", <-w.peer.fetched)
	}
}

// The client leaves while the dial is under way; what waited for it is not sent when it ends.
func TestADialThatEndsAfterItsDispatchWasGivenUpSendsNothing(t *testing.T) {
	w := newHarness(t)
	w.dials.shut()
	d := w.start("left", time.Time{})
	given := make(chan struct{})
	if !d.Cancel(func() { close(given) }) {
		t.Fatal("was over")
	}
	<-given
	w.dials.open()
	w.serveOne("next")
	if len(w.peer.fetched) > 0 || len(w.replies) > 0 {
		t.Errorf("sent, or told: %d, %d", len(w.peer.fetched), len(w.replies))
	}
}

// The engine has closed an idle connection, and the reader has not come to that: what is sent on it would be lost,
// and a run-once job with it. It goes over another; it never ran on the first.
func TestWhatTheEngineHasClosedIsNotUsed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			first := w.serveOne("first")
			w.reads.shut()
			end(first.(*net.TCPConn))
			w.until("the close has not come", func() bool { return w.pool.onlyOneEnded() })
			w.start("second", time.Time{})
			f := w.peer.nextFetch(t)
			if f.id != "second" || f.conn == first {
				t.Fatalf("%+v", f)
			}
			w.reads.open()
			f.conn.Write(AppendAnswer(nil, "second", "data", "sheets=1", []byte("a\tb\tc\n")))
			w.expectOutcome(backend.Done)
		})
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

// Half a line lies on an idle connection: it will be cut off when the other half does not come, and what was sent on
// it would be lost with it.
func TestAnIdleConnectionWithHalfALineIsNotUsed(t *testing.T) {
	w := newHarness(t)
	first := w.serveOne("first")
	first.Write([]byte("first data shee"))
	w.until("not read", func() bool {
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		return w.pool.conns["e1"][0].reader.isPartial.Load()
	})
	w.start("second", time.Time{})
	if f := w.peer.nextFetch(t); f.id != "second" || f.conn == first {
		t.Fatalf("%+v", f)
	}
}

// The answer comes in the moment in which the job is given up, milliseconds before the abort is read, and its id is
// used again at once: one end is told of each dispatch, and the late answer is not the second's.
func TestALateAnswerIsNotThatOfTheNextDispatchOfItsID(t *testing.T) {
	w := newHarness(t)
	w.reads.shut()
	d := w.start("again", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("late\tb\tc\n")))
	if !d.Cancel(func() {}) {
		t.Fatal("was over")
	}
	w.start("again", time.Time{})
	second := w.peer.nextFetch(t)
	if second.conn == f.conn {
		t.Fatal("sent over the connection on which the late answer comes")
	}
	w.reads.open()
	f.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("second\tb\tc\n"))) // and once more
	second.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("good\tb\tc\n")))
	select {
	case r := <-w.replies:
		if r.Outcome != backend.Done || string(r.Pages[0]) != "good\tb\tc\n" {
			t.Errorf("%+v", r)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no end")
	}
	w.serveOne("next")
	if len(w.replies) > 0 {
		t.Errorf("a second end: %+v", <-w.replies)
	}
}

// An answer of two pages is cut at each of its bytes: where the rest comes later it is whole, where the connection
// ends there the dispatch ends as one that may have run. One end of each.
func TestAnAnswerIsCutAnywhere(t *testing.T) {
	w := newHarness(t)
	n := 0
	play := func(cut int, ends bool) (whole bool) {
		n++
		id := fmt.Sprintf("id%03d", n)
		w.start(id, time.Time{})
		f := w.peer.nextFetch(t)
		for len(w.peer.paged) > 0 {
			<-w.peer.paged
		}
		text := AppendAnswer(nil, id, "data", "sheets=2,toil=1", []byte("a\tb\tc\n"))
		text = AppendAnswer(text, id, "page", "sheet=1", []byte("d\te\tf\n"))
		if cut >= len(text) {
			return true
		}
		paged := len(w.peer.paged)
		f.conn.Write(text[:cut])
		if ends {
			f.conn.Close()
			w.expectOutcome(backend.Reset)
			return false
		}
		if cut > 0 { // the first part is read on its own
			w.until("not read", func() bool {
				w.pool.mu.Lock()
				defer w.pool.mu.Unlock()
				for _, c := range w.pool.conns["e1"] {
					if c.open[id] != nil && (c.reader.isPartial.Load() || len(w.peer.paged) > paged) {
						return true
					}
				}
				return false
			})
		}
		f.conn.Write(text[cut:])
		select {
		case r := <-w.replies:
			if r.Outcome != backend.Done || len(r.Pages) != 2 || string(r.Pages[0])+string(r.Pages[1]) != "a\tb\tc\nd\te\tf\n" {
				t.Fatalf("cut at %d: %+v", cut, r)
			}
			w.pool.Release(r.Pages)
		case <-time.After(20 * time.Second):
			t.Fatalf("cut at %d: no end", cut)
		}
		return false
	}
	for cut := 0; !play(cut, false); cut++ {
	}
	w.drop()
	for cut := 0; !play(cut, true); cut++ {
	}
	if len(w.replies) > 0 {
		t.Errorf("a second end: %+v", <-w.replies)
	}
	if got := w.pool.bounds.ResultBytes.Available(); got != 1<<20 {
		t.Errorf("%d bytes are not given back", 1<<20-got)
	}
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

// The answer has been told when the job is given up: nothing is left to give up, and no second end comes.
func TestWhatWasAnsweredIsNotGivenUp(t *testing.T) {
	w := newHarness(t)
	d := w.start("done", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "done", "data", "sheets=1", []byte("a\tb\tc\n")))
	w.expectOutcome(backend.Done)
	if d.Cancel(func() { t.Error("given up") }) {
		t.Error("given up after its end")
	}
	f.conn.Write(AppendAnswer(nil, "done", "data", "sheets=1", []byte("a\tb\tc\n"))) // a second answer, late
	w.serveOne("next")
	if len(w.replies) > 0 {
		t.Errorf("a second end: %+v", <-w.replies)
	}
}

// The engine dies when it is asked for a page that it still owes.
func TestAnEngineThatDiesOverAPageMayHaveRunIt(t *testing.T) {
	w := newHarness(t)
	w.start("paged", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "paged", "data", "sheets=2,toil=1", []byte("a\tb\tc\n")))
	f = w.peer.nextPageRequest(t)
	f.conn.(*net.TCPConn).SetLinger(0)
	f.conn.Close()
	w.expectOutcome(backend.Reset)
	if len(w.replies) > 0 {
		t.Errorf("a second end: %+v", <-w.replies)
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
