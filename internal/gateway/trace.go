package gateway

import (
	"fmt"
	"log/slog"

	"swiftreel/choice"
)

// trace is a log of every event that the module is told and every action that it orders, but for timers.
type trace bool

var eventNames = [...]string{choice.Started: "started", choice.JobArrived: "arrived", choice.StreamStarted: "stream_began",
	choice.ProgressReported: "noted", choice.AttemptEnded: "answered", choice.ClientDisconnected: "client_left", choice.TimerFired: "timer",
	choice.EnginesListed: "listed", choice.ProbeCompleted: "probed", choice.GossipReceived: "heard", choice.Stopping: "stopping",
	choice.PlanUpdated: "planned", choice.Reconfigured: "restated", choice.StateTransferred: "taught", choice.PredecessorChanged: "elder", choice.QuotaAssigned: "parted"}

var actionNames = [...]string{choice.Dispatch: "dispatch", choice.Throttle: "throttle",
	choice.CancelPermanently: "cancel_for_good", choice.CancelAttempt: "retract", choice.SetDispatchOptions: "terms", choice.SetTimer: "timer",
	choice.SendProbe: "probe", choice.CloseIdle: "close_idle", choice.SendGossip: "tell", choice.WatchEngines: "track",
	choice.ListEngines: "list_all", choice.Log: "log", choice.Fault: "fault"}

func (on trace) event(now choice.Nanos, ev choice.Event) {
	if !on || ev.Kind == choice.TimerFired {
		return
	}
	attrs := []any{"t", now, "event", eventNames[ev.Kind]}
	switch ev.Kind {
	case choice.JobArrived:
		attrs = append(attrs, "job", ev.Job, "type", ev.Type, "tenant", ev.Tenant, "key", fmt.Sprintf("%x", ev.Key), "left", ev.TimeLeft,
			"cost", ev.Cost, "memory_mb", ev.MemoryMB, "tables", ev.Tables, "repeat", ev.IsRepeat)
	case choice.AttemptEnded:
		attrs = append(attrs, "job", ev.Job, "seq", ev.Seq, "engine", ev.Engine, "result", ev.Result, "latency", ev.Latency, "final", ev.IsFinal,
			"bill", ev.Usage, "load", ev.Load)
	case choice.ProgressReported:
		attrs = append(attrs, "job", ev.Job, "seq", ev.Seq, "engine", ev.Engine, "note", ev.Progress, "amount", ev.Amount)
	case choice.ClientDisconnected:
		attrs = append(attrs, "job", ev.Job)
	case choice.EnginesListed:
		attrs = append(attrs, "list", ev.List, "lines", ev.Engines)
	case choice.ProbeCompleted:
		attrs = append(attrs, "engine", ev.Engine, "result", ev.Result, "latency", ev.Latency, "load", ev.Load)
	}
	slog.Info("trace", attrs...)
}

func (on trace) action(now choice.Nanos, a choice.Action) {
	if on && a.Kind != choice.SetTimer && a.Kind != choice.Log {
		slog.Info("trace", "t", now, "action", actionNames[a.Kind], "job", a.Job, "engine", a.Engine, "seq", a.Seq, "span", a.Duration,
			"priority", a.Priority, "memory_mb", a.MemoryMB)
	}
}

// note tells of a job what only the sockets know.
func (on trace) note(id choice.JobID, attrs ...any) {
	if on {
		slog.Info("trace", append([]any{"job", id}, attrs...)...)
	}
}
