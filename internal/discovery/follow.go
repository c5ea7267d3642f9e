package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"

	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

var errLeft = errors.New("the feed speaks elsewhere by now")

// Follower keeps to the feed from an event on, wherever it moves.
type Follower struct {
	tell func(Event)
	done chan struct{}
	bad  ratelog.Logger

	mu      sync.Mutex // held over tell as well: two connections tell in one order
	last    uint64     // the last event told
	now     *source
	before  *source // where the feed was, until the new place speaks; nil as a rule
	running sync.WaitGroup
}

// Follow tells each event after last, once and in order, until Close.
func Follow(address string, last uint64, tell func(Event)) *Follower {
	f := &Follower{tell: tell, done: make(chan struct{}), last: last}
	f.mu.Lock()
	f.start(address)
	f.mu.Unlock()
	return f
}

// start calls the feed at an address. The lock is held.
func (f *Follower) start(address string) {
	f.now = &source{f: f, address: address, over: make(chan struct{})}
	f.running.Add(1)
	go f.now.run()
}

// Move takes over what a new configuration says: where the feed is, and what was known of it then. The connection
// to the old place stays until the new one speaks, or it ends.
func (f *Follower) Move(address string, known []Event) (moved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ev := range known {
		if ev.N == f.last+1 {
			f.last = ev.N
			f.tell(ev)
		}
	}
	if address == f.now.address {
		return false
	}
	if f.before != nil { // the place between never spoke: what stays is where the feed was last heard
		f.now.end()
	} else {
		f.before = f.now
	}
	f.start(address)
	return true
}

// Last is the number of the last event told, and where the feed is.
func (f *Follower) Last() (last uint64, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last, f.now.address
}

// Close ends it; nothing is told after.
func (f *Follower) Close() {
	close(f.done)
	f.running.Wait()
}

// hear takes an event, or the number of the last one, from a source. An error ends the connection.
func (f *Follower) hear(s *source, text []byte) error {
	if len(text) == 0 {
		return nil
	}
	n, err := strconv.ParseUint(string(text), 10, 64)
	ev := Event{N: n, Bare: true}
	if err != nil {
		if ev, err = Parse(text); err != nil {
			return err
		}
	}
	if ev.Bad > 0 {
		f.bad.CountAndWarn("feed_entries_bad", "feed_entries_bad", "address", s.address, "event", ev.N, "entries", ev.Bad)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == f.now && f.before != nil {
		f.before.end()
		f.before = nil
	}
	switch {
	case s != f.now && s != f.before:
		return errLeft
	case ev.Bare && ev.N > f.last:
		return fmt.Errorf("at event %d where %d is told", f.last, ev.N)
	case ev.Bare:
	case ev.N <= f.last: // told before
		counters.Increment("feed_events_again")
	case ev.N != f.last+1:
		return fmt.Errorf("event %d comes after %d", ev.N, f.last)
	default:
		f.last = ev.N
		f.tell(ev)
	}
	return nil
}

// lost notes the end of a connection.
func (f *Follower) lost(s *source, say bool, why error) {
	counters.Increment("feed_lost")
	if last, _ := f.Last(); say {
		slog.Warn("feed_lost", "address", s.address, "last", last, "reason", why)
	}
}

// left tells whether the feed has moved away from a source.
func (f *Follower) left(s *source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s != f.now
}
