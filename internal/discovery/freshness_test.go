package discovery_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/discovery"
	"swiftreel/internal/fake"
)

// blockableWatch is a watcher whose notify can be blocked, as a stalled goroutine or a lock blocks it.
type blockableWatch struct {
	*discovery.Watcher
	feed       *fake.Discovery
	events     chan discovery.Event
	notifyLock sync.Mutex // notify blocks while it is held
}

func newBlockableWatch(t *testing.T) *blockableWatch {
	t.Helper()
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	w := &blockableWatch{feed: feed, events: make(chan discovery.Event, 100)}
	w.Watcher = discovery.Watch(feed.Address(), 0, func(event discovery.Event) {
		w.notifyLock.Lock()
		defer w.notifyLock.Unlock()
		w.events <- event
	})
	t.Cleanup(w.Close)
	feed.AddEvent(true, hosts)
	w.next(t)
	return w
}

func (w *blockableWatch) next(t *testing.T) {
	t.Helper()
	select {
	case <-w.events:
	case <-time.After(20 * time.Second):
		t.Fatal("no event")
	}
}

// While nothing is unread the list is current at any time, however long ago the last line arrived.
func TestAListWithNothingUnreadIsCurrent(t *testing.T) {
	w := newBlockableWatch(t)
	for range 20 {
		called := time.Now()
		if currentAt := w.AwaitCurrent(0, 20*time.Second); currentAt.Before(called) {
			t.Fatalf("current as of %v before the call", called.Sub(currentAt))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// One goroutine is stalled, not the process: an event was read and is not delivered yet, and others lie unread behind
// it. The list is as old as the last time without either, and current again once all are delivered.
func TestAListWithUndeliveredEventsIsStale(t *testing.T) {
	w := newBlockableWatch(t)
	w.AwaitCurrent(0, 20*time.Second)
	w.notifyLock.Lock()
	sentAt := time.Now()
	for range 3 {
		w.feed.AddEvent(false, hosts)
	}
	if currentAt := w.AwaitCurrent(0, 100*time.Millisecond); currentAt.After(time.Now().Add(-50 * time.Millisecond)) {
		t.Errorf("current as of %v after events arrived that are not delivered", currentAt.Sub(sentAt))
	}
	delivered := make(chan int, 1)
	go func() {
		w.AwaitCurrent(0, 20*time.Second)
		delivered <- len(w.events)
	}()
	w.notifyLock.Unlock()
	if count := <-delivered; count != 3 {
		t.Errorf("current with %d of 3 events delivered", count)
	}
}

// A feed that is unreachable or silent must not block any send: what it sends later counts as notified later.
func TestAListWithoutAWorkingFeedIsCurrent(t *testing.T) {
	for name, fail := range map[string]func(w *blockableWatch){
		"connections end": func(w *blockableWatch) { w.feed.DropConnections() },
		"unreachable":     func(w *blockableWatch) { w.feed.Close() },
		"incomplete line": func(w *blockableWatch) { w.feed.Write(strings.Repeat(" ", 100)) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newBlockableWatch(t)
			fail(w)
			for range 100 {
				called := time.Now()
				if currentAt := w.AwaitCurrent(50*time.Millisecond, 20*time.Second); called.Sub(currentAt) > 100*time.Millisecond {
					t.Fatalf("current as of %v before the call", called.Sub(currentAt))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
