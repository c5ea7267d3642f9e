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
	eventNames = names[EventKind]{Started: "started", Arrived: "arrived", StreamBegan: "stream_began", Noted: "noted",
		Answered: "answered", ClientLeft: "client_left", TimerDue: "timer_due", Listed: "listed", Probed: "probed",
		Heard: "heard", Stopping: "stopping", Planned: "planned", Restated: "restated", Taught: "taught",
		Parted: "parted", Elder: "elder"}
	resultNames = names[Result]{0: "", Done: "done", Failed: "failed", Full: "full", TimedOut: "timed_out",
		Unreachable: "unreachable", Reset: "reset", Retracted: "retracted", Moot: "moot"}
	listNames = names[ListKind]{0: "", WholeList: "whole", CachedList: "cached", ListChanges: "changes",
		ListFailed: "failed"}
	stateNames  = names[EngineState]{Gone: "", Ready: "ready", Draining: "draining"}
	actionNames = names[ActionKind]{Dispatch: "dispatch", Throttle: "throttle", CancelForGood: "cancel_for_good",
		Retract: "retract", Terms: "terms", Timer: "timer", Probe: "probe", CloseIdle: "close_idle", Tell: "tell",
		Track: "track", ListAll: "list_all", Log: "log", Fault: "fault"}
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
	r := recordedEvent{Kind: eventNames.name(ev.Kind), Seed: ev.Seed, Settings: ev.Facts, Job: uint32(ev.Job),
		Type: uint8(ev.Type), Tenant: uint32(ev.Tenant), Key: uint64(ev.Key), Left: int64(ev.Left), Cost: int64(ev.Cost),
		CostKnown: ev.CostKnown, Repeat: ev.Repeat, Write: ev.Write, MemoryMB: recordedFloat(ev.MemoryMB),
		Tables: int64(ev.Tables), Needs: uint8(ev.Needs), Seq: uint16(ev.Seq), Engine: uint32(ev.Engine),
		Result: resultNames.name(ev.Result), Latency: int64(ev.Latency), Final: ev.Final, Bill: ev.Bill,
		Load: each(ev.Load, func(v float64) recordedFloat { return recordedFloat(v) }), Note: uint8(ev.Note),
		Amount: recordedFloat(ev.Amount), Mark: uint64(ev.Mark), List: listNames.name(ev.List),
		Peer: uint32(ev.Peer), Said: ev.Said, On: ev.On,
		Part: recordedPart{Share: recordedFloat(ev.Part.Share), Until: int64(ev.Part.Until)}}
	r.Lines = each(ev.Lines, func(l Line) recordedEngine {
		return recordedEngine{uint32(l.Engine), uint8(l.Zone), uint16(l.Kind), uint16(l.Cell), stateNames.name(l.State),
			recordedFloat(l.Size), int64(l.StartedAt), uint8(l.Deaf)}
	})
	if p := ev.Plan; p != nil {
		r.Plan = &recordedPlan{Idle: p.Idle, Demand: recordedFloat(p.Demand), Factor: recordedFloat(p.Factor),
			Tenants: each(p.Tenants, func(v PlanTenant) recordedPlanTenant {
				return recordedPlanTenant{uint32(v.Tenant), recordedFloat(v.Part)}
			}),
			Engines: each(p.Engines, func(v PlanEngine) recordedPlanEngine {
				return recordedPlanEngine{uint32(v.Engine), recordedFloat(v.Threads)}
			}),
			Weights: each(p.Weights, func(v PlanWeight) recordedPlanWeight {
				return recordedPlanWeight{uint8(v.Type), uint32(v.Engine), recordedFloat(v.Weight)}
			})}
	}
	if ev.Part.Tenants != nil {
		r.Part.Tenants = map[uint32]recordedFloat{}
		for id, part := range ev.Part.Tenants {
			r.Part.Tenants[uint32(id)] = recordedFloat(part)
		}
	}
	r.Means = each(ev.Means, func(m Means) recordedMeans {
		return recordedMeans{recordedFloat(m.usual), recordedFloat(m.usualN), recordedFloat(m.costBias), recordedFloat(m.costN),
			recordedFloat(m.memBias), recordedFloat(m.memDev), recordedFloat(m.memN), recordedFloat(m.best), recordedFloat(m.slow)}
	})
	r.Health = each(ev.Health, func(h Health) recordedHealth {
		return recordedHealth{uint32(h.Engine), recordedFloat(h.Slow), recordedFloat(h.Bad), h.Aside}
	})
	return r
}

func (r recordedEvent) event(t testing.TB) Event {
	t.Helper()
	ev := Event{Seed: r.Seed, Facts: r.Settings, Job: JobID(r.Job), Type: TypeID(r.Type), Tenant: TenantID(r.Tenant),
		Key: Key(r.Key), Left: Nanos(r.Left), Cost: Nanos(r.Cost), CostKnown: r.CostKnown, Repeat: r.Repeat, Write: r.Write,
		MemoryMB: float64(r.MemoryMB), Tables: TableSet(r.Tables), Needs: Speech(r.Needs), Seq: Seq(r.Seq),
		Engine: EngineID(r.Engine), Latency: Nanos(r.Latency), Final: r.Final, Bill: r.Bill,
		Load: each(r.Load, func(v recordedFloat) float64 { return float64(v) }), Note: NoteKind(r.Note),
		Amount: float64(r.Amount), Mark: Mark(r.Mark), Peer: PeerID(r.Peer), Said: r.Said, On: r.On,
		Part: Part{Share: float64(r.Part.Share), Until: Nanos(r.Part.Until)}}
	ev.Kind = eventNames.value(t, r.Kind)
	ev.Result = resultNames.value(t, r.Result)
	ev.List = listNames.value(t, r.List)
	ev.Lines = each(r.Lines, func(l recordedEngine) Line {
		state := stateNames.value(t, l.State)
		return Line{EngineID(l.Engine), ZoneID(l.Zone), KindID(l.Kind), CellID(l.Cell), state, float64(l.Size),
			Nanos(l.StartedAt), Speech(l.Deaf)}
	})
	if p := r.Plan; p != nil {
		ev.Plan = &Plan{Idle: p.Idle, Demand: float64(p.Demand), Factor: float64(p.Factor),
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
		ev.Part.Tenants = map[TenantID]float64{}
		for id, part := range r.Part.Tenants {
			ev.Part.Tenants[TenantID(id)] = float64(part)
		}
	}
	ev.Means = each(r.Means, func(m recordedMeans) Means {
		return Means{usual: float64(m.Usual), usualN: float64(m.UsualN), costBias: float64(m.CostBias), costN: float64(m.CostN),
			memBias: float64(m.MemBias), memDev: float64(m.MemDev), memN: float64(m.MemN), best: float64(m.Best), slow: float64(m.Slow)}
	})
	ev.Health = each(r.Health, func(h recordedHealth) Health {
		return Health{EngineID(h.Engine), float64(h.Slow), float64(h.Bad), h.Aside}
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
			actionNames.name(a.Kind), a.Job, a.Engine, a.Seq, a.Span, a.Until, a.Priority, a.MemoryMB, a.Mark, a.Peer, a.On, text)
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
	put(uint64(c.chance), len(c.live), len(c.jobs), len(c.buckets), len(c.lines), len(c.tenants), len(c.taken), len(c.further))
	put(c.cores, c.crowd, c.share, c.guess, c.reach, c.outJobs, c.outThreads, c.outGrants, c.off, c.offN)
	put(c.slowMean, c.badMean, c.arrivals, c.worthMean, c.workMean, c.spanMean, c.holdMean)
	put(c.probesLeft, c.spare, c.hold, c.offered, c.wordsLeft, c.mapsLeft, c.round, c.untold, c.next)
	put(c.priced, c.pressed, c.tracked)
	for _, t := range c.types {
		put(t.parked, int64(t.taught), t.price)
		for _, v := range t.parts() {
			put(*v)
		}
	}
	for _, e := range c.engines {
		put(uint32(e.Engine), len(e.flights), e.threads, e.grants, e.others, e.said, e.failed, e.done, e.toldFailed, e.toldDone)
		put(e.bound, e.slow, e.bad, int64(e.rest), e.strikes, e.passed, e.place, len(e.sent), fmt.Sprint(e.held))
		put(e.down, e.pressed, e.aside, e.asked, int64(e.fullUntil), int64(e.back), int64(e.heard), int64(e.reported))
	}
	for _, s := range c.View(now) {
		put(uint32(s.Engine), s.Jobs, s.Threads, s.Others, int64(s.Reported), int64(s.Heard), s.Out)
	}
	for _, s := range c.Health() {
		put(uint32(s.Engine), s.Slow, s.Bad, s.Aside)
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
