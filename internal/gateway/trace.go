package gateway

import (
	"fmt"
	"log/slog"

	"swiftreel/choice"
)

// trace, if true, logs every event that the module gets and every action that it orders, but for timers.
type trace bool

var eventNames = [...]string{
	choice.Started:     "started",
	choice.Arrived:     "arrived",
	choice.StreamBegan: "stream_began",
	choice.Noted:       "noted",
	choice.Answered:    "answered",
	choice.ClientLeft:  "client_left",
	choice.TimerDue:    "timer",
	choice.Listed:      "listed",
	choice.Probed:      "probed",
	choice.Heard:       "heard",
	choice.Stopping:    "stopping",
	choice.Planned:     "planned",
	choice.Restated:    "restated",
	choice.Taught:      "taught",
	choice.Elder:       "elder",
	choice.Parted:      "parted",
}

var actionNames = [...]string{
	choice.Dispatch:      "dispatch",
	choice.Throttle:      "throttle",
	choice.CancelForGood: "cancel_for_good",
	choice.Retract:       "retract",
	choice.Terms:         "terms",
	choice.Timer:         "timer",
	choice.Probe:         "probe",
	choice.CloseIdle:     "close_idle",
	choice.Tell:          "tell",
	choice.Track:         "track",
	choice.ListAll:       "list_all",
	choice.Log:           "log",
	choice.Fault:         "fault",
}

func (on trace) event(now choice.Nanos, event choice.Event) {
	if !on || event.Kind == choice.TimerDue {
		return
	}
	attributes := []any{"t", now, "event", eventNames[event.Kind]}
	slog.Info("trace", append(attributes, eventAttributes(event)...)...)
}

// eventAttributes are the fields that count for an event of this kind.
func eventAttributes(event choice.Event) []any {
	switch event.Kind {
	case choice.Arrived:
		return []any{"job", event.Job, "type", event.Type, "tenant", event.Tenant, "key", fmt.Sprintf("%x", event.Key),
			"left", event.Left, "cost", event.Cost, "memory_mb", event.MemoryMB, "tables", event.Tables, "repeat", event.Repeat}
	case choice.Answered:
		return []any{"job", event.Job, "seq", event.Seq, "engine", event.Engine, "result", event.Result,
			"latency", event.Latency, "final", event.Final, "bill", event.Bill, "load", event.Load}
	case choice.Noted:
		return []any{"job", event.Job, "seq", event.Seq, "engine", event.Engine, "note", event.Note, "amount", event.Amount}
	case choice.ClientLeft:
		return []any{"job", event.Job}
	case choice.Listed:
		return []any{"list", event.List, "lines", event.Lines}
	case choice.Probed:
		return []any{"engine", event.Engine, "result", event.Result, "latency", event.Latency, "load", event.Load}
	default:
		return nil
	}
}

func (on trace) action(now choice.Nanos, action choice.Action) {
	if !on || action.Kind == choice.Timer || action.Kind == choice.Log {
		return
	}
	slog.Info("trace", "t", now, "action", actionNames[action.Kind], "job", action.Job, "engine", action.Engine,
		"seq", action.Seq, "span", action.Span, "priority", action.Priority, "memory_mb", action.MemoryMB)
}

// job logs of a job what only the gateway knows.
func (on trace) job(id choice.JobID, attributes ...any) {
	if on {
		slog.Info("trace", append([]any{"job", id}, attributes...)...)
	}
}
