package choice

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"os"
	"strconv"
	"testing"
)

// The form of recorded streams: gzipped JSON lines, one an event, under keys that are written here and follow from no
// name of the module. A key that is not known is an error when a stream is read.

// recordedFloat is a float64 that is read back to the bit, also where it is no number.
type recordedFloat float64

// MarshalJSON writes what JSON has no number for as a string.
func (f recordedFloat) MarshalJSON() ([]byte, error) {
	v := float64(f)
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return strconv.AppendQuote(nil, strconv.FormatFloat(v, 'g', -1, 64)), nil
	}
	return strconv.AppendFloat(nil, v, 'g', -1, 64), nil
}

// IsZero tells what a stream leaves out: 0, but not -0.
func (f recordedFloat) IsZero() bool { return math.Float64bits(float64(f)) == 0 }

// UnmarshalJSON reads a number, or one of "NaN", "+Inf" and "-Inf".
func (f *recordedFloat) UnmarshalJSON(text []byte) error {
	v, err := strconv.ParseFloat(string(bytes.Trim(text, `"`)), 64)
	*f = recordedFloat(v)
	return err
}

// recordedStep is one call of Decide: when, with what, and what came of it.
type recordedStep struct {
	At        int64         `json:"at"`
	Event     recordedEvent `json:"event"`
	Decisions string        `json:"decisions,omitzero"` // digest of the actions but for the texts of log lines; empty: none
	State     string        `json:"state"`              // digest of what the module believes afterwards
	Log       []string      `json:"log,omitzero"`
}

type recordedEvent struct {
	Kind      string           `json:"kind"`
	Seed      uint64           `json:"seed,omitzero"`
	Settings  map[string]any   `json:"settings,omitzero"`
	Job       uint32           `json:"job,omitzero"`
	Type      uint8            `json:"type,omitzero"`
	Tenant    uint32           `json:"tenant,omitzero"`
	Key       uint64           `json:"key,omitzero"`
	Left      int64            `json:"left,omitzero"`
	Cost      int64            `json:"cost,omitzero"`
	CostKnown bool             `json:"cost_known,omitzero"`
	Repeat    bool             `json:"repeat,omitzero"`
	Write     bool             `json:"write,omitzero"`
	MemoryMB  recordedFloat    `json:"memory_mb,omitzero"`
	Tables    int64            `json:"tables,omitzero"`
	Needs     uint8            `json:"needs,omitzero"`
	Seq       uint16           `json:"seq,omitzero"`
	Engine    uint32           `json:"engine,omitzero"`
	Result    string           `json:"result,omitzero"`
	Latency   int64            `json:"latency,omitzero"`
	Final     bool             `json:"final,omitzero"`
	Bill      uint32           `json:"bill,omitzero"`
	Load      []recordedFloat  `json:"load,omitzero"`
	Note      uint8            `json:"note,omitzero"`
	Amount    recordedFloat    `json:"amount,omitzero"`
	Mark      uint64           `json:"mark,omitzero"`
	List      string           `json:"list,omitzero"`
	Lines     []recordedEngine `json:"lines,omitzero"`
	Peer      uint32           `json:"peer,omitzero"`
	Said      []byte           `json:"said,omitzero"`
	Plan      *recordedPlan    `json:"plan,omitzero"`
	On        bool             `json:"on,omitzero"`
	Part      recordedPart     `json:"part,omitzero"`
	Means     []recordedMeans  `json:"means,omitzero"`
	Health    []recordedHealth `json:"health,omitzero"`
}

type recordedEngine struct {
	Engine    uint32        `json:"engine"`
	Zone      uint8         `json:"zone,omitzero"`
	Kind      uint16        `json:"kind,omitzero"`
	Cell      uint16        `json:"cell,omitzero"`
	State     string        `json:"state,omitzero"`
	Size      recordedFloat `json:"size,omitzero"`
	StartedAt int64         `json:"started_at,omitzero"`
	Deaf      uint8         `json:"deaf,omitzero"`
}

type recordedPlan struct {
	Tenants []recordedPlanTenant `json:"tenants,omitzero"`
	Engines []recordedPlanEngine `json:"engines,omitzero"`
	Weights []recordedPlanWeight `json:"weights,omitzero"`
	Idle    []EngineID           `json:"idle,omitzero"`
	Demand  recordedFloat        `json:"demand,omitzero"`
	Factor  recordedFloat        `json:"factor,omitzero"`
}

type recordedPlanTenant struct {
	Tenant uint32        `json:"tenant"`
	Part   recordedFloat `json:"part"`
}

type recordedPlanEngine struct {
	Engine  uint32        `json:"engine"`
	Threads recordedFloat `json:"threads"`
}

type recordedPlanWeight struct {
	Type   uint8         `json:"type"`
	Engine uint32        `json:"engine"`
	Weight recordedFloat `json:"weight"`
}

type recordedPart struct {
	Share   recordedFloat            `json:"share,omitzero"`
	Tenants map[uint32]recordedFloat `json:"tenants,omitzero"`
	Until   int64                    `json:"until,omitzero"`
}

type recordedMeans struct {
	Usual    recordedFloat `json:"usual"`
	UsualN   recordedFloat `json:"usual_n"`
	CostBias recordedFloat `json:"cost_bias"`
	CostN    recordedFloat `json:"cost_n"`
	MemBias  recordedFloat `json:"mem_bias"`
	MemDev   recordedFloat `json:"mem_dev"`
	MemN     recordedFloat `json:"mem_n"`
	Best     recordedFloat `json:"best"`
	Slow     recordedFloat `json:"slow"`
}

type recordedHealth struct {
	Engine uint32        `json:"engine"`
	Slow   recordedFloat `json:"slow"`
	Bad    recordedFloat `json:"bad"`
	Aside  bool          `json:"aside,omitzero"`
}

// names gives values of a kind their names in a stream, both ways.
type names[K ~uint8 | ~uint16] map[K]string

func (n names[K]) name(v K) string {
	text, known := n[v]
	if !known {
		text = fmt.Sprint(v) // a value that the module does not know, as chaos tells them
	}
	return text
}

func (n names[K]) value(t testing.TB, text string) K {
	t.Helper()
	for v, name := range n {
		if name == text {
			return v
		}
	}
	v, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		t.Fatalf("%q is no name of a %T", text, K(0))
	}
	return K(v)
}

var (
	eventNames = names[EventKind]{Started: "started", JobArrived: "arrived", StreamStarted: "stream_began", ProgressReported: "noted",
		AttemptEnded: "answered", ClientDisconnected: "client_left", TimerFired: "timer_due", EnginesListed: "listed", ProbeCompleted: "probed",
		GossipReceived: "heard", Stopping: "stopping", PlanUpdated: "planned", Reconfigured: "restated", StateTransferred: "taught",
		QuotaAssigned: "parted", PredecessorChanged: "elder"}
	resultNames = names[Result]{0: "", Done: "done", Failed: "failed", Full: "full", TimedOut: "timed_out",
		Unreachable: "unreachable", Reset: "reset", Canceled: "retracted", Superseded: "moot"}
	listNames = names[ListKind]{0: "", FullList: "whole", CachedList: "cached", ListDelta: "changes",
		ListFailed: "failed"}
	stateNames  = names[EngineState]{Removed: "", Ready: "ready", Draining: "draining"}
	actionNames = names[ActionKind]{Dispatch: "dispatch", Throttle: "throttle", CancelPermanently: "cancel_for_good",
		CancelAttempt: "retract", SetDispatchOptions: "terms", SetTimer: "timer", SendProbe: "probe", CloseIdle: "close_idle", SendGossip: "tell",
		WatchEngines: "track", ListEngines: "list_all", Log: "log", Fault: "fault"}
)

// each converts a list, nil to nil.
func each[A, B any](list []A, convert func(A) B) []B {
	if list == nil {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, v := range list {
		out = append(out, convert(v))
	}
	return out
}

func recorded(ev Event) recordedEvent {
	r := recordedEvent{Kind: eventNames.name(ev.Kind), Seed: ev.Seed, Settings: ev.Settings, Job: uint32(ev.Job),
		Type: uint8(ev.Type), Tenant: uint32(ev.Tenant), Key: uint64(ev.Key), Left: int64(ev.TimeLeft), Cost: int64(ev.Cost),
		CostKnown: ev.CostKnown, Repeat: ev.IsRepeat, Write: ev.IsWrite, MemoryMB: recordedFloat(ev.MemoryMB),
		Tables: int64(ev.Tables), Needs: uint8(ev.RequiredProtocols), Seq: uint16(ev.Seq), Engine: uint32(ev.Engine),
		Result: resultNames.name(ev.Result), Latency: int64(ev.Latency), Final: ev.IsFinal, Bill: ev.Usage,
		Load: each(ev.Load, func(v float64) recordedFloat { return recordedFloat(v) }), Note: uint8(ev.Progress),
		Amount: recordedFloat(ev.Amount), Mark: uint64(ev.TimerID), List: listNames.name(ev.List),
		Peer: uint32(ev.Peer), Said: ev.Payload, On: ev.PredecessorRunning,
		Part: recordedPart{Share: recordedFloat(ev.Quota.FleetShare), Until: int64(ev.Quota.ExpiresAt)}}
	r.Lines = each(ev.Engines, func(l EngineEntry) recordedEngine {
		return recordedEngine{uint32(l.Engine), uint8(l.Zone), uint16(l.Kind), uint16(l.Cell), stateNames.name(l.State),
			recordedFloat(l.Size), int64(l.StartedAt), uint8(l.Unsupported)}
	})
	if p := ev.Plan; p != nil {
		r.Plan = &recordedPlan{Idle: p.IdleEngines, Demand: recordedFloat(p.DemandThreads), Factor: recordedFloat(p.MaxDemandRatio),
			Tenants: each(p.Tenants, func(v PlanTenant) recordedPlanTenant {
				return recordedPlanTenant{uint32(v.Tenant), recordedFloat(v.Share)}
			}),
			Engines: each(p.Engines, func(v PlanEngine) recordedPlanEngine {
				return recordedPlanEngine{uint32(v.Engine), recordedFloat(v.Threads)}
			}),
			Weights: each(p.Weights, func(v PlanWeight) recordedPlanWeight {
				return recordedPlanWeight{uint8(v.Type), uint32(v.Engine), recordedFloat(v.Weight)}
			})}
	}
	if ev.Quota.TenantShares != nil {
		r.Part.Tenants = map[uint32]recordedFloat{}
		for id, part := range ev.Quota.TenantShares {
			r.Part.Tenants[uint32(id)] = recordedFloat(part)
		}
	}
	r.Means = each(ev.TypeStats, func(m TypeStats) recordedMeans {
		return recordedMeans{recordedFloat(m.meanWork), recordedFloat(m.workCount), recordedFloat(m.costBias), recordedFloat(m.costCount),
			recordedFloat(m.memoryBias), recordedFloat(m.memoryDeviation), recordedFloat(m.memoryCount), recordedFloat(m.bestSlowdown), recordedFloat(m.slowdown)}
	})
	r.Health = each(ev.EngineHealth, func(h EngineHealth) recordedHealth {
		return recordedHealth{uint32(h.Engine), recordedFloat(h.LatencyRatio), recordedFloat(h.FailureRate), h.Ejected}
	})
	return r
}

func (r recordedEvent) event(t testing.TB) Event {
	t.Helper()
	ev := Event{Seed: r.Seed, Settings: r.Settings, Job: JobID(r.Job), Type: TypeID(r.Type), Tenant: TenantID(r.Tenant),
		Key: Key(r.Key), TimeLeft: Nanos(r.Left), Cost: Nanos(r.Cost), CostKnown: r.CostKnown, IsRepeat: r.Repeat, IsWrite: r.Write,
		MemoryMB: float64(r.MemoryMB), Tables: TableGroup(r.Tables), RequiredProtocols: Protocols(r.Needs), Seq: AttemptSeq(r.Seq),
		Engine: EngineID(r.Engine), Latency: Nanos(r.Latency), IsFinal: r.Final, Usage: r.Bill,
		Load: each(r.Load, func(v recordedFloat) float64 { return float64(v) }), Progress: ProgressKind(r.Note),
		Amount: float64(r.Amount), TimerID: TimerID(r.Mark), Peer: PeerID(r.Peer), Payload: r.Said, PredecessorRunning: r.On,
		Quota: Quota{FleetShare: float64(r.Part.Share), ExpiresAt: Nanos(r.Part.Until)}}
	ev.Kind = eventNames.value(t, r.Kind)
	ev.Result = resultNames.value(t, r.Result)
	ev.List = listNames.value(t, r.List)
	ev.Engines = each(r.Lines, func(l recordedEngine) EngineEntry {
		state := stateNames.value(t, l.State)
		return EngineEntry{EngineID(l.Engine), ZoneID(l.Zone), KindID(l.Kind), CellID(l.Cell), state, float64(l.Size),
			Nanos(l.StartedAt), Protocols(l.Deaf)}
	})
	if p := r.Plan; p != nil {
		ev.Plan = &Plan{IdleEngines: p.Idle, DemandThreads: float64(p.Demand), MaxDemandRatio: float64(p.Factor),
			Tenants: each(p.Tenants, func(v recordedPlanTenant) PlanTenant {
				return PlanTenant{TenantID(v.Tenant), float64(v.Part)}
			}),
			Engines: each(p.Engines, func(v recordedPlanEngine) PlanEngine {
				return PlanEngine{EngineID(v.Engine), float64(v.Threads)}
			}),
			Weights: each(p.Weights, func(v recordedPlanWeight) PlanWeight {
				return PlanWeight{TypeID(v.Type), EngineID(v.Engine), float64(v.Weight)}
			})}
	}
	if r.Part.Tenants != nil {
		ev.Quota.TenantShares = map[TenantID]float64{}
		for id, part := range r.Part.Tenants {
			ev.Quota.TenantShares[TenantID(id)] = float64(part)
		}
	}
	ev.TypeStats = each(r.Means, func(m recordedMeans) TypeStats {
		return TypeStats{meanWork: float64(m.Usual), workCount: float64(m.UsualN), costBias: float64(m.CostBias), costCount: float64(m.CostN),
			memoryBias: float64(m.MemBias), memoryDeviation: float64(m.MemDev), memoryCount: float64(m.MemN), bestSlowdown: float64(m.Best), slowdown: float64(m.Slow)}
	})
	ev.EngineHealth = each(r.Health, func(h recordedHealth) EngineHealth {
		return EngineHealth{EngineID(h.Engine), float64(h.Slow), float64(h.Bad), h.Aside}
	})
	return ev
}

// digestOf folds the decisions of one event, in their order. Of a log line it has that there is one, not its text.
func digestOf(acts []Action) string {
	if len(acts) == 0 {
		return ""
	}
	h := fnv.New64a()
	for _, a := range acts {
		text := a.Text
		if a.Kind == Log || a.Kind == Fault {
			text = ""
		}
		fmt.Fprintf(h, "%s job=%d engine=%d seq=%d span=%d until=%d priority=%d memory=%x mark=%d peer=%d on=%v text=%x\n",
			actionNames.name(a.Kind), a.Job, a.Engine, a.Seq, a.Duration, a.SendDeadline, a.Priority, a.MemoryMB, a.TimerID, a.Peer, a.Enabled, text)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func logTexts(acts []Action) (texts []string) {
	for _, a := range acts {
		if a.Kind == Log || a.Kind == Fault {
			texts = append(texts, a.Text)
		}
	}
	return texts
}

// stateOf folds what a module believes, each mean to the bit, and where its chance stands: what differs here will be
// decided otherwise some day, also where this stream ends before.
func stateOf(c *Controller, now Nanos) string {
	h := fnv.New32a()
	put := func(values ...any) {
		for _, v := range values {
			if f, ok := v.(float64); ok {
				v = math.Float64bits(f)
			}
			fmt.Fprint(h, v, " ")
		}
	}
	put(uint64(c.random), len(c.liveJobs), len(c.jobs), len(c.buckets), len(c.orderings), len(c.tenants), len(c.retryBudget.admittedAt), len(c.retryBudget.retriedAt))
	put(c.fleet.cores, c.fleet.contention, c.fleet.share, c.fleet.estimatedShare, c.sampleSize, c.ownLoad.jobs, c.ownLoad.threads, c.ownLoad.memoryMB, c.durationError.mean, c.durationError.count)
	put(c.fleet.meanLatencyRatio, c.fleet.meanFailureRate, c.demand.jobs, c.demand.meanValue, c.demand.meanWork, c.demand.meanDuration, c.demand.meanMemoryTime)
	put(c.probeBudget.tokens, c.retryBudget.tokens, c.planWeight, c.offeredThreads, c.gossip.messageTokens, c.gossip.mapTokens, c.gossip.mapRound, c.gossip.unreportedJobs, c.gossip.nextEngine)
	put(c.overloadLogged, c.fleet.underPressure, c.watchingEngines)
	for _, t := range c.types {
		put(t.parkedJobs, int64(t.lastLatencyAt), t.price)
		for _, v := range t.figures() {
			put(*v)
		}
	}
	for _, e := range c.engines {
		put(uint32(e.Engine), len(e.attempts), e.ownThreads, e.ownMemoryMB, e.siblingThreads, e.gossipedThreads, e.newFailures, e.newSuccesses, e.siblingFailures, e.siblingSuccesses)
		put(e.concurrencyLimit, e.latencyRatio, e.failureRate, int64(e.ejectionTime), e.consecutiveFailures, e.probesPassed, e.index, len(e.slowStartWork), fmt.Sprint(e.lockedTables))
		put(e.refusing, e.underPressure, e.ejected, e.probePending, int64(e.fullUntil), int64(e.suspectedRestartAt), int64(e.lastSeenAt), int64(e.loadKnownAt))
	}
	for _, s := range c.EngineViews(now) {
		put(uint32(s.Engine), s.Jobs, s.Threads, s.SiblingThreads, int64(s.ReportAge), int64(s.LastSeenAge), s.UnavailableReason)
	}
	for _, s := range c.EngineHealth() {
		put(uint32(s.Engine), s.LatencyRatio, s.FailureRate, s.Ejected)
	}
	return fmt.Sprintf("%08x", h.Sum32())
}

func encodeStep(t testing.TB, step recordedStep) []byte {
	t.Helper()
	line, err := json.Marshal(step)
	if err != nil {
		t.Fatal(err)
	}
	return append(line, '\n')
}

func writeStream(t testing.TB, path string, lines [][]byte) {
	t.Helper()
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.Write(bytes.Join(lines, nil)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readStream(t testing.TB, path string) (steps []recordedStep) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // only read
	z, err := gzip.NewReader(bufio.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	d := json.NewDecoder(z)
	d.DisallowUnknownFields()
	for {
		var step recordedStep
		if err := d.Decode(&step); err == io.EOF {
			return steps
		} else if err != nil {
			t.Fatalf("%s: step %d: %v", path, len(steps), err)
		}
		steps = append(steps, step)
	}
}
