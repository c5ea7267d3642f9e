// Package discovery watches the endpoint list: the entries known from the configuration, and the events that the
// discovery feed has sent since.
//
// A Watcher subscribes over TCP ("SUB <last event>\n") and receives one event per line, in JSON, or the number of the
// last event alone. Whenever the feed is unreachable, silent or unreadable, or skips an event, the watcher reconnects
// and resumes from the last event that it delivered, so each event is delivered once and in order. It owns a
// goroutine for each address that it watches (two addresses while the feed moves, otherwise one), and a goroutine that
// detects stalls of the process.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

// errFeedMoved ends a connection to an address that the feed has moved away from.
var errFeedMoved = errors.New("discovery feed moved to another address")

// GapError means that events are missing between two that were received.
type GapError struct {
	Last     uint64 // number of the last event delivered
	Received uint64 // number of the event received after it
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("gap in discovery events: event %d received after event %d", e.Received, e.Last)
}

// Watcher delivers the events of the discovery feed, also when the feed moves to another address. It is safe for
// concurrent use.
type Watcher struct {
	notify  func(Event)
	ctx     context.Context    // of all sources; ends with Close
	stop    context.CancelFunc // called by Close
	running sync.WaitGroup     // all goroutines of the watcher
	invalid ratelog.Logger

	freshness *freshness // of the events delivered

	mu         sync.Mutex // also held during notify, so that two connections deliver events in one order
	last       uint64     // number of the last event delivered
	upToDateAt time.Time  // when the feed last reported that there is no later event
	current    *source
	previous   *source // the former address, until the current one sends something; normally nil
}

// Watch delivers each event after last to notify, once and in order, until Close.
func Watch(address string, last uint64, notify func(Event)) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &Watcher{notify: notify, ctx: ctx, stop: stop, last: last, freshness: newFreshness(time.Now())}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start(address)
	w.running.Go(func() { w.freshness.trackRunning(ctx) })
	return w
}

// start starts to watch an address. The lock is held.
func (w *Watcher) start(address string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.current = &source{watcher: w, address: address, stop: stop}
	w.running.Add(1)
	go w.current.run(ctx)
}

// Reconfigure applies a new configuration: the address of the feed, and the events known when it was written. It
// reports whether the address has changed. The connection to the old address stays until the new one sends something,
// or until it ends.
func (w *Watcher) Reconfigure(address string, known []Event) (hasMoved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range known {
		if event.Number == w.last+1 {
			w.last = event.Number
			w.notify(event)
		}
	}
	if address == w.current.address {
		return false
	}
	if w.previous != nil { // the current address never sent anything: keep the one that last did
		w.current.stop()
	} else {
		w.previous = w.current
	}
	w.start(address)
	return true
}

// Position returns the number of the last event delivered, and the address of the feed.
func (w *Watcher) Position() (last uint64, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.current.address
}

// CurrentAt returns a time such that everything the feed had sent by then was delivered; what is unread or being
// delivered came later. If the known time is within maxAge, no later one is looked for. While the feed is
// unreachable it returns the present, as events sent then count as notified only 7 s later (protocol page, Figures).
func (w *Watcher) CurrentAt(maxAge time.Duration) time.Time {
	currentAt, _ := w.freshness.check(maxAge)
	return currentAt
}

// AwaitCurrent returns what CurrentAt does, but waits up to limit until that is within maxAge of the call. It must not
// be called by notify, nor while holding a lock that notify takes.
func (w *Watcher) AwaitCurrent(maxAge, limit time.Duration) time.Time {
	return w.freshness.await(maxAge, limit)
}

// Close ends the watch. Nothing is delivered afterwards.
func (w *Watcher) Close() {
	w.stop()
	w.running.Wait()
}

// receive handles a line from a source: an event, or the number of the last one. An error ends the connection.
func (w *Watcher) receive(from *source, line []byte) error {
	if len(line) == 0 {
		return nil
	}
	event, err := parseLine(line)
	if err != nil {
		return err
	}
	if event.InvalidEntries > 0 {
		const name = "discovery_entries_invalid"
		w.invalid.CountAndWarn(name, name, "address", from.address, "event", event.Number, "entries", event.InvalidEntries)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if from == w.current && w.previous != nil {
		w.previous.stop()
		w.previous = nil
	}
	if from != w.current && from != w.previous {
		return errFeedMoved
	}
	return w.accept(event)
}

// parseLine parses an event, or the number of the last one.
func parseLine(line []byte) (Event, error) {
	number, err := strconv.ParseUint(string(line), 10, 64)
	if err == nil {
		return Event{Number: number, IsPosition: true}, nil
	}
	return ParseEvent(line)
}

// accept delivers the next event. The lock is held.
func (w *Watcher) accept(event Event) error {
	switch {
	case event.IsPosition && event.Number > w.last:
		return &GapError{Last: w.last, Received: event.Number}
	case event.IsPosition:
		if event.Number == w.last {
			w.upToDateAt = time.Now()
		}
	case event.Number <= w.last: // delivered before
		counters.Increment("discovery_events_duplicate")
	case event.Number != w.last+1:
		return &GapError{Last: w.last, Received: event.Number}
	default:
		w.last = event.Number
		event.UpToDateAt = w.upToDateAt
		w.notify(event)
	}
	return nil
}

// recordLoss counts the end of a connection, and logs the first of consecutive ones.
func (w *Watcher) recordLoss(s *source, isFirst bool, reason error) {
	counters.Increment("discovery_lost")
	if isFirst {
		last, _ := w.Position()
		slog.Warn("discovery_lost", "address", s.address, "last", last, "reason", reason)
	}
}

// isCurrent reports whether the feed is still at the address of a source.
func (w *Watcher) isCurrent(s *source) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s == w.current
}
