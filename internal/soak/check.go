package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Allowances of the specification, and the slack of the check for events that are recorded late on a busy machine.
const (
	answerSlack         = 500 * time.Millisecond // by the specification, an answer up to this late only loses its value
	recordSlack         = 60 * time.Millisecond  // of the check itself
	leaveAllowance      = 100 * time.Millisecond // from a client's leave until dispatches for it must stop
	deadlineAllowance   = 150 * time.Millisecond // by which an engine's time limit may exceed the client's
	notificationTimeout = 7 * time.Second        // after which a change counts as notified, whether or not it arrived
	resumeAllowance     = 300 * time.Millisecond // after a pause, for input that was unread
)

// Finding is a violation of an invariant.
type Finding struct {
	Rule string
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// checker checks the records of a run against the invariants.
type checker struct {
	*Records
	calls    map[string]*Call
	fetched  map[string][]Fetch
	executed map[string][]Execution
	findings []Finding
}

// Check returns every violation of an invariant. Recording must have ended.
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
	return c.findings
}

func (c *checker) report(rule, format string, values ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// checkAnswer checks that a call has one final answer in time, unless its client left or its controller was killed.
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
	case Malformed:
		c.report("answer", "call %s has a malformed answer", call.ID)
		return
	case Broken, Unanswered:
		if !c.controllerWasKilled(call) && !c.closedByFlood(call) {
			c.report("lost", "call %s (%s) on %s sent %s is %s after %v", call.ID, call.Type, call.Connection,
				clock(call.SentAt), cmp.Or(string(call.Outcome), "unanswered"), call.EndedAt.Sub(call.SentAt))
		}
		return
	}
	if late := call.EndedAt.Sub(c.dueAt(call)); late > answerSlack+recordSlack && !c.controllerWasKilled(call) {
		c.report("late", "call %s (%s) on %s sent %s is answered %s %v after it was due, %d stalls here meanwhile", call.ID,
			call.Type, call.Connection, clock(call.SentAt), call.Outcome, late, c.stallsBetween(call.SentAt, call.EndedAt))
	}
	if call.Outcome == Served && !slices.ContainsFunc(c.executed[call.ID], func(e Execution) bool { return !e.Refused }) {
		c.report("answer", "call %s is served, but no engine ran it", call.ID)
	}
}

// checkCrossed checks that calls sent while the controller closed the connection were not accepted. The client resends
// a single call on an idle connection. For several calls, the controller's log must say that no call was open and no
// input unread when it closed the connection.
func (c *checker) checkCrossed(call *Call) {
	switch {
	case c.controllerWasKilled(call):
	case len(c.fetched[call.ID]) > 0:
		c.report("lost", "call %s (%s) on %s sent %s crossed a close and was dispatched", call.ID, call.Type, call.Connection,
			clock(call.SentAt))
	case call.BatchSize > 1 && c.closeReason(call) != closedIdle && !c.closedByFlood(call):
		c.report("lost",
			"call %s (%s) on %s (%s) sent %s with %d crossed a close that its controller did not log as idle: %s", call.ID,
			call.Type, call.Connection, call.LocalAddress, clock(call.SentAt), call.BatchSize,
			cmp.Or(c.closeReason(call), "no close logged"))
	}
}

// closeReason returns what the call's controller logged when it closed the call's connection, or an empty string.
func (c *checker) closeReason(call *Call) string {
	return c.closeReasons[call.Controller][call.LocalAddress]
}

// controllerWasKilled reports whether the process that a call was sent to was killed with SIGKILL, to simulate a crash,
// before it answered the call.
func (c *checker) controllerWasKilled(call *Call) bool {
	return slices.ContainsFunc(c.kills[call.Controller], func(at time.Time) bool {
		return !at.Before(call.ConnectedAt) && at.Before(call.EndedAt.Add(time.Second))
	})
}

// closedByFlood reports whether a call was the first on a new connection during a flood of idle clients. The controller
// may close such a connection without reading it, as it has no free descriptors.
func (c *checker) closedByFlood(call *Call) bool {
	return call.IsFirst && len(c.fetched[call.ID]) == 0 &&
		slices.ContainsFunc(c.idleFloods[call.Controller], func(flood Interval) bool {
			return call.EndedAt.After(flood.From) && call.ConnectedAt.Before(flood.To)
		})
}

// dueAt returns when a call's answer is due: at its timeout, or later if its controller was paused or could not accept
// connections.
func (c *checker) dueAt(call *Call) time.Time {
	due := call.SentAt.Add(call.Timeout)
	for _, pause := range slices.Concat(c.pauses[call.Controller], c.acceptOutages[call.Controller]) {
		if pause.To.After(call.SentAt) && pause.From.Before(due.Add(answerSlack)) &&
			pause.To.Add(resumeAllowance).After(due) {
			due = pause.To.Add(resumeAllowance)
		}
	}
	return due
}

// checkEffect checks that a run-once call runs at most once, and is not refused after it has run.
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
		c.report("duplicate", "call %s was refused, but ran", call.ID)
	}
}

// checkFetch checks a dispatch against the client's leave, the deadline, the placement rules and the engine's state.
func (c *checker) checkFetch(call *Call, fetch Fetch) {
	if call.Type == typeLocal && !isOfAllowedKind(fetch.Engine) {
		c.report("placement", "call %s reaches %s", call.ID, fetch.Engine)
	}
	if c.wasStalled(fetch.At) {
		return // the dispatch may have arrived long before it was recorded
	}
	if call.Outcome == Left && fetch.At.Sub(call.EndedAt) > leaveAllowance+recordSlack {
		c.report("gone", "call %s reaches %s %v after its client left, %v", call.ID, fetch.Engine,
			fetch.At.Sub(call.EndedAt), fetch)
	}
	left := call.SentAt.Add(call.Timeout).Sub(fetch.At)
	if fetch.TimeLimit > left+deadlineAllowance+recordSlack && !c.wasPaused(call) {
		c.report("deadline", "call %s on %s gives %s %v of %v, %v, %d stalls here meanwhile", call.ID, call.Connection,
			fetch.Engine, fetch.TimeLimit, left, fetch, c.stallsBetween(call.SentAt, fetch.At))
	}
	if since, unavailable := c.unavailableFor(call.Controller, fetch); unavailable && since > drainGrace+recordSlack {
		c.report("drain", "call %s on %s reaches %s at %s, %v after it was listed as not ready", call.ID, call.Connection,
			fetch.Engine, clock(fetch.At), since)
	}
}

// wasStalled reports whether the recording process was stalled (got no CPU) at a time.
func (c *checker) wasStalled(at time.Time) bool {
	return slices.ContainsFunc(c.stalls, func(stall Interval) bool {
		return !at.Before(stall.From) && at.Before(stall.To)
	})
}

// stallsBetween counts the stalls of the recording process between two times.
func (c *checker) stallsBetween(from, to time.Time) (count int) {
	for _, stall := range c.stalls {
		if stall.To.After(from) && stall.From.Before(to) {
			count++
		}
	}
	return count
}

// wasPaused reports whether a call's controller was paused between the sending and the end of the call. The controller
// then cannot know how long the call was unread.
func (c *checker) wasPaused(call *Call) bool {
	return slices.ContainsFunc(c.pauses[call.Controller], func(pause Interval) bool {
		return pause.To.After(call.SentAt) && pause.From.Before(call.EndedAt)
	})
}

// unavailableFor reports whether, at the time of a dispatch, the last state of the engine that the controller was
// notified of was one that accepts no jobs, and for how long. A change that the controller's feed held back counts as
// notified after notificationTimeout. A change to ready counts from the start of the write of its line, since the
// controller may dispatch before the write returns.
func (c *checker) unavailableFor(controller int, fetch Fetch) (since time.Duration, unavailable bool) {
	state := "ready"
	var changedAt time.Time
	for _, change := range c.changes {
		notifiedAt := change.At
		if change.State == "ready" && !change.BegunAt.IsZero() {
			notifiedAt = change.BegunAt
		}
		if change.Controller != controller {
			notifiedAt = notifiedAt.Add(notificationTimeout)
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

// isLatest reports whether a controller was never notified of a change that another one was notified of.
func (c *checker) isLatest(change Change, controller int) bool {
	return !slices.ContainsFunc(c.changes, func(own Change) bool {
		return own.Controller == controller && own.Engine == change.Engine && own.State == change.State &&
			own.Start.Equal(change.Start)
	})
}

// checkOrder checks that calls of one key run one after the other, in the order in which their client sent them over a
// connection. Dispatches count from their arrival at the engine, since an abandoned dispatch may still begin later.
func (c *checker) checkOrder() {
	previous := map[string]*Call{} // by key; each key belongs to one client
	for _, call := range c.Records.calls {
		if call.Key == "" || len(c.fetched[call.ID]) == 0 {
			continue
		}
		if before := previous[call.Key]; before != nil && before.Connection == call.Connection {
			c.checkConsecutive(before, call)
		}
		previous[call.Key] = call
	}
}

// orderSlack is by how much the time between two dispatches may shrink in transit.
const orderSlack = 8 * time.Millisecond

// checkConsecutive checks two consecutive calls of a key. The later one must be dispatched only after the earlier one
// has run for its work time or its key has paused.
func (c *checker) checkConsecutive(earlier, later *Call) {
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
