// Package discovery watches the list of engines: what the configuration knew of it, and the events of the control
// feed since.
//
// A Watcher subscribes over TCP ("SUB <last event>\n") and gets one event a line, in JSON, or the number of the last
// event alone. Whenever the feed is out of reach, silent, unreadable or has a gap, the watcher reconnects and resumes
// from the last event that it passed on; so each event is passed on once and in order. It owns one goroutine for each
// address it watches: one as a rule, two while the feed moves.
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

// errMoved ends a connection to an address from which the feed has moved.
var errMoved = errors.New("the feed has moved")

// GapError means that events are missing between two that were received.
type GapError struct {
	Last     uint64 // passed on
	Received uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("event %d follows event %d", e.Received, e.Last)
}

// Watcher passes on the events of the feed, wherever it moves. It is safe for concurrent use.
type Watcher struct {
	notify  func(Event)
	ctx     context.Context    // of all sources; ends with Close
	stop    context.CancelFunc // called by Close
	running sync.WaitGroup     // the sources' goroutines
	invalid ratelog.Logger

	freshness *freshness // of what was passed on

	mu       sync.Mutex // held over notify as well, so that two connections pass events on in one order
	last     uint64     // number of the last event passed on
	upToDate time.Time  // when the feed last said that there is no later one
	current  *source
	previous *source // where the feed was, until the current one sends something; nil as a rule
}

// Watch passes each event after last on to notify, once and in order, until Close.
func Watch(address string, last uint64, notify func(Event)) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &Watcher{notify: notify, ctx: ctx, stop: stop, last: last, freshness: newFreshness(time.Now())}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start(address)
	w.running.Go(func() { w.freshness.watchRunning(ctx) })
	return w
}

// start watches an address. The lock is held.
func (w *Watcher) start(address string) {
	ctx, stop := context.WithCancel(w.ctx)
	w.current = &source{watcher: w, address: address, stop: stop}
	w.running.Add(1)
	go w.current.run(ctx)
}

// Reconfigure takes over a new configuration: the address of the feed, and the events known when it was written. It
// reports whether the address is another one. The connection to the old one stays until the new one sends something,
// or it ends.
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
	if w.previous != nil { // the current one never sent anything: the one that did last stays
		w.current.stop()
	} else {
		w.previous = w.current
	}
	w.start(address)
	return true
}

// Position returns the number of the last event passed on, and the address of the feed.
func (w *Watcher) Position() (last uint64, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.current.address
}

// CurrentAt returns a moment such that all that the feed had told by then was passed on: what lies unread, or is
// being passed on, came later. It does not look whether there is a later moment than one within maxAge. While the
// feed is out of reach it returns the present, as what is told then counts as told only 7 s later (protocol page,
// Figures).
func (w *Watcher) CurrentAt(maxAge time.Duration) time.Time {
	currentAt, _ := w.freshness.check(maxAge)
	return currentAt
}

// AwaitCurrent returns what CurrentAt does, but waits until that is within maxAge, no longer than limit. It must not
// be called by notify, nor with a lock held that notify takes.
func (w *Watcher) AwaitCurrent(maxAge, limit time.Duration) time.Time {
	return w.freshness.await(maxAge, limit)
}

// Close ends the watch. Nothing is passed on after it.
func (w *Watcher) Close() {
	w.stop()
	w.running.Wait()
}

// receive takes a line from a source: an event, or the number of the last one. An error ends the connection.
func (w *Watcher) receive(from *source, line []byte) error {
	if len(line) == 0 {
		return nil
	}
	event, err := parseLine(line)
	if err != nil {
		return err
	}
	if event.Invalid > 0 {
		const name = "discovery_entries_invalid"
		w.invalid.CountAndWarn(name, name, "address", from.address, "event", event.Number, "entries", event.Invalid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if from == w.current && w.previous != nil {
		w.previous.stop()
		w.previous = nil
	}
	if from != w.current && from != w.previous {
		return errMoved
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

// accept passes on the event that is next. The lock is held.
func (w *Watcher) accept(event Event) error {
	switch {
	case event.IsPosition && event.Number > w.last:
		return &GapError{Last: w.last, Received: event.Number}
	case event.IsPosition:
		if event.Number == w.last {
			w.upToDate = time.Now()
		}
	case event.Number <= w.last: // passed on before
		counters.Increment("discovery_events_duplicate")
	case event.Number != w.last+1:
		return &GapError{Last: w.last, Received: event.Number}
	default:
		w.last = event.Number
		event.UpToDateAt = w.upToDate
		w.notify(event)
	}
	return nil
}

// noteLost notes the end of a connection, in the log only if it is the first in a row.
func (w *Watcher) noteLost(s *source, isFirst bool, reason error) {
	counters.Increment("discovery_lost")
	if isFirst {
		last, _ := w.Position()
		slog.Warn("discovery_lost", "address", s.address, "last", last, "reason", reason)
	}
}

// isCurrent reports whether the feed has not moved away from a source.
func (w *Watcher) isCurrent(s *source) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s == w.current
}
