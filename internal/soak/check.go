package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Slack of the judge over what the terms allow, for records that are taken a moment late on a busy machine.
const (
	answerSlack   = 500 * time.Millisecond // as the terms have it: up to then an answer only earns nothing
	recordSlack   = 60 * time.Millisecond
	leaveTerm     = 100 * time.Millisecond
	deadlineTerm  = 150 * time.Millisecond
	toldWithin    = 7 * time.Second        // whether it arrived or not
	stopRequests  = 700 * time.Millisecond // after SIGTERM; later a request may be lost with the process
	resumeAllowed = 300 * time.Millisecond // after a pause, for what lay unread
)

// Finding is a broken invariant.
type Finding struct {
	Rule string
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// judge holds the records of a run against the invariants.
type judge struct {
	*Records
	calls    map[string]*Call
	fetched  map[string][]Fetch
	executed map[string][]Execution
	found    []Finding
}

// Judge returns every broken invariant. Nothing may be recorded any more.
func Judge(records *Records) []Finding {
	j := &judge{Records: records, calls: map[string]*Call{}, fetched: map[string][]Fetch{},
		executed: map[string][]Execution{}}
	for _, call := range records.calls {
		j.calls[call.ID] = call
	}
	for _, fetch := range records.fetches {
		j.fetched[fetch.ID] = append(j.fetched[fetch.ID], fetch)
	}
	for _, execution := range records.executions {
		j.executed[execution.ID] = append(j.executed[execution.ID], execution)
	}
	for _, text := range records.failures {
		j.report("process", "%s", text)
	}
	for _, call := range records.calls {
		j.checkAnswer(call)
		j.checkEffect(call)
		for _, fetch := range j.fetched[call.ID] {
			j.checkFetch(call, fetch)
		}
	}
	j.checkOrder()
	j.checkSlowStart()
	j.checkRetries()
	return j.found
}

func (j *judge) report(rule, format string, values ...any) {
	j.found = append(j.found, Finding{Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// checkAnswer: a call has one final answer in time, unless its client has left or its controller was killed.
func (j *judge) checkAnswer(call *Call) {
	if call.Answers > 1 {
		j.report("answer", "call %s has %d answers", call.ID, call.Answers)
	}
	switch call.Outcome {
	case Left, Crossed:
		return
	case Unreadable:
		j.report("answer", "call %s has an answer that cannot be read", call.ID)
		return
	case Broken, Unanswered:
		if !j.excused(call) {
			j.report("lost", "call %s (%s) on %s sent %s is %s after %v", call.ID, call.Type, call.Connection,
				clock(call.SentAt), cmp.Or(string(call.Outcome), "unanswered"), call.EndedAt.Sub(call.SentAt))
		}
		return
	}
	if late := call.EndedAt.Sub(j.dueAt(call)); late > answerSlack+recordSlack && !j.excused(call) {
		j.report("late", "call %s (%s) sent %s is answered %s %v after its time", call.ID, call.Type,
			clock(call.SentAt), call.Outcome, late)
	}
	if call.Outcome == Served && !slices.ContainsFunc(j.executed[call.ID], func(e Execution) bool { return !e.Refused }) {
		j.report("answer", "call %s is served and no engine ran it", call.ID)
	}
}

// excused reports whether the process that a call was sent to was killed before it was answered, or was about to be
// stopped when it was sent.
func (j *judge) excused(call *Call) bool {
	killed := slices.ContainsFunc(j.kills[call.Controller], func(at time.Time) bool {
		return !at.Before(call.ConnectedAt) && at.Before(call.EndedAt.Add(time.Second))
	})
	stopped := slices.ContainsFunc(j.stops[call.Controller], func(at time.Time) bool {
		since := call.SentAt.Sub(at)
		return since > stopRequests && since < exitWithin
	})
	return killed || stopped
}

// dueAt is when a call's answer is due: its timeout, later where its controller was paused or could accept nothing.
func (j *judge) dueAt(call *Call) time.Time {
	due := call.SentAt.Add(call.Timeout)
	for _, pause := range slices.Concat(j.pauses[call.Controller], j.deaf[call.Controller]) {
		if pause.To.After(call.SentAt) && pause.From.Before(due.Add(answerSlack)) && pause.To.Add(resumeAllowed).After(due) {
			due = pause.To.Add(resumeAllowed)
		}
	}
	return due
}

// checkEffect: what runs once runs once, and is not refused once it has run.
func (j *judge) checkEffect(call *Call) {
	if call.Type != typeImport {
		return
	}
	ran := 0
	for _, execution := range j.executed[call.ID] {
		if !execution.Refused {
			ran++
		}
	}
	if ran > 1 {
		j.report("duplicate", "call %s ran %d times", call.ID, ran)
	}
	if ran > 0 && call.Outcome == Refused {
		j.report("duplicate", "call %s is refused and ran", call.ID)
	}
}

// checkFetch holds one dispatch against the client's leave, its deadline, its placement and the state of its engine.
func (j *judge) checkFetch(call *Call, fetch Fetch) {
	if call.Type == typeLocal && !isOfAllowedKind(fetch.Engine) {
		j.report("placement", "call %s reaches %s", call.ID, fetch.Engine)
	}
	if j.wasStalled(fetch.At) {
		return // it may have come long before it was recorded
	}
	if call.Outcome == Left && fetch.At.Sub(call.EndedAt) > leaveTerm+recordSlack {
		j.report("gone", "call %s reaches %s %v after its client left", call.ID, fetch.Engine, fetch.At.Sub(call.EndedAt))
	}
	left := call.SentAt.Add(call.Timeout).Sub(fetch.At)
	if fetch.Given > left+deadlineTerm+recordSlack && !j.wasPaused(call) {
		j.report("deadline", "call %s gives %s %v of %v", call.ID, fetch.Engine, fetch.Given, left)
	}
	if since, unavailable := j.unavailableFor(call.Controller, fetch); unavailable && since > drainGrace+recordSlack {
		j.report("drain", "call %s reaches %s %v after it was listed as not ready", call.ID, fetch.Engine, since)
	}
}

// wasStalled reports whether the recording process got no CPU at a time.
func (j *judge) wasStalled(at time.Time) bool {
	return slices.ContainsFunc(j.stalls, func(stall Interval) bool {
		return !at.Before(stall.From) && at.Before(stall.To)
	})
}

// wasPaused reports whether a call's controller was paused between its sending and its end: it cannot know then how
// long the call lay unread.
func (j *judge) wasPaused(call *Call) bool {
	return slices.ContainsFunc(j.pauses[call.Controller], func(pause Interval) bool {
		return pause.To.After(call.SentAt) && pause.From.Before(call.EndedAt)
	})
}

// unavailableFor returns since when a controller was told that an engine takes nothing, if that was the last it was
// told. What its feed held back counts as told toldWithin later.
func (j *judge) unavailableFor(controller int, fetch Fetch) (since time.Duration, unavailable bool) {
	state := "ready"
	var changedAt time.Time
	for _, change := range j.changes {
		told := change.At
		if change.Controller != controller {
			told = told.Add(toldWithin)
		}
		if change.Engine != fetch.Engine || told.After(fetch.At) || told.Before(changedAt) {
			continue
		}
		if change.Controller != controller && !j.isLatest(change, controller) {
			continue
		}
		if state == "ready" || change.State == "ready" {
			changedAt = told
		}
		state = change.State
	}
	return fetch.At.Sub(changedAt), state != "ready"
}

// isLatest reports whether a controller was never told a change that another was told.
func (j *judge) isLatest(change Change, controller int) bool {
	return !slices.ContainsFunc(j.changes, func(own Change) bool {
		return own.Controller == controller && own.Engine == change.Engine && own.State == change.State &&
			own.Start.Equal(change.Start)
	})
}

// checkOrder: jobs of one key run one after the other, in the order in which their client sent them over a connection.
// What counts is when a dispatch came to the engine: one that was given up there may still begin later.
func (j *judge) checkOrder() {
	previous := map[string]*Call{} // by key: one client has a key
	for _, call := range j.Records.calls {
		if call.Key == "" || len(j.fetched[call.ID]) == 0 {
			continue
		}
		if before := previous[call.Key]; before != nil && before.Connection == call.Connection {
			j.checkPair(before, call)
		}
		previous[call.Key] = call
	}
}

// orderSlack is how much the distance of two dispatches may shrink on their way.
const orderSlack = 8 * time.Millisecond

// checkPair holds two calls of a key against each other that follow one another: the earlier one runs for its time, or
// its key rests after it.
func (j *judge) checkPair(earlier, later *Call) {
	first := slices.MinFunc(j.fetched[later.ID], byTime)
	for _, fetch := range j.fetched[earlier.ID] {
		if !j.wasBegun(fetch) || j.wasStalled(fetch.At) || j.wasStalled(first.At) {
			continue
		}
		if between := first.At.Sub(fetch.At); between < min(workTime[typeImport], orderPause)-orderSlack {
			j.report("order", "call %s of key %s reaches %s %v after call %s, sent before it, reached %s", later.ID, later.Key,
				first.Engine, between, earlier.ID, fetch.Engine)
		}
	}
}

// wasBegun reports whether an engine began a dispatch.
func (j *judge) wasBegun(fetch Fetch) bool {
	return slices.ContainsFunc(j.executed[fetch.ID], func(e Execution) bool {
		return !e.Refused && e.Engine == fetch.Engine && e.Incarnation == fetch.Incarnation
	})
}

// checkSlowStart: in any window an engine that warms up gets no more calls than it withstands from all controllers that
// were told of its start.
func (j *judge) checkSlowStart() {
	for engine, starts := range j.starts() {
		for _, start := range starts {
			j.checkWindows(engine, start)
		}
	}
}

// starts are the times at which engines started as the feed told.
func (j *judge) starts() map[string][]time.Time {
	starts := map[string][]time.Time{}
	for _, change := range j.changes {
		if !change.Start.IsZero() && !slices.Contains(starts[change.Engine], change.Start) {
			starts[change.Engine] = append(starts[change.Engine], change.Start)
		}
	}
	return starts
}

func (j *judge) checkWindows(engine string, start time.Time) {
	var arrivals []time.Time
	for _, fetch := range j.fetches {
		if since := fetch.At.Sub(start); fetch.Engine == engine && since >= 0 && since < warmUpTime {
			arrivals = append(arrivals, fetch.At)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < fallWindow {
				count++
			}
		}
		if limit := slowStartLimit(first.Sub(start)); float64(count) > limit {
			j.report("failback", "engine %s gets %d calls in a window %v after its start, it withstands %.0f", engine, count,
				first.Sub(start), limit)
			return
		}
	}
}

// meanWork is the mean work of a call, by the parts of types that clients draw.
const meanWork = 28 * time.Millisecond

// slowStartLimit is how many calls of mean work an engine withstands in a window, some time after its start.
func slowStartLimit(sinceStart time.Duration) float64 {
	capacity := startCapacity + (1-startCapacity)*sinceStart.Seconds()/warmUpTime.Seconds()
	n := fallMultiple * capacity * engineCores * fallWindow.Seconds() / meanWork.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// retrySlack is by how much an order may come before its dispatch reaches its engine: the budget counts orders.
const retrySlack = time.Second

// checkRetries: a controller's dispatches beyond a call's first keep to their budget. Each of its processes counts from
// its start.
func (j *judge) checkRetries() {
	type controllerCalls struct{ taken, further []time.Time }
	all := map[int]*controllerCalls{}
	for _, call := range j.Records.calls {
		of := all[call.Controller]
		if of == nil {
			of = &controllerCalls{}
			all[call.Controller] = of
		}
		of.taken = append(of.taken, call.SentAt)
		for _, fetch := range slices.SortedFunc(slices.Values(j.fetched[call.ID]), byTime)[min(1, len(j.fetched[call.ID])):] {
			of.further = append(of.further, fetch.At)
		}
	}
	for controller, of := range all {
		slices.SortFunc(of.further, time.Time.Compare)
		for _, at := range of.further {
			sinceStart := at.Sub(j.lastStart(controller, at))
			further := within(of.further, at, min(sinceStart, retryWindow-retrySlack))
			taken := within(of.taken, at, min(sinceStart, retryWindow+retrySlack))
			if float64(further) > freeRetries+retryRatio*float64(taken) {
				j.report("retries", "controller %d has sent %d further dispatches for %d calls at %s", controller, further, taken,
					clock(at))
				break
			}
		}
	}
}

// lastStart is when the process of a controller started that ran at a time.
func (j *judge) lastStart(controller int, at time.Time) (last time.Time) {
	for _, start := range j.processStarts[controller] {
		if start.Before(at) {
			last = start
		}
	}
	return last
}

func byTime(a, b Fetch) int { return a.At.Compare(b.At) }

// within counts the times in a window that ends at a time.
func within(times []time.Time, end time.Time, window time.Duration) (count int) {
	for _, at := range times {
		if !at.After(end) && end.Sub(at) <= window {
			count++
		}
	}
	return count
}

func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }
