package engine_test

import (
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/fake"
)

// A malformed line, a reset or silence affects only the dispatches open on that connection.
func TestEachDispatchHasItsOwnConnectionWhileDescriptorsLast(t *testing.T) {
	b := newHarness(t, nil) // of 10 connections, one is reserved for engines that have none
	from := map[*fake.Session]int{}
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
	var last command
	for _, id := range ids {
		b.start(id)
		last = b.nextCommand("fetch")
		from[last.from]++
	}
	if len(from) != 9 || from[last.from] != 2 {
		t.Errorf("%d connections, %d dispatches on the last", len(from), from[last.from])
	}
	last.from.Reset()
	b.expectOutcome(backend.Reset)
	b.expectOutcome(backend.Reset)
	for s := range from {
		for _, id := range ids {
			s.Answer(id, "full", "", "") // ids that are not open there are ignored
		}
	}
	for range len(ids) - 2 {
		b.expectOutcome(backend.Full)
	}
}

// On real sockets, a network that dropped connections idle for 90 ms lost one dispatch in twenty.
func TestIdleLimitFollowsLostConnections(t *testing.T) {
	b := newHarness(t, nil)
	serve := func() *fake.Session {
		b.start("a")
		from := b.nextFetch()
		from.Answer("a", "full", "", "")
		b.expectOutcome(backend.Full)
		return from
	}
	idleFor := func(idle time.Duration) {
		since := time.Now()
		b.waitUntil("the clock does not advance", func() bool { return time.Since(since) >= idle })
	}
	first := serve()
	beforeIdle := time.Now()
	idleFor(60 * time.Millisecond)
	b.start("b")
	lostAfter := time.Since(beforeIdle) // far longer on a busy machine
	if b.nextFetch() != first {
		t.Fatal("an idle connection was not used")
	}
	first.Reset()
	b.expectOutcome(backend.Reset)
	second := serve()
	b.start("c")
	if b.nextFetch() != second {
		t.Error("a connection idle for a moment was not used")
	}
	second.Answer("c", "full", "", "")
	b.expectOutcome(backend.Full)
	idleFor(lostAfter)
	b.start("d")
	third := b.nextFetch()
	if third == second {
		t.Error("sent over a connection idle for as long as the one that was lost")
	}
	third.Answer("d", "full", "", "")
	b.expectOutcome(backend.Full)
}

// A reset while the engine works is unrelated to the idle time before: idle connections are still used.
func TestAResetDuringWorkIsNotBlamedOnIdleness(t *testing.T) {
	b := newHarness(t, nil)
	serve := func(id string) *fake.Session {
		b.start(id)
		from := b.nextFetch()
		from.Answer(id, "full", "", "")
		b.expectOutcome(backend.Full)
		return from
	}
	first := serve("a")
	idle := 20 * time.Millisecond
	since := time.Now()
	b.waitUntil("the clock does not advance", func() bool { return time.Since(since) > idle })
	b.start("b")
	if b.nextFetch() != first {
		t.Fatal("an idle connection was not used")
	}
	working := time.Now() // the work takes longer than any round trip
	b.waitUntil("the clock does not advance", func() bool { return time.Since(working) > 100*time.Millisecond })
	first.Reset()
	b.expectOutcome(backend.Reset)
	second := serve("c")
	since = time.Now()
	b.waitUntil("the clock does not advance", func() bool { return time.Since(since) > 2*idle })
	b.start("d")
	if b.nextFetch() != second {
		t.Error("a connection that was idle for a moment was not used")
	}
	second.Answer("d", "full", "", "")
	b.expectOutcome(backend.Full)
}

// A controller that stalled between the decision and the send could send to an engine that it has since been notified
// is draining. The gate, which knows, is asked when the first byte is about to be sent.
func TestADispatchThatIsNotPermittedIsSuperseded(t *testing.T) {
	b := newHarness(t, nil)
	request := backend.Request{ID: []byte("a"), Type: []byte("report"), DecidedAt: time.Now(),
		Gate: closedGate{}}
	b.pool.Start(b.host, request, func(r backend.Reply) { b.replies <- r })
	b.expectOutcome(backend.Superseded)
	b.start("b")
	b.nextCommand("fetch").from.Answer("b", "full", "", "") // nothing of a was sent
	b.expectOutcome(backend.Full)
}

func TestConnectionsAreBounded(t *testing.T) {
	b := newHarness(t, func(l *backend.Limits) { l.StreamsPerConn = 2; l.Conns.Store(2) })
	var from []command
	for _, id := range []string{"a", "b", "c", "d"} {
		b.start(id)
		from = append(from, b.nextCommand("fetch"))
	}
	if b.peer.Sessions() != 2 {
		t.Fatalf("%d connections for four dispatches", b.peer.Sessions())
	}
	b.start("e") // no third connection is allowed: it never ran, and the engine did not refuse it
	b.expectOutcome(backend.Full)
	for _, c := range from {
		if c.from == from[0].from {
			c.from.Answer(c.ID, "full", "", "")
			b.expectOutcome(backend.Full)
		}
	}
	other := newHarness(t, nil) // an idle connection is closed to make room for another engine
	b.host = backend.Host{Name: "e2", Address: other.peer.Address()}
	b.start("f")
	other.nextCommand("fetch").from.Answer("f", "full", "", "")
	b.expectOutcome(backend.Full)
	for _, c := range from {
		if c.from != from[0].from {
			c.from.Answer(c.ID, "full", "", "")
			b.expectOutcome(backend.Full)
		}
	}
}

func TestADispatchOfWhichNoByteWentOutMovesToAnotherConnection(t *testing.T) {
	b := newHarness(t, func(l *backend.Limits) { l.IdleTimeout = 400 * time.Millisecond })
	b.start("a")
	c := b.nextCommand("fetch")
	c.from.Answer("a", "full", "", "")
	b.expectOutcome(backend.Full)
	c.from.Reset()
	b.start("b")
	b.nextCommand("fetch").from.Answer("b", "full", "", "")
	b.expectOutcome(backend.Full)
	b.waitUntil("an idle connection was not closed", func() bool { return b.pool.ConnCount() == 0 })
}
