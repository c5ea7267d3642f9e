package engine_test

import (
	"testing"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
	"swiftreel/internal/limits"
)

// harness is a pool and one fake engine, whose commands arrive on a channel.
type harness struct {
	t        *testing.T
	pool     *engine.Pool
	peer     *fake.Engine
	host     backend.Host
	bytes    *limits.Bytes
	commands chan command
	replies  chan backend.Reply
}

type command struct {
	engine.Command
	from *fake.Session
}

const resultMemory = 100_000

// openGate permits every dispatch, with this engine timeout in milliseconds.
type openGate int64

func (g openGate) Permit() backend.Permission {
	return backend.Permission{Granted: true, TimeoutMS: int64(g)}
}
func (openGate) Withdraw()          {}
func (openGate) AwaitPendingInput() {}

// closedGate permits no dispatch.
type closedGate struct{}

func (closedGate) Permit() backend.Permission { return backend.Permission{TimeoutMS: 1000} }
func (closedGate) Withdraw()                  {}
func (closedGate) AwaitPendingInput()         {}

func newHarness(t *testing.T, change func(*backend.Limits)) *harness {
	t.Helper()
	b := &harness{
		t:        t,
		bytes:    new(limits.Bytes),
		commands: make(chan command, 100),
		replies:  make(chan backend.Reply, 1000),
	}
	b.bytes.SetCapacity(resultMemory)
	var err error
	b.peer, err = fake.StartEngine("127.0.0.1:0", func(s *fake.Session, c engine.Command) { b.commands <- command{c, s} })
	if err != nil {
		t.Fatal(err)
	}
	bounds := backend.Limits{
		DialTimeout:    5 * time.Second,
		IdleTimeout:    time.Minute,
		StreamsPerConn: 100,
		Conns:          new(limits.Limit),
		ResultBytes:    b.bytes,
	}
	bounds.Conns.Store(10)
	if change != nil {
		change(&bounds)
	}
	b.pool, b.host = engine.NewPool(bounds), backend.Host{Name: "e1", Address: b.peer.Address()}
	t.Cleanup(func() {
		b.pool.Close()
		b.peer.Close()
		if len(b.replies) > 0 {
			t.Errorf("unexpected reply: %+v", <-b.replies)
		}
	})
	return b
}

func (b *harness) start(id string) backend.Dispatch {
	return b.pool.Start(b.host, backend.Request{ID: []byte(id), Type: []byte("report"), Statement: []byte("SELECT 1"),
		Priority: 1, DecidedAt: time.Now(), Gate: openGate(1000)}, func(r backend.Reply) { b.replies <- r })
}

// startImport starts a run-once dispatch.
func (b *harness) startImport(id string) {
	request := backend.Request{ID: []byte(id), Type: []byte("import"), Lane: backend.NotRestartable, DecidedAt: time.Now(),
		Gate: openGate(1000)}
	b.pool.Start(b.host, request, func(r backend.Reply) { b.replies <- r })
}

// nextCommand waits for the next command and checks its name.
func (b *harness) nextCommand(name string) command {
	b.t.Helper()
	select {
	case c := <-b.commands:
		if c.Name != name {
			b.t.Fatalf("%+v instead of %s", c.Command, name)
		}
		return c
	case <-time.After(20 * time.Second):
		b.t.Fatalf("no %s command received", name)
	}
	return command{}
}

func (b *harness) expectOutcome(end backend.Outcome) backend.Reply {
	b.t.Helper()
	select {
	case r := <-b.replies:
		if r.Outcome != end {
			b.t.Fatalf("%+v instead of %d", r, end)
		}
		return r
	case <-time.After(20 * time.Second):
		b.t.Fatalf("no outcome %d", end)
	}
	return backend.Reply{}
}

// waitUntil waits for a condition that another goroutine brings about.
func (b *harness) waitUntil(what string, holds func() bool) {
	b.t.Helper()
	for stop := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			b.t.Fatal(what)
		}
	}
}

const row = "one\ttwo\tthree\n"

// nextFetch waits for the next fetch command and skips any other.
func (b *harness) nextFetch() *fake.Session {
	c := <-b.commands
	for c.Name != "fetch" {
		c = <-b.commands
	}
	return c.from
}
