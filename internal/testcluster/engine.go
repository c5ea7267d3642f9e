package testcluster

import (
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

// lineEngine is an engine of the line protocol that logs what reaches it and behaves as the fault plan says.
type lineEngine struct {
	name   string
	events *EventLog
	faults *FaultPlan

	mu      sync.Mutex
	running map[dispatch]*time.Timer
}

// dispatch names one by the connection that it came by.
type dispatch struct {
	session *fake.Session
	id      string
}

// StartLineEngine starts an engine of the line protocol at an address.
func StartLineEngine(address, name string, events *EventLog, faults *FaultPlan) (*fake.Engine, error) {
	e := &lineEngine{name: name, events: events, faults: faults, running: map[dispatch]*time.Timer{}}
	return fake.StartEngine(address, e.handle)
}

func (e *lineEngine) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call := dispatch{session, command.ID}
	switch command.Name {
	case "stats", "alive":
		e.probe(call)
	case "fetch":
		e.begin(call)
	case "more":
		if e.running[call] == nil {
			session.Answer(command.ID, "failed", "", "")
		}
	case "abort":
		if timer := e.running[call]; timer != nil {
			timer.Stop()
			e.end(call, rulecheck.Broken)
		}
	}
}

// probe answers a health check. The lock is held.
func (e *lineEngine) probe(call dispatch) {
	if e.faults.Failing(e.name) {
		call.session.Answer(call.id, "failed", "", "")
		return
	}
	call.session.Answer(call.id, "well", fmt.Sprintf("load=concurrent:%d", len(e.running)), "")
}

// begin refuses a dispatch, or lets it run for its time. The lock is held.
func (e *lineEngine) begin(call dispatch) {
	fault := e.faults.Draw()
	if e.faults.Failing(e.name) {
		fault = FailsDispatch
	}
	entry := rulecheck.Entry{Event: rulecheck.Reached, Job: call.id, Engine: e.name, Protocol: "line"}
	if fault == RefusesDispatch {
		e.events.Add(entry)
		call.session.Answer(call.id, "full", "", "")
		return
	}
	entry.Event = rulecheck.Began
	entry.Work = int64(e.faults.WorkDuration())
	e.events.Add(entry)
	duration := e.faults.Duration(fault)
	e.running[call] = time.AfterFunc(duration, func() { e.finish(call, fault, duration) })
}

// finish answers a dispatch, unless it was aborted meanwhile.
func (e *lineEngine) finish(call dispatch, fault DispatchFault, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[call] == nil {
		return
	}
	switch fault {
	case ResetsConnection:
		e.end(call, rulecheck.Broken)
		call.session.Reset()
	case FailsDispatch:
		e.end(call, rulecheck.Broken)
		call.session.Answer(call.id, "failed", "", "")
	default:
		e.end(call, rulecheck.Done)
		fields := fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, duration.Milliseconds()))
		call.session.Answer(call.id, "data", fields, "a\tb\tc\n")
	}
}

// end logs the end of a dispatch. The lock is held.
func (e *lineEngine) end(call dispatch, answer string) {
	delete(e.running, call)
	e.events.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: call.id, Engine: e.name, Answer: answer})
}
