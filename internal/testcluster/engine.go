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
	d := dispatch{session, command.ID}
	switch command.Name {
	case "stats", "alive":
		e.probe(d)
	case "fetch":
		e.begin(d)
	case "more":
		if e.running[d] == nil {
			session.Answer(command.ID, "failed", "", "")
		}
	case "abort":
		if timer := e.running[d]; timer != nil {
			timer.Stop()
			e.end(d, rulecheck.Broken)
		}
	}
}

// probe answers a health check. The lock is held.
func (e *lineEngine) probe(d dispatch) {
	if e.faults.Failing(e.name) {
		d.session.Answer(d.id, "failed", "", "")
		return
	}
	d.session.Answer(d.id, "well", fmt.Sprintf("load=concurrent:%d", len(e.running)), "")
}

// begin refuses a dispatch, or lets it run for its time. The lock is held.
func (e *lineEngine) begin(d dispatch) {
	fault := e.faults.Draw()
	if e.faults.Failing(e.name) {
		fault = FailsDispatch
	}
	entry := rulecheck.Entry{Event: rulecheck.Reached, Job: d.id, Engine: e.name, Protocol: "line"}
	if fault == RefusesDispatch {
		e.events.Add(entry)
		d.session.Answer(d.id, "full", "", "")
		return
	}
	entry.Event = rulecheck.Began
	entry.Work = int64(e.faults.WorkDuration())
	e.events.Add(entry)
	duration := e.faults.Duration(fault)
	e.running[d] = time.AfterFunc(duration, func() { e.finish(d, fault, duration) })
}

// finish answers a dispatch, unless it was aborted meanwhile.
func (e *lineEngine) finish(d dispatch, fault DispatchFault, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[d] == nil {
		return
	}
	switch fault {
	case ResetsConnection:
		e.end(d, rulecheck.Broken)
		d.session.Reset()
	case FailsDispatch:
		e.end(d, rulecheck.Broken)
		d.session.Answer(d.id, "failed", "", "")
	default:
		e.end(d, rulecheck.Done)
		d.session.Answer(d.id, "data", fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, duration.Milliseconds())), "a\tb\tc\n")
	}
}

// end logs the end of a dispatch. The lock is held.
func (e *lineEngine) end(d dispatch, answer string) {
	delete(e.running, d)
	e.events.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: d.id, Engine: e.name, Answer: answer})
}
