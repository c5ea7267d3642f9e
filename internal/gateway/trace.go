package gateway

import (
	"fmt"
	"log/slog"

	"swiftreel/choice"
)

// trace is a log of every event that the module is told and every action that it orders, but for timers.
type trace bool

var eventNames = [...]string{choice.Started: "started", choice.Arrived: "arrived", choice.StreamBegan: "stream_began",
	choice.Noted: "noted", choice.Answered: "answered", choice.ClientLeft: "client_left", choice.TimerDue: "timer",
	choice.Listed: "listed", choice.Probed: "probed", choice.Heard: "heard", choice.Stopping: "stopping",
	choice.Planned: "planned", choice.Restated: "restated", choice.Taught: "taught", choice.Elder: "elder", choice.Parted: "parted"}

var actionNames = [...]string{choice.Dispatch: "dispatch", choice.Throttle: "throttle",
	choice.CancelForGood: "cancel_for_good", choice.Retract: "retract", choice.Terms: "terms", choice.Timer: "timer",
	choice.Probe: "probe", choice.CloseIdle: "close_idle", choice.Tell: "tell", choice.Track: "track",
	choice.ListAll: "list_all", choice.Log: "log", choice.Fault: "fault"}

func (on trace) event(now choice.Nanos, ev choice.Event) {
	if !on || ev.Kind == choice.TimerDue {
		return
	}
	attrs := []any{"t", now, "event", eventNames[ev.Kind]}
	switch ev.Kind {
	case choice.Arrived:
		attrs = append(attrs, "job", ev.Job, "type", ev.Type, "tenant", ev.Tenant, "key", fmt.Sprintf("%x", ev.Key), "left", ev.Left,
			"cost", ev.Cost, "memory_mb", ev.MemoryMB, "tables", ev.Tables, "repeat", ev.Repeat)
	case choice.Answered:
		attrs = append(attrs, "job", ev.Job, "seq", ev.Seq, "engine", ev.Engine, "result", ev.Result, "latency", ev.Latency, "final", ev.Final,
			"bill", ev.Bill, "load", ev.Load)
	case choice.Noted:
		attrs = append(attrs, "job", ev.Job, "seq", ev.Seq, "engine", ev.Engine, "note", ev.Note, "amount", ev.Amount)
	case choice.ClientLeft:
		attrs = append(attrs, "job", ev.Job)
	case choice.Listed:
		attrs = append(attrs, "list", ev.List, "lines", ev.Lines)
	case choice.Probed:
		attrs = append(attrs, "engine", ev.Engine, "result", ev.Result, "latency", ev.Latency, "load", ev.Load)
	}
	slog.Info("trace", attrs...)
}

func (on trace) action(now choice.Nanos, a choice.Action) {
	if on && a.Kind != choice.Timer && a.Kind != choice.Log {
		slog.Info("trace", "t", now, "action", actionNames[a.Kind], "job", a.Job, "engine", a.Engine, "seq", a.Seq, "span", a.Span,
			"priority", a.Priority, "memory_mb", a.MemoryMB)
	}
}

// note tells of a job what only the sockets know.
func (on trace) note(id choice.JobID, attrs ...any) {
	if on {
		slog.Info("trace", append([]any{"job", id}, attrs...)...)
	}
}
