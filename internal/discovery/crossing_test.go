package discovery

import (
	"fmt"
	"net"
	"testing"
	"time"

	"swiftreel/internal/counters"
)

// fakeFeed is a discovery feed that the test controls.
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

// nextSubscription waits for the next connection and returns the event number that it resumes from.
func (p *fakeFeed) nextSubscription(t *testing.T) (nc net.Conn, last int) {
	t.Helper()
	select {
	case nc = <-p.conns:
	case <-time.After(20 * time.Second):
		t.Fatal("no connection")
	}
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fscanf(nc, "SUB %d\n", &last); err != nil {
		t.Fatal(err)
	}
	return nc, last
}

func changeEvent(n int) string {
	return fmt.Sprintf(`{"n":%d,"members":{"hosts":[{"host":"e%d","dial":"127.0.0.1:1","health":"ready"}]}}`+"\n", n, n)
}

type eventRecorder struct {
	t      *testing.T
	events chan Event
}

func (e eventRecorder) expect(n uint64) {
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

// watchFakeFeed watches a feed that has sent event 2 over its first connection.
func watchFakeFeed(t *testing.T) (f *Watcher, e eventRecorder, p *fakeFeed, nc net.Conn) {
	t.Helper()
	p, e = newFakeFeed(t), eventRecorder{t, make(chan Event, 100)}
	f = Watch(p.Addr().String(), 1, func(ev Event) { e.events <- ev })
	t.Cleanup(f.Close)
	nc, _ = p.nextSubscription(t)
	nc.Write([]byte(changeEvent(2)))
	e.expect(2)
	return f, e, p, nc
}

// The feed moves twice, to addresses that are unreachable. The last address that sent something is watched meanwhile.
func TestThePreviousAddressIsWatchedUntilANewOneSendsSomething(t *testing.T) {
	next := newFakeFeed(t)
	f, e, _, nc := watchFakeFeed(t)
	f.Reconfigure("127.0.0.1:1", nil)
	f.Reconfigure("127.0.0.1:2", nil)
	nc.Write([]byte(changeEvent(3)))
	e.expect(3)
	f.Reconfigure(next.Addr().String(), nil)
	newConn, last := next.nextSubscription(t)
	if last != 3 {
		t.Errorf("the new address is subscribed to from event %d", last)
	}
	nc.Write([]byte(changeEvent(4))) // the new address has not sent anything yet
	e.expect(4)
	newConn.Write([]byte(changeEvent(4) + changeEvent(5)))
	e.expect(5)
}

// A line from the old address was read before the new address sent something, and is handled afterwards. It is ignored
// even if it is the next event, as the old address is no longer authoritative.
func TestThePreviousAddressIsIgnoredOnceTheNewOneSendsSomething(t *testing.T) {
	next := newFakeFeed(t)
	f, e, _, _ := watchFakeFeed(t)
	f.mu.Lock()
	previous := f.current
	f.mu.Unlock()
	f.Reconfigure(next.Addr().String(), nil)
	newConn, _ := next.nextSubscription(t)
	newConn.Write([]byte(changeEvent(3)))
	e.expect(3)
	if err := f.receive(previous, []byte(changeEvent(4))); err == nil || len(e.events) > 0 {
		t.Errorf("a line from the old address was accepted: %v, %d events", err, len(e.events))
	}
	newConn.Write([]byte(changeEvent(4)))
	e.expect(4)
}

// An open connection falls silent without any notice. The watcher reconnects and resumes from the last event, well
// within 7 s, even if the next connection is silent too. Events that are sent again are ignored.
func TestASilentWatchReconnects(t *testing.T) {
	_, e, p, first := watchFakeFeed(t)
	silent := time.Now() // nothing more is sent, nor on the next connection
	second, last := p.nextSubscription(t)
	third, again := p.nextSubscription(t)
	if late := time.Since(silent); last != 2 || again != 2 || late > 7*time.Second {
		t.Errorf("subscribed from events %d and %d, the third time after %v", last, again, late)
	}
	before := counters.Value("discovery_events_duplicate")
	third.Write([]byte(changeEvent(2) + changeEvent(3)))
	e.expect(3)
	if counters.Value("discovery_events_duplicate") == before {
		t.Error("the duplicate event was not counted")
	}
	first.Write([]byte(changeEvent(3)))
	second.Write([]byte(changeEvent(3)))
	if len(e.events) > 0 {
		t.Errorf("delivered twice: %+v", <-e.events)
	}
}
