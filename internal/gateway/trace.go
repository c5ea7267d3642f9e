package gateway

import (
	"fmt"
	"log/slog"

	"swiftreel/choice"
)

// trace, if true, logs all events passed to the module and all actions that it returns, except timers.
type trace bool

var eventNames = [...]string{
	choice.Started:            "started",
	choice.JobArrived:         "arrived",
	choice.StreamStarted:      "stream_began",
	choice.ProgressReported:   "noted",
	choice.AttemptEnded:       "answered",
	choice.ClientDisconnected: "client_left",
	choice.TimerFired:         "timer",
	choice.EnginesListed:      "listed",
	choice.ProbeCompleted:     "probed",
	choice.GossipReceived:     "heard",
	choice.Stopping:           "stopping",
	choice.PlanUpdated:        "planned",
	choice.Reconfigured:       "restated",
	choice.StateTransferred:   "taught",
	choice.PredecessorChanged: "elder",
	choice.QuotaAssigned:      "parted",
	choice.ClockStepped:       "clock_stepped",

	choice.SuccessorChanged:    "successor_changed",
	choice.SuccessorLinked:     "successor_linked",
	choice.SuccessorUnlinked:   "successor_unlinked",
	choice.PredecessorLinked:   "predecessor_linked",
	choice.PredecessorUnlinked: "predecessor_unlinked",
	choice.KeyLockRequested:    "key_lock_requested",
	choice.KeyLockReleased:     "key_lock_released",
	choice.KeyLockGranted:      "key_lock_granted",
	choice.KeyLockRefused:      "key_lock_refused",
}

var actionNames = [...]string{
	choice.Dispatch:           "dispatch",
	choice.Throttle:           "throttle",
	choice.CancelPermanently:  "cancel_for_good",
	choice.CancelAttempt:      "retract",
	choice.SetDispatchOptions: "terms",
	choice.SetTimer:           "timer",
	choice.SendProbe:          "probe",
	choice.CloseIdle:          "close_idle",
	choice.SendGossip:         "tell",
	choice.WatchEngines:       "track",
	choice.ListEngines:        "list_all",
	choice.Log:                "log",
	choice.Fault:              "fault",
	choice.RequestKeyLock:     "request_key_lock",
	choice.ReleaseKeyLock:     "release_key_lock",
	choice.GrantKeyLock:       "grant_key_lock",
	choice.RefuseKeyLock:      "refuse_key_lock",
}

func (on trace) event(now choice.Nanos, event choice.Event) {
	if !on || event.Kind == choice.TimerFired {
		return
	}
	attributes := []any{"t", now, "event", eventNames[event.Kind]}
	slog.Info("trace", append(attributes, eventAttributes(event)...)...)
}

// eventAttributes returns the log attributes of the fields that an event of its kind uses.
func eventAttributes(event choice.Event) []any {
	switch event.Kind {
	case choice.JobArrived:
		return []any{"job", event.Job, "type", event.Type, "tenant", event.Tenant, "key", fmt.Sprintf("%x", event.Key),
			"left", event.TimeLeft, "cost", event.Cost, "memory_mb", event.MemoryMB,
			"tables", event.Tables, "repeat", event.IsRepeat}
	case choice.AttemptEnded:
		return []any{"job", event.Job, "seq", event.Seq, "engine", event.Engine, "result", event.Result,
			"latency", event.Latency, "final", event.IsFinal, "bill", event.Usage, "load", event.Load}
	case choice.ProgressReported:
		return []any{"job", event.Job, "seq", event.Seq, "engine", event.Engine,
			"note", event.Progress, "amount", event.Amount}
	case choice.ClientDisconnected, choice.KeyLockGranted, choice.KeyLockRefused:
		return []any{"job", event.Job}
	case choice.KeyLockRequested, choice.KeyLockReleased:
		return []any{"job", event.Job, "key", fmt.Sprintf("%x", event.Key), "held", event.MayBeRunning, "pause", event.Pause}
	case choice.EnginesListed:
		return []any{"list", event.List, "lines", event.Engines}
	case choice.ProbeCompleted:
		return []any{"engine", event.Engine, "result", event.Result, "latency", event.Latency, "load", event.Load}
	default:
		return nil
	}
}

func (on trace) action(now choice.Nanos, action choice.Action) {
	if !on || action.Kind == choice.SetTimer || action.Kind == choice.Log {
		return
	}
	slog.Info("trace", "t", now, "action", actionNames[action.Kind], "job", action.Job, "engine", action.Engine,
		"seq", action.Seq, "span", action.Duration, "priority", action.Priority, "memory_mb", action.MemoryMB)
}

// job logs an event of a job that is not visible in the module's events and actions.
func (on trace) job(id choice.JobID, attributes ...any) {
	if on {
		slog.Info("trace", append([]any{"job", id}, attributes...)...)
	}
}
