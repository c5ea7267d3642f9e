package choice

import (
	"strconv"
	"strings"
)

// Nanos is a point in time or a span, in whole nanoseconds.
type Nanos int64

// Each kind of id is a type of its own.
type (
	JobID      uint32
	EngineID   uint32
	Key        uint64
	TypeID     uint8
	TenantID   uint32
	ZoneID     uint8
	KindID     uint16
	CellID     uint16
	AttemptSeq uint16
	PeerID     uint32
	TimerID    uint64
	TableGroup int64
)

// EventKind says what happened.
type EventKind uint8

// The events that a controller is told of.
const (
	Started EventKind = iota + 1
	JobArrived
	StreamStarted
	ProgressReported
	AttemptEnded
	ClientDisconnected
	TimerFired
	EnginesListed
	ProbeCompleted
	GossipReceived
	Stopping           // this controller is about to end
	PlanUpdated        // a plan is to be followed from now on, or none any more
	Reconfigured       // the settings anew (Facts); what was taken in and learned stays
	StateTransferred   // what an older process of this controller has learned (Means, by type)
	QuotaAssigned      // what we carry of the fleet, for a while (Part)
	PredecessorChanged // an older process of this controller serves on what it owes (On), or has ended
)

// Result is how a dispatch or a probe ended.
type Result uint16

// The results, by the field's names for them.
const (
	Done Result = iota + 1
	Failed
	Full
	TimedOut
	Unreachable
	Reset
	Canceled
	Superseded
)

// NeverRan tells whether the result proves that the dispatch had no effect.
func (r Result) NeverRan() bool { return r == Full || r == Unreachable || r == Superseded }

// NoteKind is what a note on a running dispatch speaks of.
type ProgressKind uint8

// The kinds of note.
const (
	ProgressFraction ProgressKind = iota + 1
	ProgressSpilling
	ProgressWaiting
)

// ListKind says how a list of engines is to be read.
type ListKind uint8

// The kinds of list.
const (
	FullList ListKind = iota + 1
	CachedList
	ListDelta
	ListFailed
)

// EngineState is what discovery says of an engine.
type EngineState uint8

// The states of an engine.
const (
	Removed EngineState = iota
	Ready
	Draining
)

// Speech is a set of protocols. Which bit is which is the gateway's affair.
type Protocols uint8

// Line is one engine in a list.
type EngineEntry struct {
	Engine      EngineID
	Zone        ZoneID
	Kind        KindID
	Cell        CellID
	State       EngineState
	Size        float64
	StartedAt   Nanos
	Unsupported Protocols // to jobs that need one of these
}

// Event is something that happened; Kind says which of the fields count.
type Event struct {
	Kind EventKind

	Seed     uint64 // Started
	Settings RawSettings

	Job               JobID // Arrived, and all that speak of a job
	Type              TypeID
	Tenant            TenantID
	Key               Key
	TimeLeft          Nanos // also Stopping: in which answers are sure to go out
	Cost              Nanos
	CostKnown         bool
	IsRepeat          bool
	IsWrite           bool
	MemoryMB          float64
	Tables            TableGroup
	RequiredProtocols Protocols // protocols of which the engine must speak all

	Seq      AttemptSeq // Answered, Noted, StreamBegan, Probed
	Engine   EngineID
	Result   Result
	Latency  Nanos
	IsFinal  bool
	Usage    uint32
	Load     []float64
	Progress ProgressKind
	Amount   float64

	TimerID TimerID // TimerDue

	List    ListKind // Listed
	Engines []EngineEntry

	Peer    PeerID // Heard
	Payload []byte

	Plan *Plan // Planned; nil: none

	PredecessorRunning bool           // Elder
	Quota              Quota          // Parted
	TypeStats          []TypeStats    // Taught: by type; one that is not sound teaches nothing
	EngineHealth       []EngineHealth // Taught: of engines, each once
}

// ActionKind says what is to be done.
type ActionKind uint8

// The actions that a controller may ask for.
const (
	Dispatch ActionKind = iota + 1
	Throttle
	CancelPermanently
	CancelAttempt
	SetDispatchOptions
	SetTimer
	SendProbe
	CloseIdle
	SendGossip
	WatchEngines
	ListEngines
	Log
	Fault
)

// Action is something to be done; Kind says which of the fields count.
type Action struct {
	Kind         ActionKind
	Job          JobID
	Engine       EngineID
	Seq          AttemptSeq
	Duration     Nanos // Dispatch: time-out; Throttle: retry-after; Timer: delay
	SendDeadline Nanos // Dispatch: later than this not one byte of it may go out, and it never ran
	Priority     uint8
	MemoryMB     float64
	TimerID      TimerID
	Peer         PeerID // Tell
	Enabled      bool   // Track
	Text         string // Log, Fault, and what Tell says
}

// Part is what this controller carries of the fleet, over 0 to 1, and of tenants' quotas, 0 to 1, until a time. Told by
// nobody, it is zero.
type Quota struct {
	FleetShare   float64
	TenantShares map[TenantID]float64
	ExpiresAt    Nanos
}

// of is our part of a tenant's quota; absent: none is told.
func (p Quota) of(id TenantID, now Nanos, absent float64) float64 {
	if part, told := p.TenantShares[id]; told && now < p.ExpiresAt {
		return part
	}
	return absent
}

// none is a bucket without jobs.
var none = &bucket{}

// Plan is what was worked out ahead, as far as it bears on this controller. All rules, bounds and judgements of health
// stand above it.
type Plan struct {
	Tenants        []PlanTenant // each once
	Engines        []PlanEngine // each once: those that it gives threads
	Weights        []PlanWeight // each pair once
	IdleEngines    []EngineID   // known to it, and given nothing
	DemandThreads  float64      // threads asked for in the whole fleet
	MaxDemandRatio float64      // where so many times more is asked, or less, it does not hold

	parts   map[TenantID]float64 // the same, to look up
	engines map[EngineID]planPart
	all     float64 // threads
	since   Nanos
}

// planPart is what a plan has for an engine.
type planPart struct {
	weights []float64 // by type
	threads float64
}

// of tells it; strange: the plan does not know the engine. Without a plan nothing is strange.
func (p *Plan) of(id EngineID) (weights []float64, threads float64, strange bool) {
	if p == nil {
		return nil, 0, false
	}
	e, known := p.engines[id]
	return e.weights, e.threads, !known
}

// indexed is the plan with its tables for looking up, followed from now on.
func (p *Plan) indexed(now Nanos) *Plan {
	if p == nil {
		return nil
	}
	p.parts, p.engines, p.all = map[TenantID]float64{}, map[EngineID]planPart{}, 0
	for _, t := range p.Tenants {
		p.parts[t.Tenant] = t.Share
	}
	for _, id := range p.IdleEngines {
		p.engines[id] = planPart{}
	}
	for _, e := range p.Engines {
		p.engines[e.Engine] = planPart{threads: e.Threads}
		p.all += e.Threads
	}
	for _, w := range p.Weights {
		e := p.engines[w.Engine]
		for len(e.weights) <= int(w.Type) {
			e.weights = append(e.weights, 0)
		}
		e.weights[w.Type] = w.Weight
		p.engines[w.Engine] = e
	}
	p.all, p.since = max(1, p.all), now
	return p
}

// PlanTenant is a tenant's part of all threads.
type PlanTenant struct {
	Tenant TenantID
	Share  float64
}

// PlanEngine is the threads that a plan counts on at an engine.
type PlanEngine struct {
	Engine  EngineID
	Threads float64
}

// PlanWeight is how much an engine is meant for a type's jobs, from 0 to 1 at the engine meant for them most.
type PlanWeight struct {
	Type   TypeID
	Engine EngineID
	Weight float64
}

// Controller decides for one instance.
type Controller struct {
	facts                                       RawSettings
	chance                                      pcg
	acts                                        []Action
	tick                                        TimerID // of the last timer set
	now, booted, swept, asked, until            Nanos   // asked: for changes of the list; until: we stop
	alone                                       Nanos   // since when no older process of ours runs: far ahead while one does
	outage, refused, reportedLast               Nanos   // engines refuse since, and last did; last report
	saved                                       Nanos   // when a probe was last paid for
	warmWithin, grace, step, period, retryAfter Nanos   // step: between batches; period: between notes
	zone                                        ZoneID
	probes, cancels, swaps, grants              bool // grants: ours are heeded
	priced, pressed, tracked                    bool
	even, guess, share                          float64 // 1/controllers; what we carry by the reports where more; or as told
	mostTries, controllers, me                  int
	reach, concurrentAt, grantedAt              int     // engines looked at; places in a report: jobs in hand, memory
	crossing, grantMost                         float64 // price of crossing; part of a memory that a job gets at most
	cores, crowd                                float64 // of ready engines; threads a core over the fleet, by reports
	outJobs, outThreads, outGrants              float64 // ours out of late
	off, offN                                   float64 // of answers: log of the time taken over the time expected
	slowMean, badMean                           float64 // of engines not aside: latency over best, part lost or failed
	arrivals, worthMean, workMean               float64
	spanMean, holdMean                          float64 // of jobs taken: work/threads, and memory times that
	probesLeft, spare                           float64 // probes, and further dispatches of what may have run, paid for
	types                                       []*jobType
	engines                                     []*engine                // by id; a gone one leaves once nothing is out
	jobs                                        map[JobID]*job           // until over and nothing is out
	live                                        []*job                   // the same, in order of arrival
	buckets                                     []*bucket                // emptied by completions, dropped once idle
	lines                                       map[Key]*keyLine         // dropped when empty and rested
	tenants                                     map[TenantID]*tenantSeen // dropped after tenantMemory
	taken, further                              []Nanos                  // inside the rationing window
	part                                        Quota                    // told by the fleet's owner
	plan                                        *Plan                    // worked out ahead; nil: none
	hold, offered                               float64                  // how far it is followed; threads asked of us
	words                                       []word                   // of siblings, by number, at those who gather
	said                                        string                   // our last word
	saidAt, mapAt, mapped                       Nanos                    // our last word; last map heard, and sent
	wordsLeft, mapsLeft                         float64                  // points for them
	round                                       int
	untold, next                                int // jobs taken since our word; map's next engine
}

// typeTerms are a reservation type's settings, read at the start and again when they are restated.
type typeTerms struct {
	id                    TypeID
	threads               float64
	aim, window           Nanos
	stretch, worth, late  float64
	repeatable, keyed     bool
	scope                 string
	ordered, holds, waits bool
	zones, kinds          []any
}

// jobType is what is known of a reservation type: its settings, and what answers taught.
type jobType struct {
	typeTerms
	TypeStats
	parked int
	taught Nanos   // when an answer last told of its slowness
	price  float64 // in mean billed values for a second of work
}

// Means is what jobs taught of a reservation type.
type TypeStats struct {
	usual, usualN         float64 // mean work of a job, ns
	costBias, costN       float64 // log of true work over estimate
	memBias, memDev, memN float64 // log of true memory over estimate, its mean deviation
	best, slow            float64 // latency over (work / threads): the best seen, and lately
}

// Health is what jobs taught of an engine.
type EngineHealth struct {
	Engine                    EngineID
	LatencyRatio, FailureRate float64 // latency over best; part lost or failed
	Ejected                   bool
}

// job is a job taken that is not over, or has a dispatch out.
type job struct {
	id                        JobID
	typ                       *jobType
	bucket                    *bucket
	key                       Key
	tables                    TableGroup
	arrived, ready, due, lost Nanos // ready: its key lets it go; due: the SLA time ends; lost: the job timeout
	work, memory, worth       float64
	needs                     Protocols
	dispatches                int
	looks                     []*engine // engines that it may go to, drawn at looked
	looked                    Nanos
	flight                    *flight // the dispatch that is out: at most one
	firstAt                   Nanos   // when the first dispatch that may have run was sent, and to whom
	first, last               *engine
	mayHaveRun                bool // some dispatch is not proved never to have run
	parked, over, streaming   bool
}

// flight is a dispatch whose outcome has not come.
type flight struct {
	job            *job
	engine         *engine
	seq            AttemptSeq
	sent           Nanos
	noted          Nanos // the last note on it came
	still          Nanos // of its time that this controller itself stood still
	expect, memory float64
	called, blamed bool // retracted; counted as lost
}

// engine is what is known of an engine.
type engine struct {
	EngineEntry
	cores, memory, threads, grants, others float64 // threads, grants: ours; others: siblings' threads
	said                                   float64 // threads of ours, by our last word
	held                                   []byte  // marks of tables that siblings' loads hold, as told at heldAt
	heldAt                                 Nanos
	failed, done                           int     // outcomes since our last word
	toldFailed, toldDone                   float64 // those that siblings told of, of late
	bound, slow, bad                       float64 // slow: latency over best; bad: part lost or failed
	flights                                []*flight
	heard                                  Nanos // of it, by any answer or note
	back                                   Nanos // it is thought to have started, untold
	down                                   bool  // refused connections when last tried
	pressed, aside, asked                  bool  // asked: a probe is out
	fullUntil, stepped, halved, since      Nanos
	rest, probed, reported, loaded         Nanos // reported: by itself (loaded) or by siblings
	strikes, passed, place                 int
	sent                                   []sentWork
}

// sentWork is usual work sent to a cold engine; forgotten after the window of the rule.
type sentWork struct {
	at   Nanos
	work float64
}

// bucket is one reservation type of one tenant.
type bucket struct {
	typ    *jobType
	tenant TenantID
	used   float64 // threads out
	waited float64 // its head, for room, in SLA times
	fifo   []*job
	seen   Nanos
}

// keyLine is the order of one key.
type keyLine struct {
	jobs []*job
	rest Nanos
}

// tenantSeen is a tenant's share of late.
type tenantSeen struct {
	at     Nanos
	credit float64 // jobs it may still send inside its share
}

// Facts are the settings handed over at the start: a plain map of names to values, read by dotted
// path ("limits.probes", "classes.2.gain"). What is absent, or of another sort, gives the caller's value.
type RawSettings map[string]any

func (f RawSettings) at(path string) any {
	var v any = map[string]any(f)
	for path != "" {
		var name string
		name, path, _ = strings.Cut(path, ".")
		switch x := v.(type) {
		case map[string]any:
			v = x[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

func (f RawSettings) num(path string, absent float64) float64 {
	if v, ok := f.at(path).(float64); ok {
		return v
	}
	return absent
}

func (f RawSettings) span(path string) Nanos { return Nanos(f.num(path, 0)) }

func (f RawSettings) flag(path string) bool { v, _ := f.at(path).(bool); return v }

func (f RawSettings) text(path string) string { v, _ := f.at(path).(string); return v }

func (f RawSettings) list(path string) []any { v, _ := f.at(path).([]any); return v }
