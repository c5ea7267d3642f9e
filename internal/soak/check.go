package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Slack of the judge over what the terms allow, for records that are admitted a moment late on a busy machine.
const (
	answerSlack    = 500 * time.Millisecond // as the terms have it: up to then an answer only earns nothing
	recordSlack    = 60 * time.Millisecond
	leaveTerm      = 100 * time.Millisecond
	deadlineTerm   = 150 * time.Millisecond
	notifiedWithin = 7 * time.Second        // whether it arrived or not
	resumeAllowed  = 300 * time.Millisecond // after a pause, for what lay unread
)

// Finding is a broken invariant.
type Finding struct {
	Rule string
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// checker holds the records of a run against the invariants.
type checker struct {
	*Records
	calls    map[string]*Call
	fetched  map[string][]Fetch
	executed map[string][]Execution
	found    []Finding
}

// Check returns every broken invariant. Nothing may be recorded any more.
func Check(records *Records) []Finding {
	c := &checker{Records: records, calls: map[string]*Call{}, fetched: map[string][]Fetch{},
		executed: map[string][]Execution{}}
	for _, call := range records.calls {
		c.calls[call.ID] = call
	}
	for _, fetch := range records.fetches {
		c.fetched[fetch.ID] = append(c.fetched[fetch.ID], fetch)
	}
	for _, execution := range records.executions {
		c.executed[execution.ID] = append(c.executed[execution.ID], execution)
	}
	for _, text := range records.failures {
		c.report("process", "%s", text)
	}
	for _, call := range records.calls {
		c.checkAnswer(call)
		c.checkEffect(call)
		for _, fetch := range c.fetched[call.ID] {
			c.checkFetch(call, fetch)
		}
	}
	c.checkOrder()
	c.checkSlowStart()
	c.checkRetries()
	return c.found
}

func (c *checker) report(rule, format string, values ...any) {
	c.found = append(c.found, Finding{Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// checkAnswer: a call has one final answer in time, unless its client has left or its controller was killed.
func (c *checker) checkAnswer(call *Call) {
	if call.Answers > 1 {
		c.report("answer", "call %s has %d answers", call.ID, call.Answers)
	}
	switch call.Outcome {
	case Left:
		return
	case Crossed:
		c.checkCrossed(call)
		return
	case Unreadable:
		c.report("answer", "call %s has an answer that cannot be read", call.ID)
		return
	case Broken, Unanswered:
		if !c.excused(call) && !c.shutByFlood(call) {
			c.report("lost", "call %s (%s) on %s sent %s is %s after %v", call.ID, call.Type, call.Connection,
				clock(call.SentAt), cmp.Or(string(call.Outcome), "unanswered"), call.EndedAt.Sub(call.SentAt))
		}
		return
	}
	if late := call.EndedAt.Sub(c.dueAt(call)); late > answerSlack+recordSlack && !c.excused(call) {
		c.report("late", "call %s (%s) on %s sent %s is answered %s %v after its time, %d stalls here meanwhile", call.ID,
			call.Type, call.Connection, clock(call.SentAt), call.Outcome, late, c.stallsBetween(call.SentAt, call.EndedAt))
	}
	if call.Outcome == Served && !slices.ContainsFunc(c.executed[call.ID], func(e Execution) bool { return !e.Refused }) {
		c.report("answer", "call %s is served and no engine ran it", call.ID)
	}
}

// checkCrossed: calls that crossed the close of a connection were not taken. A single call on a resting connection is
// sent again by its client; for several the controller has to say that nothing was open or unread as it closed.
func (c *checker) checkCrossed(call *Call) {
	switch {
	case c.excused(call):
	case len(c.fetched[call.ID]) > 0:
		c.report("lost", "call %s (%s) on %s sent %s crossed a close and was sent on", call.ID, call.Type, call.Connection,
			clock(call.SentAt))
	case call.SentWith > 1 && c.closeOf(call) != closedIdle && !c.shutByFlood(call):
		c.report("lost", "call %s (%s) on %s (%s) sent %s with %d crossed a close that its controller does not name idle: %s",
			call.ID, call.Type, call.Connection, call.LocalAddress, clock(call.SentAt), call.SentWith,
			cmp.Or(c.closeOf(call), "it logs none"))
	}
}

// closeOf is what the call's controller logs of the close of its connection; empty: nothing.
func (c *checker) closeOf(call *Call) string { return c.closes[call.Controller][call.LocalAddress] }

// excused reports whether the process that a call was sent to was killed, as a crash does, before it was answered.
func (c *checker) excused(call *Call) bool {
	return slices.ContainsFunc(c.kills[call.Controller], func(at time.Time) bool {
		return !at.Before(call.ConnectedAt) && at.Before(call.EndedAt.Add(time.Second))
	})
}

// shutByFlood reports whether a call was the first on a new connection that idle clients left no room for: it may be
// shut unread.
func (c *checker) shutByFlood(call *Call) bool {
	return call.IsFirst && len(c.fetched[call.ID]) == 0 &&
		slices.ContainsFunc(c.idleFloods[call.Controller], func(flood Interval) bool {
			return call.EndedAt.After(flood.From) && call.ConnectedAt.Before(flood.To)
		})
}

// dueAt is when a call's answer is due: its timeout, later where its controller was paused or could accept nothing.
func (c *checker) dueAt(call *Call) time.Time {
	due := call.SentAt.Add(call.Timeout)
	for _, pause := range slices.Concat(c.pauses[call.Controller], c.acceptOutages[call.Controller]) {
		if pause.To.After(call.SentAt) && pause.From.Before(due.Add(answerSlack)) && pause.To.Add(resumeAllowed).After(due) {
			due = pause.To.Add(resumeAllowed)
		}
	}
	return due
}

// checkEffect: what runs once runs once, and is not refused once it has run.
func (c *checker) checkEffect(call *Call) {
	if call.Type != typeImport {
		return
	}
	ran := 0
	for _, execution := range c.executed[call.ID] {
		if !execution.Refused {
			ran++
		}
	}
	if ran > 1 {
		c.report("duplicate", "call %s ran %d times", call.ID, ran)
	}
	if ran > 0 && call.Outcome == Refused {
		c.report("duplicate", "call %s is refused and ran", call.ID)
	}
}

// checkFetch holds one dispatch against the client's leave, its deadline, its placement and the state of its engine.
func (c *checker) checkFetch(call *Call, fetch Fetch) {
	if call.Type == typeLocal && !isOfAllowedKind(fetch.Engine) {
		c.report("placement", "call %s reaches %s", call.ID, fetch.Engine)
	}
	if c.wasStalled(fetch.At) {
		return // it may have come long before it was recorded
	}
	if call.Outcome == Left && fetch.At.Sub(call.EndedAt) > leaveTerm+recordSlack {
		c.report("gone", "call %s reaches %s %v after its client left, %v", call.ID, fetch.Engine,
			fetch.At.Sub(call.EndedAt), fetch)
	}
	left := call.SentAt.Add(call.Timeout).Sub(fetch.At)
	if fetch.Given > left+deadlineTerm+recordSlack && !c.wasPaused(call) {
		c.report("deadline", "call %s on %s gives %s %v of %v, %v, %d stalls here meanwhile", call.ID, call.Connection,
			fetch.Engine, fetch.Given, left, fetch, c.stallsBetween(call.SentAt, fetch.At))
	}
	if since, unavailable := c.unavailableFor(call.Controller, fetch); unavailable && since > drainGrace+recordSlack {
		c.report("drain", "call %s on %s reaches %s at %s, %v after it was listed as not ready", call.ID, call.Connection,
			fetch.Engine, clock(fetch.At), since)
	}
}

// wasStalled reports whether the recording process got no CPU at a time.
func (c *checker) wasStalled(at time.Time) bool {
	return slices.ContainsFunc(c.stalls, func(stall Interval) bool {
		return !at.Before(stall.From) && at.Before(stall.To)
	})
}

// stallsBetween counts the times between two at which the recording process got no CPU.
func (c *checker) stallsBetween(from, to time.Time) (count int) {
	for _, stall := range c.stalls {
		if stall.To.After(from) && stall.From.Before(to) {
			count++
		}
	}
	return count
}

// wasPaused reports whether a call's controller was paused between its sending and its end: it cannot know then how
// long the call lay unread.
func (c *checker) wasPaused(call *Call) bool {
	return slices.ContainsFunc(c.pauses[call.Controller], func(pause Interval) bool {
		return pause.To.After(call.SentAt) && pause.From.Before(call.EndedAt)
	})
}

// unavailableFor returns since when a controller was told that an engine takes nothing, if that was the last it was
// notifiedAt. What its feed held back counts as told notifiedWithin later. That an engine is ready counts as told
// from when its line began to be written: a controller may send before the write has returned.
func (c *checker) unavailableFor(controller int, fetch Fetch) (since time.Duration, unavailable bool) {
	state := "ready"
	var changedAt time.Time
	for _, change := range c.changes {
		notifiedAt := change.At
		if change.State == "ready" && !change.BegunAt.IsZero() {
			notifiedAt = change.BegunAt
		}
		if change.Controller != controller {
			notifiedAt = notifiedAt.Add(notifiedWithin)
		}
		if change.Engine != fetch.Engine || notifiedAt.After(fetch.At) || notifiedAt.Before(changedAt) {
			continue
		}
		if change.Controller != controller && !c.isLatest(change, controller) {
			continue
		}
		if state == "ready" || change.State == "ready" {
			changedAt = notifiedAt
		}
		state = change.State
	}
	return fetch.At.Sub(changedAt), state != "ready"
}

// isLatest reports whether a controller was never told a change that another was notifiedAt.
func (c *checker) isLatest(change Change, controller int) bool {
	return !slices.ContainsFunc(c.changes, func(own Change) bool {
		return own.Controller == controller && own.Engine == change.Engine && own.State == change.State &&
			own.Start.Equal(change.Start)
	})
}

// checkOrder: jobs of one key run one after the other, in the order in which their client sent them over a
// connection. What counts is when a dispatch came to the engine: one that was given up there may still begin later.
func (c *checker) checkOrder() {
	previous := map[string]*Call{} // by key: one client has a key
	for _, call := range c.Records.calls {
		if call.Key == "" || len(c.fetched[call.ID]) == 0 {
			continue
		}
		if before := previous[call.Key]; before != nil && before.Connection == call.Connection {
			c.checkPair(before, call)
		}
		previous[call.Key] = call
	}
}

// orderSlack is how much the distance of two dispatches may shrink on their way.
const orderSlack = 8 * time.Millisecond

// checkPair holds two calls of a key against each other that follow one another: the earlier one runs for its time,
// or its key rests after it.
func (c *checker) checkPair(earlier, later *Call) {
	first := slices.MinFunc(c.fetched[later.ID], byTime)
	for _, fetch := range c.fetched[earlier.ID] {
		if !c.wasBegun(fetch) || c.wasStalled(fetch.At) || c.wasStalled(first.At) {
			continue
		}
		if between := first.At.Sub(fetch.At); between < min(workTime[typeImport], orderPause)-orderSlack {
			c.report("order", "call %s of key %s reaches %s %v after call %s, sent before it, reached %s", later.ID, later.Key,
				first.Engine, between, earlier.ID, fetch.Engine)
		}
	}
}

// wasBegun reports whether an engine began a dispatch.
func (c *checker) wasBegun(fetch Fetch) bool {
	return slices.ContainsFunc(c.executed[fetch.ID], func(e Execution) bool {
		return !e.Refused && e.Engine == fetch.Engine && e.Incarnation == fetch.Incarnation
	})
}

func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }
