package testcluster

import (
	"fmt"
	"sync"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

// lineEngine is an engine with the line protocol. It logs the dispatches that reach it and injects the faults of a
// fault plan.
type lineEngine struct {
	name   string
	events *EventLog
	faults *FaultPlan

	mu      sync.Mutex
	running map[dispatchKey]*time.Timer
}

// dispatchKey identifies a dispatch by its connection and job ID.
type dispatchKey struct {
	session *fake.Session
	id      string
}

// StartLineEngine starts an engine with the line protocol on an address.
func StartLineEngine(address, name string, events *EventLog, faults *FaultPlan) (*fake.Engine, error) {
	e := &lineEngine{name: name, events: events, faults: faults, running: map[dispatchKey]*time.Timer{}}
	return fake.StartEngine(address, e.handle)
}

func (e *lineEngine) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := dispatchKey{session, command.ID}
	switch command.Name {
	case "stats", "alive":
		e.probe(key)
	case "fetch":
		e.begin(key)
	case "more":
		if e.running[key] == nil {
			session.Answer(command.ID, "failed", "", "")
		}
	case "abort":
		if timer := e.running[key]; timer != nil {
			timer.Stop()
			e.end(key, rulecheck.Broken)
		}
	}
}

// probe answers a probe. e.mu must be held.
func (e *lineEngine) probe(key dispatchKey) {
	if e.faults.Failing(e.name) {
		key.session.Answer(key.id, "failed", "", "")
		return
	}
	key.session.Answer(key.id, "well", fmt.Sprintf("load=concurrent:%d", len(e.running)), "")
}

// begin refuses a dispatch or starts it. e.mu must be held.
func (e *lineEngine) begin(key dispatchKey) {
	fault := e.faults.Draw()
	if e.faults.Failing(e.name) {
		fault = FailsDispatch
	}
	entry := rulecheck.Entry{Event: rulecheck.Reached, Job: key.id, Engine: e.name, Protocol: "line"}
	if fault == RefusesDispatch {
		e.events.Add(entry)
		key.session.Answer(key.id, "full", "", "")
		return
	}
	entry.Event = rulecheck.Began
	entry.Work = int64(e.faults.WorkDuration())
	e.events.Add(entry)
	duration := e.faults.Duration(fault)
	e.running[key] = time.AfterFunc(duration, func() { e.finish(key, fault, duration) })
}

// finish answers a dispatch unless it has been aborted.
func (e *lineEngine) finish(key dispatchKey, fault DispatchFault, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[key] == nil {
		return
	}
	switch fault {
	case ResetsConnection:
		e.end(key, rulecheck.Broken)
		key.session.Reset()
	case FailsDispatch:
		e.end(key, rulecheck.Broken)
		key.session.Answer(key.id, "failed", "", "")
	default:
		e.end(key, rulecheck.Done)
		fields := fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, duration.Milliseconds()))
		key.session.Answer(key.id, "data", fields, "a\tb\tc\n")
	}
}

// end logs the end of a dispatch. e.mu must be held.
func (e *lineEngine) end(key dispatchKey, answer string) {
	delete(e.running, key)
	e.events.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: key.id, Engine: e.name, Answer: answer})
}
