package discovery_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/discovery"
	"swiftreel/internal/fake"
)

// heldWatch is a watch whose notify can be held up, as a stalled goroutine or a lock holds it up.
type heldWatch struct {
	*discovery.Watcher
	feed    *fake.Discovery
	events  chan discovery.Event
	holding sync.Mutex // held: notify waits
}

func newHeldWatch(t *testing.T) *heldWatch {
	t.Helper()
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	w := &heldWatch{feed: feed, events: make(chan discovery.Event, 100)}
	w.Watcher = discovery.Watch(feed.Address(), 0, func(event discovery.Event) {
		w.holding.Lock()
		defer w.holding.Unlock()
		w.events <- event
	})
	t.Cleanup(w.Close)
	feed.AddEvent(true, hosts)
	w.next(t)
	return w
}

func (w *heldWatch) next(t *testing.T) {
	t.Helper()
	select {
	case <-w.events:
	case <-time.After(20 * time.Second):
		t.Fatal("no event")
	}
}

// While nothing is unread the list is current at any time, however long ago the last line came.
func TestAListThatIsReadIsCurrent(t *testing.T) {
	w := newHeldWatch(t)
	for range 20 {
		asked := time.Now()
		if currentAt := w.AwaitCurrent(0, 20*time.Second); currentAt.Before(asked) {
			t.Fatalf("current %v before it was asked", asked.Sub(currentAt))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// One goroutine is stalled, not the process: an event is read and waits to be passed on, and others lie unread behind
// it. The list is as old as the last moment without either, and current again once all is passed on.
func TestAListWhoseEventsWaitIsOld(t *testing.T) {
	w := newHeldWatch(t)
	w.AwaitCurrent(0, 20*time.Second)
	w.holding.Lock()
	told := time.Now()
	for range 3 {
		w.feed.AddEvent(false, hosts)
	}
	if currentAt := w.AwaitCurrent(0, 100*time.Millisecond); currentAt.After(time.Now().Add(-50 * time.Millisecond)) {
		t.Errorf("current %v after events came that are not passed on", currentAt.Sub(told))
	}
	passedOn := make(chan int, 1)
	go func() {
		w.AwaitCurrent(0, 20*time.Second)
		passedOn <- len(w.events)
	}()
	w.holding.Unlock()
	if count := <-passedOn; count != 3 {
		t.Errorf("current with %d of 3 events passed on", count)
	}
}

// A feed that is out of reach, or says nothing, must stop nothing: what it has to tell counts as told later.
func TestAListWithoutItsFeedIsCurrent(t *testing.T) {
	for name, fail := range map[string]func(w *heldWatch){
		"connections end": func(w *heldWatch) { w.feed.DropConnections() },
		"out of reach":    func(w *heldWatch) { w.feed.Close() },
		"half a line":     func(w *heldWatch) { w.feed.Write(strings.Repeat(" ", 100)) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newHeldWatch(t)
			fail(w)
			for range 100 {
				asked := time.Now()
				if currentAt := w.AwaitCurrent(50*time.Millisecond, 20*time.Second); asked.Sub(currentAt) > 100*time.Millisecond {
					t.Fatalf("current %v before it was asked", asked.Sub(currentAt))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
