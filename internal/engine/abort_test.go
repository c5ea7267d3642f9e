package engine_test

import (
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/fake"
)

// A probe has no effect, and the engine is not to blame for a connection: its reset took an engine out for a second.
func TestAProbeIsRetriedWhenItsConnectionIsReset(t *testing.T) {
	b := newHarness(t, nil)
	b.pool.Probe(b.host, true, 10*time.Second, func(r backend.Reply) { b.replies <- r })
	b.nextCommand("stats").from.Reset()
	c := b.nextCommand("stats")
	c.from.Answer(c.ID, "well", "load=inflight:7", "")
	if r := b.expectOutcome(backend.Done); r.Load != "inflight:7" {
		t.Errorf("%+v", r)
	}
	b.pool.Probe(b.host, true, 10*time.Second, func(r backend.Reply) { b.replies <- r })
	b.nextCommand("stats").from.Reset()
	b.nextCommand("stats").from.Reset()
	b.expectOutcome(backend.Reset)
}

func TestALateAnswerIsNotMistakenForThatOfTheNextDispatch(t *testing.T) {
	b := newHarness(t, nil)
	d := b.start("a")
	first := b.nextCommand("fetch")
	read := make(chan bool, 2)
	if !d.Cancel(func() { read <- true }) || d.Cancel(func() { read <- false }) {
		t.Fatal("given up once")
	}
	b.nextCommand("abort")
	if c := b.nextCommand("more"); len(read) > 0 {
		t.Fatal("given up before the engine is known to have read it")
	} else {
		c.from.Answer("a", "failed", "", "") // it no longer knows that
	}
	if !<-read {
		t.Fatal("the second call's")
	}
	b.start("a")
	second := b.nextCommand("fetch")
	if second.from == first.from {
		t.Fatal("the same id on the same connection while its late answer may come")
	}
	first.from.Answer("a", "data", "sheets=1", "late\tb\tc\n")
	second.from.Answer("a", "data", "sheets=1", "right\tb\tc\n")
	if r := b.expectOutcome(backend.Done); string(r.Pages[0]) != "right\tb\tc\n" {
		t.Fatalf("%q", r.Pages[0])
	}
}

func TestAPartitionedEngineLeavesNothingBehind(t *testing.T) {
	b := newHarness(t, func(l *backend.Limits) { l.DialTimeout = 300 * time.Millisecond })
	b.pool.Probe(b.host, true, 10*time.Second, func(r backend.Reply) { b.replies <- r })
	c := b.nextCommand("stats")
	c.from.Answer(c.ID, "well", "load=inflight:7;util:0.61", "")
	if r := b.expectOutcome(backend.Done); r.Load != "inflight:7;util:0.61" {
		t.Fatalf("%+v", r)
	}
	b.pool.Probe(b.host, false, 300*time.Millisecond, func(r backend.Reply) { b.replies <- r })
	first := b.nextCommand("alive").from
	b.expectOutcome(backend.TimedOut)
	b.start("a") // not on the connection that says nothing
	if b.nextCommand("fetch").from == first {
		t.Fatal("sent where a probe was lost")
	}
	b.until("the silent connection stays", func() bool { return b.peer.Sessions() == 1 })
	b.peer.Close()
	b.expectOutcome(backend.Reset)
}

// A machine that vanished reads no abort: the job still counted as out there when it was sent again elsewhere.
func TestASilentConnectionIsClosedToCancelWhatIsInFlight(t *testing.T) {
	b := newHarness(t, func(l *backend.Limits) { l.DialTimeout = 200 * time.Millisecond; l.Conns.Store(2) })
	read := make(chan string, 3)
	b.startImport("c")
	runOnce := b.nextCommand("fetch")
	d := b.start("a")
	b.nextCommand("fetch")
	b.start("b") // no connection is left for it alone
	b.nextCommand("fetch")
	d.Cancel(func() { read <- "a" })
	b.expectOutcome(backend.Reset) // b was beside it
	if id := <-read; id != "a" || b.peer.Sessions() > 2 {
		t.Fatal(id)
	}
	b.nextCommand("abort")
	b.nextCommand("more")
	runOnce.from.Answer("c", "full", "", "") // the other lane is untouched
	b.expectOutcome(backend.Full)
}

// The engine vanished unnoticed: a run-once job that goes there over a connection that is up may have run for ever.
func TestARunOnceJobIsNotSentWhereAProbeWasLost(t *testing.T) {
	b := newHarness(t, nil)
	importing := func(id string) *fake.Session {
		b.startImport(id)
		c := b.nextCommand("fetch")
		c.from.Answer(id, "full", "", "")
		b.expectOutcome(backend.Full)
		return c.from
	}
	first := importing("a")
	b.pool.Probe(b.host, false, 50*time.Millisecond, func(r backend.Reply) { b.replies <- r })
	b.nextCommand("alive")
	b.expectOutcome(backend.TimedOut)
	if importing("b") == first {
		t.Fatal("sent over a connection to an engine that lost a probe, with nothing heard since")
	}
}
