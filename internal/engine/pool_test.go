package engine_test

import (
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/fake"
)

// One spoilt line, reset or silence costs what is open on that connection, and nothing else.
func TestEachDispatchHasItsOwnConnectionWhileDescriptorsLast(t *testing.T) {
	b := newHarness(t, nil) // of 10 connections, one is spared for engines that have none
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
			s.Answer(id, "full", "", "") // only what is open there counts
		}
	}
	for range len(ids) - 2 {
		b.expectOutcome(backend.Full)
	}
}

// Seen on sockets: a network that dropped what was idle for 90 ms cost one dispatch in twenty.
func TestIdleLimitFollowsLostConnections(t *testing.T) {
	b := newHarness(t, nil)
	turn := func() *fake.Session {
		b.start("a")
		from := b.nextFetch()
		from.Answer("a", "full", "", "")
		b.expectOutcome(backend.Full)
		return from
	}
	idleFor := func(idle time.Duration) {
		since := time.Now()
		b.until("time stands still", func() bool { return time.Since(since) >= idle })
	}
	first := turn()
	beforeIdle := time.Now()
	idleFor(60 * time.Millisecond)
	b.start("b")
	lostAfter := time.Since(beforeIdle) // on a busy machine far more
	if b.nextFetch() != first {
		t.Fatal("an idle connection was not used")
	}
	first.Reset()
	b.expectOutcome(backend.Reset)
	second := turn()
	b.start("c")
	if b.nextFetch() != second {
		t.Error("one idle for a moment was not used")
	}
	second.Answer("c", "full", "", "")
	b.expectOutcome(backend.Full)
	idleFor(lostAfter)
	b.start("d")
	third := b.nextFetch()
	if third == second {
		t.Error("sent where the last one was lost after as long an idle time")
	}
	third.Answer("d", "full", "", "")
	b.expectOutcome(backend.Full)
}

// An engine that resets connections in the middle of its work says nothing of idle times: the connection that is idle
// is used on.
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
	b.until("time stands still", func() bool { return time.Since(since) > idle })
	b.start("b")
	if b.nextFetch() != first {
		t.Fatal("an idle connection was not used")
	}
	working := time.Now()
	b.until("time stands still", func() bool { return time.Since(working) > 100*time.Millisecond }) // past any round trip
	first.Reset()
	b.expectOutcome(backend.Reset)
	second := serve("c")
	since = time.Now()
	b.until("time stands still", func() bool { return time.Since(since) > 2*idle })
	b.start("d")
	if b.nextFetch() != second {
		t.Error("a connection that was idle for a moment was not used")
	}
	second.Answer("d", "full", "", "")
	b.expectOutcome(backend.Full)
}

// A controller that stood still between order and send could send to an engine that it has been told is draining: the
// decision module, which knows, is asked when the first byte would go out.
func TestADispatchThatIsNotPermittedIsSuperseded(t *testing.T) {
	b := newHarness(t, nil)
	request := backend.Request{ID: []byte("a"), Type: []byte("report"), OrderedAt: time.Now(),
		Gate: closedGate{}}
	b.pool.Start(b.host, request, func(r backend.Reply) { b.replies <- r })
	b.expectOutcome(backend.Superseded)
	b.start("b")
	b.nextCommand("fetch").from.Answer("b", "full", "", "") // and nothing of a
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
	b.start("e") // no descriptor for a third: it never ran, and the engine refused nothing
	b.expectOutcome(backend.Full)
	for _, c := range from {
		if c.from == from[0].from {
			c.from.Answer(c.ID, "full", "", "")
			b.expectOutcome(backend.Full)
		}
	}
	other := newHarness(t, nil) // an idle connection makes way for another engine
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
	b.until("an idle connection stays", func() bool { return b.pool.ConnCount() == 0 })
}
