package discovery

import (
	"fmt"
	"net"
	"testing"
	"time"

	"swiftreel/internal/counters"
)

// fakeFeed is a control feed that a test plays by hand.
type fakeFeed struct {
	net.Listener
	conns chan net.Conn
}

func newFakeFeed(t *testing.T) *fakeFeed {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakeFeed{l, make(chan net.Conn, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			p.conns <- nc
		}
	}()
	return p
}

// nextSubscription waits for the next connection and gives what it subscribes from.
func (p *fakeFeed) nextSubscription(t *testing.T) (nc net.Conn, last int) {
	t.Helper()
	select {
	case nc = <-p.conns:
	case <-time.After(20 * time.Second):
		t.Fatal("not called")
	}
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fscanf(nc, "SUB %d\n", &last); err != nil {
		t.Fatal(err)
	}
	return nc, last
}

func change(n int) string {
	return fmt.Sprintf(`{"n":%d,"members":{"hosts":[{"host":"e%d","dial":"127.0.0.1:1","health":"ready"}]}}`+"\n", n, n)
}

type eventRecorder struct {
	t      *testing.T
	events chan Event
}

func (e eventRecorder) next(n uint64) {
	e.t.Helper()
	select {
	case ev := <-e.events:
		if ev.Number != n {
			e.t.Fatalf("event %d instead of %d", ev.Number, n)
		}
	case <-time.After(20 * time.Second):
		e.t.Fatalf("no event %d", n)
	}
}

// watchFakeFeed is a feed that has told event 2 over its first connection.
func watchFakeFeed(t *testing.T) (f *Watcher, e eventRecorder, p *fakeFeed, nc net.Conn) {
	t.Helper()
	p, e = newFakeFeed(t), eventRecorder{t, make(chan Event, 100)}
	f = Watch(p.Addr().String(), 1, func(ev Event) { e.events <- ev })
	t.Cleanup(f.Close)
	nc, _ = p.nextSubscription(t)
	nc.Write([]byte(change(2)))
	e.next(2)
	return f, e, p, nc
}

// The feed moves twice, to places that are down: where it was last heard is kept all the while.
func TestThePreviousAddressIsWatchedUntilANewOneSendsSomething(t *testing.T) {
	next := newFakeFeed(t)
	f, e, _, nc := watchFakeFeed(t)
	f.Reconfigure("127.0.0.1:1", nil)
	f.Reconfigure("127.0.0.1:2", nil)
	nc.Write([]byte(change(3)))
	e.next(3)
	f.Reconfigure(next.Addr().String(), nil)
	now, last := next.nextSubscription(t)
	if last != 3 {
		t.Errorf("the new place is asked from %d", last)
	}
	nc.Write([]byte(change(4))) // the new place has not spoken yet
	e.next(4)
	now.Write([]byte(change(4) + change(5)))
	e.next(5)
}

// A line of the old place was read before the new one spoke, and is taken after: it is passed over, also where it
// would be the next, as what the old place says by now is of no account.
func TestThePreviousAddressIsIgnoredOnceTheNewOneSendsSomething(t *testing.T) {
	next := newFakeFeed(t)
	f, e, _, _ := watchFakeFeed(t)
	f.mu.Lock()
	was := f.current
	f.mu.Unlock()
	f.Reconfigure(next.Addr().String(), nil)
	now, _ := next.nextSubscription(t)
	now.Write([]byte(change(3)))
	e.next(3)
	if err := f.receive(was, []byte(change(4))); err == nil || len(e.events) > 0 {
		t.Errorf("the old place is heard: %v, %d events", err, len(e.events))
	}
	now.Write([]byte(change(4)))
	e.next(4)
}

// An open watch falls silent, with no word of it: it is called anew from the last event on, well within 7 s, also
// where the first call is not answered either. What the new one tells again is passed over.
func TestASilentWatchReconnects(t *testing.T) {
	_, e, p, first := watchFakeFeed(t)
	silent := time.Now() // nothing is said any more, nor on the next connection
	second, last := p.nextSubscription(t)
	third, again := p.nextSubscription(t)
	if late := time.Since(silent); last != 2 || again != 2 || late > 7*time.Second {
		t.Errorf("called from %d and %d, the third time after %v", last, again, late)
	}
	before := counters.Value("discovery_events_duplicate")
	third.Write([]byte(change(2) + change(3)))
	e.next(3)
	if counters.Value("discovery_events_duplicate") == before {
		t.Error("what was told before is told anew")
	}
	first.Write([]byte(change(3)))
	second.Write([]byte(change(3)))
	if len(e.events) > 0 {
		t.Errorf("told twice: %+v", <-e.events)
	}
}
