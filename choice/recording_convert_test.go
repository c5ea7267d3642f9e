package choice

import (
	"fmt"
	"strconv"
	"testing"
)

// nameTable maps the values of an enumeration to their names in a recorded stream.
type nameTable[K ~uint8 | ~uint16] map[K]string

func (n nameTable[K]) name(v K) string {
	text, known := n[v]
	if !known {
		text = fmt.Sprint(v) // a value without a name, as chaos sends them
	}
	return text
}

func (n nameTable[K]) value(tb testing.TB, text string) K {
	tb.Helper()
	for v, name := range n {
		if name == text {
			return v
		}
	}
	v, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		tb.Fatalf("%q is not the name of a %T", text, K(0))
	}
	return K(v)
}

var (
	eventNames = nameTable[EventKind]{
		Started:            "started",
		JobArrived:         "arrived",
		StreamStarted:      "stream_began",
		ProgressReported:   "noted",
		AttemptEnded:       "answered",
		ClientDisconnected: "client_left",
		TimerFired:         "timer_due",
		EnginesListed:      "listed",
		ProbeCompleted:     "probed",
		GossipReceived:     "heard",
		Stopping:           "stopping",
		PlanUpdated:        "planned",
		Reconfigured:       "restated",
		StateTransferred:   "taught",
		QuotaAssigned:      "parted",
		PredecessorChanged: "elder",
		ClockStepped:       "clock_stepped",

		SuccessorChanged:    "successor_changed",
		SuccessorLinked:     "successor_linked",
		SuccessorUnlinked:   "successor_unlinked",
		PredecessorLinked:   "predecessor_linked",
		PredecessorUnlinked: "predecessor_unlinked",
		KeyLockRequested:    "key_lock_requested",
		KeyLockReleased:     "key_lock_released",
		KeyLockGranted:      "key_lock_granted",
		KeyLockRefused:      "key_lock_refused",
	}
	resultNames = nameTable[Result]{
		0:                 "",
		Done:              "done",
		Failed:            "failed",
		Full:              "full",
		TimedOut:          "timed_out",
		ConnectionRefused: "unreachable",
		Reset:             "reset",
		Canceled:          "retracted",
		Superseded:        "moot",
		DialFailed:        "dial_failed",
	}
	listNames = nameTable[ListKind]{
		0:          "",
		FullList:   "whole",
		CachedList: "cached",
		ListDelta:  "changes",
		ListFailed: "failed",
	}
	stateNames  = nameTable[EngineState]{Removed: "", Ready: "ready", Draining: "draining"}
	actionNames = nameTable[ActionKind]{
		Dispatch:           "dispatch",
		Throttle:           "throttle",
		CancelPermanently:  "cancel_for_good",
		CancelAttempt:      "retract",
		SetDispatchOptions: "terms",
		SetTimer:           "timer",
		SendProbe:          "probe",
		CloseIdle:          "close_idle",
		SendGossip:         "tell",
		WatchEngines:       "track",
		ListEngines:        "list_all",
		Log:                "log",
		Fault:              "fault",
		RequestKeyLock:     "request_key_lock",
		ReleaseKeyLock:     "release_key_lock",
		GrantKeyLock:       "grant_key_lock",
		RefuseKeyLock:      "refuse_key_lock",
	}
)

// convertAll converts a list, nil to nil.
func convertAll[A, B any](list []A, convert func(A) B) []B {
	if list == nil {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, v := range list {
		out = append(out, convert(v))
	}
	return out
}

// recorded converts an event to its recorded form, with the raw settings in place of the parsed ones, if it has any.
func recorded(ev Event, settings RawSettings) recordedEvent {
	r := recordedEvent{
		Kind:               eventNames.name(ev.Kind),
		Seed:               ev.Seed,
		Job:                uint32(ev.Job),
		Type:               uint8(ev.Type),
		Tenant:             uint32(ev.Tenant),
		Key:                uint64(ev.Key),
		TimeLeft:           int64(ev.TimeLeft),
		ArrivedAt:          int64(ev.ArrivedAt),
		Cost:               int64(ev.Cost),
		CostKnown:          ev.CostKnown,
		IsRepeat:           ev.IsRepeat,
		IsWrite:            ev.IsWrite,
		MemoryMB:           recordedFloat(ev.MemoryMB),
		Tables:             int64(ev.Tables),
		RequiredProtocols:  uint8(ev.RequiredProtocols),
		Seq:                uint16(ev.Seq),
		Engine:             uint32(ev.Engine),
		Result:             resultNames.name(ev.Result),
		Latency:            int64(ev.Latency),
		IsFinal:            ev.IsFinal,
		Usage:              ev.Usage,
		Load:               convertAll(ev.Load, func(v float64) recordedFloat { return recordedFloat(v) }),
		Progress:           uint8(ev.Progress),
		Amount:             recordedFloat(ev.Amount),
		TimerID:            uint64(ev.TimerID),
		List:               listNames.name(ev.List),
		Peer:               uint32(ev.Peer),
		Payload:            ev.Payload,
		PredecessorRunning: ev.PredecessorRunning,
		SuccessorRunning:   ev.SuccessorRunning,
		MayBeRunning:       ev.MayBeRunning,
		Pause:              int64(ev.Pause),
		ReceivedAfter:      int64(ev.ReceivedAfter),
		ReceivedBefore:     int64(ev.ReceivedBefore),
		ClockOffset:        ev.ClockOffset,
		ConnectedAt:        ev.ConnectedAt,
		Quota:              recordedQuota{recordedFloat(ev.Quota.FleetShare), nil, int64(ev.Quota.ExpiresAt)},
	}
	if ev.Settings != nil {
		r.Settings = settings
	}
	r.Engines = convertAll(ev.Engines, func(entry EngineEntry) recordedEngine {
		return recordedEngine{uint32(entry.Engine), uint8(entry.Zone), uint16(entry.Kind), uint16(entry.Cell),
			stateNames.name(entry.State), recordedFloat(entry.Size), int64(entry.StartedAt), uint8(entry.Unsupported)}
	})
	if p := ev.Plan; p != nil {
		r.Plan = &recordedPlan{IdleEngines: p.IdleEngines, DemandThreads: recordedFloat(p.DemandThreads),
			MaxDemandRatio: recordedFloat(p.MaxDemandRatio),
			Tenants: convertAll(p.Tenants, func(v PlanTenant) recordedPlanTenant {
				return recordedPlanTenant{uint32(v.Tenant), recordedFloat(v.Share)}
			}),
			Engines: convertAll(p.Engines, func(v PlanEngine) recordedPlanEngine {
				return recordedPlanEngine{uint32(v.Engine), recordedFloat(v.Threads)}
			}),
			Weights: convertAll(p.Weights, func(v PlanWeight) recordedPlanWeight {
				return recordedPlanWeight{uint8(v.Type), uint32(v.Engine), recordedFloat(v.Weight)}
			})}
	}
	if ev.Quota.TenantShares != nil {
		r.Quota.TenantShares = map[uint32]recordedFloat{}
		for id, share := range ev.Quota.TenantShares {
			r.Quota.TenantShares[uint32(id)] = recordedFloat(share)
		}
	}
	r.TypeStats = convertAll(ev.TypeStats, func(stats TypeStats) recordedTypeStats {
		return recordedTypeStats{recordedFloat(stats.meanWork), recordedFloat(stats.workCount), recordedFloat(stats.costBias),
			recordedFloat(stats.costCount),
			recordedFloat(stats.memoryBias), recordedFloat(stats.memoryDeviation), recordedFloat(stats.memoryCount),
			recordedFloat(stats.bestSlowdown), recordedFloat(stats.slowdown)}
	})
	r.EngineHealth = convertAll(ev.EngineHealth, func(h EngineHealth) recordedHealth {
		return recordedHealth{uint32(h.Engine), recordedFloat(h.LatencyRatio), recordedFloat(h.FailureRate), h.Ejected}
	})
	return r
}

func (r recordedEvent) event(tb testing.TB) Event {
	tb.Helper()
	ev := Event{
		Seed:               r.Seed,
		Job:                JobID(r.Job),
		Type:               TypeID(r.Type),
		Tenant:             TenantID(r.Tenant),
		Key:                Key(r.Key),
		TimeLeft:           Nanos(r.TimeLeft),
		ArrivedAt:          Nanos(r.ArrivedAt),
		Cost:               Nanos(r.Cost),
		CostKnown:          r.CostKnown,
		IsRepeat:           r.IsRepeat,
		IsWrite:            r.IsWrite,
		MemoryMB:           float64(r.MemoryMB),
		Tables:             TableGroup(r.Tables),
		RequiredProtocols:  Protocols(r.RequiredProtocols),
		Seq:                AttemptSeq(r.Seq),
		Engine:             EngineID(r.Engine),
		Latency:            Nanos(r.Latency),
		IsFinal:            r.IsFinal,
		Usage:              r.Usage,
		Load:               convertAll(r.Load, func(v recordedFloat) float64 { return float64(v) }),
		Progress:           ProgressKind(r.Progress),
		Amount:             float64(r.Amount),
		TimerID:            TimerID(r.TimerID),
		Peer:               PeerID(r.Peer),
		Payload:            r.Payload,
		PredecessorRunning: r.PredecessorRunning,
		SuccessorRunning:   r.SuccessorRunning,
		MayBeRunning:       r.MayBeRunning,
		Pause:              Nanos(r.Pause),
		ReceivedAfter:      Nanos(r.ReceivedAfter),
		ReceivedBefore:     Nanos(r.ReceivedBefore),
		ClockOffset:        r.ClockOffset,
		ConnectedAt:        r.ConnectedAt,
		Quota:              Quota{FleetShare: float64(r.Quota.FleetShare), ExpiresAt: Nanos(r.Quota.ExpiresAt)},
	}
	if r.Settings != nil {
		ev.Settings = ParseSettings(r.Settings)
	}
	ev.Kind = eventNames.value(tb, r.Kind)
	ev.Result = resultNames.value(tb, r.Result)
	ev.List = listNames.value(tb, r.List)
	ev.Engines = convertAll(r.Engines, func(entry recordedEngine) EngineEntry {
		state := stateNames.value(tb, entry.State)
		return EngineEntry{EngineID(entry.Engine), ZoneID(entry.Zone), KindID(entry.Kind), CellID(entry.Cell), state,
			float64(entry.Size), Nanos(entry.StartedAt), Protocols(entry.Unsupported)}
	})
	if p := r.Plan; p != nil {
		ev.Plan = &Plan{IdleEngines: p.IdleEngines, DemandThreads: float64(p.DemandThreads),
			MaxDemandRatio: float64(p.MaxDemandRatio),
			Tenants: convertAll(p.Tenants, func(v recordedPlanTenant) PlanTenant {
				return PlanTenant{TenantID(v.Tenant), float64(v.Share)}
			}),
			Engines: convertAll(p.Engines, func(v recordedPlanEngine) PlanEngine {
				return PlanEngine{EngineID(v.Engine), float64(v.Threads)}
			}),
			Weights: convertAll(p.Weights, func(v recordedPlanWeight) PlanWeight {
				return PlanWeight{TypeID(v.Type), EngineID(v.Engine), float64(v.Weight)}
			})}
	}
	if r.Quota.TenantShares != nil {
		ev.Quota.TenantShares = map[TenantID]float64{}
		for id, share := range r.Quota.TenantShares {
			ev.Quota.TenantShares[TenantID(id)] = float64(share)
		}
	}
	ev.TypeStats = convertAll(r.TypeStats, func(stats recordedTypeStats) TypeStats {
		return TypeStats{meanWork: float64(stats.MeanWork), workCount: float64(stats.WorkCount),
			costBias: float64(stats.CostBias), costCount: float64(stats.CostCount),
			memoryBias: float64(stats.MemoryBias), memoryDeviation: float64(stats.MemoryDeviation),
			memoryCount: float64(stats.MemoryCount), bestSlowdown: float64(stats.BestSlowdown),
			slowdown: float64(stats.Slowdown)}
	})
	ev.EngineHealth = convertAll(r.EngineHealth, func(h recordedHealth) EngineHealth {
		return EngineHealth{EngineID(h.Engine), float64(h.LatencyRatio), float64(h.FailureRate), h.Ejected}
	})
	return ev
}
