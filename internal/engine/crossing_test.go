package engine

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/backend"
)

// The connection comes up within the dial timeout, but after the time until which the dispatch may be sent: the engine
// may have begun to drain, or the repeat window of a keyed job may be over. Nothing is sent.
func TestADialThatEndsAfterTheSendDeadlineSendsNothing(t *testing.T) {
	w := newHarness(t)
	w.dials.close()
	w.start("late", time.Now())
	w.waitUntil("no dial was started", func() bool { return w.pool.ConnCount() == 1 })
	time.Sleep(time.Millisecond) // a clock with a coarse resolution passes the send deadline
	w.dials.open()
	w.expectOutcome(backend.Superseded)
	w.serveOne("next") // over the same connection
	if len(w.peer.fetches) > 0 {
		t.Errorf("sent after the send deadline: %+v", <-w.peer.fetches)
	}
}

// The client leaves while the dial is in progress. Its dispatch is not sent when the dial completes.
func TestADialThatEndsAfterItsDispatchWasCancelledSendsNothing(t *testing.T) {
	w := newHarness(t)
	w.dials.close()
	d := w.start("left", time.Time{})
	cancelled := make(chan struct{})
	if !d.Cancel(func() { close(cancelled) }) {
		t.Fatal("the dispatch had already ended")
	}
	<-cancelled
	w.dials.open()
	w.serveOne("next")
	if len(w.peer.fetches) > 0 || len(w.replies) > 0 {
		t.Errorf("%d commands sent, %d replies reported", len(w.peer.fetches), len(w.replies))
	}
}

// The engine has closed an idle connection, and the reader has not noticed yet. A dispatch sent over it would be lost,
// and a run-once job with it. It is sent over another connection, as it never ran on the first.
func TestAConnectionClosedByTheEngineIsNotUsed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			first := w.serveOne("first")
			w.reads.close()
			end(first.(*net.TCPConn))
			w.waitUntil("the close has not arrived", func() bool { return w.pool.isOnlyConnClosedByPeer() })
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

// An idle connection holds an incomplete line. It is closed if the rest does not arrive, and a dispatch sent over it
// would be lost.
func TestAnIdleConnectionWithAPartialLineIsNotUsed(t *testing.T) {
	w := newHarness(t)
	first := w.serveOne("first")
	first.Write([]byte("first data shee"))
	w.waitUntil("the incomplete answer was not read", func() bool {
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		return w.pool.conns["e1"][0].reader.isPartial.Load()
	})
	w.start("second", time.Time{})
	if f := w.peer.nextFetch(t); f.id != "second" || f.conn == first {
		t.Fatalf("%+v", f)
	}
}

// The answer arrives as the job is cancelled, milliseconds before the engine reads the abort, and the id is used again
// at once. Each dispatch has one outcome, and the late answer is not taken for that of the second.
func TestALateAnswerIsNotThatOfTheNextDispatchOfItsID(t *testing.T) {
	w := newHarness(t)
	w.reads.close()
	d := w.start("again", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("late\tb\tc\n")))
	if !d.Cancel(func() {}) {
		t.Fatal("the dispatch had already ended")
	}
	w.start("again", time.Time{})
	second := w.peer.nextFetch(t)
	if second.conn == f.conn {
		t.Fatal("sent over the connection on which the late answer arrives")
	}
	w.reads.open()
	f.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("second\tb\tc\n"))) // a second late answer
	second.conn.Write(AppendAnswer(nil, "again", "data", "sheets=1", []byte("good\tb\tc\n")))
	select {
	case r := <-w.replies:
		if r.Outcome != backend.Done || string(r.Pages[0]) != "good\tb\tc\n" {
			t.Errorf("%+v", r)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no outcome")
	}
	w.serveOne("next")
	if len(w.replies) > 0 {
		t.Errorf("a second outcome: %+v", <-w.replies)
	}
}

// An answer of two pages is split after each of its bytes. If the rest arrives later, the result is complete; if the
// connection ends there, the dispatch ends as one that may have run. Each dispatch has one outcome.
func TestAnAnswerIsCutAnywhere(t *testing.T) {
	w := newHarness(t)
	n := 0
	sendCutAnswer := func(cut int, closes bool) (whole bool) {
		n++
		id := fmt.Sprintf("id%03d", n)
		w.start(id, time.Time{})
		f := w.peer.nextFetch(t)
		for len(w.peer.pageRequests) > 0 {
			<-w.peer.pageRequests
		}
		text := AppendAnswer(nil, id, "data", "sheets=2,toil=1", []byte("a\tb\tc\n"))
		text = AppendAnswer(text, id, "page", "sheet=1", []byte("d\te\tf\n"))
		if cut >= len(text) {
			return true
		}
		paged := len(w.peer.pageRequests)
		f.conn.Write(text[:cut])
		if closes {
			f.conn.Close()
			w.expectOutcome(backend.Reset)
			return false
		}
		if cut > 0 { // the first part is read separately
			w.waitUntil("the incomplete answer was not read", func() bool {
				w.pool.mu.Lock()
				defer w.pool.mu.Unlock()
				for _, c := range w.pool.conns["e1"] {
					if c.open[id] != nil && (c.reader.isPartial.Load() || len(w.peer.pageRequests) > paged) {
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
			t.Fatalf("cut at %d: no outcome", cut)
		}
		return false
	}
	for cut := 0; !sendCutAnswer(cut, false); cut++ {
	}
	w.cancelAll()
	for cut := 0; !sendCutAnswer(cut, true); cut++ {
	}
	if len(w.replies) > 0 {
		t.Errorf("a second outcome: %+v", <-w.replies)
	}
	if got := w.pool.limits.ResultBytes.Available(); got != 1<<20 {
		t.Errorf("%d bytes were not released", 1<<20-got)
	}
}

// The result was reported before the job is cancelled: Cancel has no effect, and no second outcome is reported.
func TestAnAnsweredDispatchCannotBeCancelled(t *testing.T) {
	w := newHarness(t)
	d := w.start("done", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "done", "data", "sheets=1", []byte("a\tb\tc\n")))
	w.expectOutcome(backend.Done)
	if d.Cancel(func() { t.Error("the callback was called") }) {
		t.Error("cancelled after its outcome was reported")
	}
	f.conn.Write(AppendAnswer(nil, "done", "data", "sheets=1", []byte("a\tb\tc\n"))) // a late duplicate
	w.serveOne("next")
	if len(w.replies) > 0 {
		t.Errorf("a second outcome: %+v", <-w.replies)
	}
}

// The engine dies when it is asked for a page that it has not sent yet.
func TestAnEngineThatDiesBeforeItsLastPageMayHaveRunTheJob(t *testing.T) {
	w := newHarness(t)
	w.start("paged", time.Time{})
	f := w.peer.nextFetch(t)
	f.conn.Write(AppendAnswer(nil, "paged", "data", "sheets=2,toil=1", []byte("a\tb\tc\n")))
	f = w.peer.nextPageRequest(t)
	f.conn.(*net.TCPConn).SetLinger(0)
	f.conn.Close()
	w.expectOutcome(backend.Reset)
	if len(w.replies) > 0 {
		t.Errorf("a second outcome: %+v", <-w.replies)
	}
}

// An engine hangs and reads nothing more while a dispatch is sent to it and cancelled. The caller, which owes the
// client its answer, is not blocked by either write.
func TestAnEngineThatReadsNothingBlocksNoCaller(t *testing.T) {
	w := newHarness(t)
	w.serveOne("first")
	w.writes.close()
	returned := make(chan bool, 1)
	go func() {
		d := w.start("second", time.Time{})
		returned <- d.Cancel(func() {})
	}()
	select {
	case cancelled := <-returned:
		if !cancelled {
			t.Error("the dispatch had already ended")
		}
	case <-time.After(5 * time.Second):
		t.Error("blocked by a write")
	}
}

// briefGate grants permissions of which the first expires after permissionTime, and the others after a minute.
type briefGate struct{ permits atomic.Int64 }

const permissionTime = 200 * time.Millisecond

func (g *briefGate) Permit() backend.Permission {
	lifetime := time.Minute
	if g.permits.Add(1) == 1 {
		lifetime = permissionTime
	}
	return backend.Permission{Granted: true, TimeoutMS: 1000, ExpiresAt: time.Now().Add(lifetime)}
}
func (*briefGate) Withdraw()          {}
func (*briefGate) AwaitPendingInput() {}

// The process is stopped after it has found a permission valid and before the system call that writes. In a trial with
// 24 busy loops on 8 cores, 4 of 12,960 dispatches were stopped for 400 ms between that look and the end of the write.
func TestAPermissionThatExpiresBeforeTheWriteIsRequestedAgain(t *testing.T) {
	w := newHarness(t)
	w.serveOne("first")
	w.writes.close()
	gate := new(briefGate)
	host := backend.Host{Name: "e1", Address: w.peer.Addr().String()}
	request := backend.Request{ID: []byte("second"), Type: []byte("import"), Lane: backend.NotRestartable,
		DecidedAt: time.Now(), Gate: gate}
	w.pool.Start(host, request, func(r backend.Reply) { w.replies <- r })
	w.waitUntil("the write did not begin", w.writes.hasBlocked)
	time.Sleep(2 * permissionTime)
	w.writes.open()
	fetch := w.peer.nextFetch(t)
	if permits := gate.permits.Load(); permits != 2 {
		t.Errorf("sent after %d permissions, of which the first had expired", permits)
	}
	fetch.conn.Write(AppendAnswer(nil, "second", "full", "", nil))
	w.expectOutcome(backend.Full)
}
