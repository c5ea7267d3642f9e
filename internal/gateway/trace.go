package gateway

import (
	"fmt"
	"log"

	"swiftreel/choice"
)

// trace is a log of every event that the module is told and every action that it orders, but for timers.
type trace bool

var eventNames = [...]string{choice.Started: "started", choice.Arrived: "arrived", choice.StreamBegan: "stream_began",
	choice.Noted: "noted", choice.Answered: "answered", choice.ClientLeft: "client_left", choice.TimerDue: "timer",
	choice.Listed: "listed", choice.Probed: "probed", choice.Heard: "heard", choice.Stopping: "stopping",
	choice.Planned: "planned"}

var actionNames = [...]string{choice.Dispatch: "dispatch", choice.Throttle: "throttle",
	choice.CancelForGood: "cancel_for_good", choice.Retract: "retract", choice.Terms: "terms", choice.Timer: "timer",
	choice.Probe: "probe", choice.CloseIdle: "close_idle", choice.Tell: "tell", choice.Track: "track",
	choice.ListAll: "list_all", choice.Log: "log", choice.Fault: "fault"}

func (on trace) event(now choice.Nanos, ev choice.Event) {
	if !on || ev.Kind == choice.TimerDue {
		return
	}
	text := ""
	switch ev.Kind {
	case choice.Arrived:
		text = fmt.Sprintf("job=%d type=%d tenant=%d key=%x left=%d cost=%d memory_mb=%.0f tables=%d repeat=%v", ev.Job, ev.Type,
			ev.Tenant, ev.Key, ev.Left, ev.Cost, ev.MemoryMB, ev.Tables, ev.Repeat)
	case choice.Answered:
		text = fmt.Sprintf("job=%d seq=%d engine=%d result=%d latency=%d final=%v bill=%d load=%v", ev.Job, ev.Seq, ev.Engine,
			ev.Result, ev.Latency, ev.Final, ev.Bill, ev.Load)
	case choice.Noted:
		text = fmt.Sprintf("job=%d seq=%d engine=%d note=%d amount=%g", ev.Job, ev.Seq, ev.Engine, ev.Note, ev.Amount)
	case choice.ClientLeft:
		text = fmt.Sprintf("job=%d", ev.Job)
	case choice.Listed:
		text = fmt.Sprintf("list=%d lines=%+v", ev.List, ev.Lines)
	case choice.Probed:
		text = fmt.Sprintf("engine=%d result=%d latency=%d load=%v", ev.Engine, ev.Result, ev.Latency, ev.Load)
	}
	log.Printf("trace t=%d event=%s %s", now, eventNames[ev.Kind], text)
}

func (on trace) action(now choice.Nanos, a choice.Action) {
	if on && a.Kind != choice.Timer && a.Kind != choice.Log {
		log.Printf("trace t=%d action=%s job=%d engine=%d seq=%d span=%d priority=%d memory_mb=%.0f", now, actionNames[a.Kind], a.Job,
			a.Engine, a.Seq, a.Span, a.Priority, a.MemoryMB)
	}
}

// note tells of a job what only the sockets know.
func (on trace) note(id choice.JobID, text string, v ...any) {
	if on {
		log.Printf("trace job=%d "+text, append([]any{id}, v...)...)
	}
}
