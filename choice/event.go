package choice

// EventKind says what happened.
type EventKind uint8

// The kinds of event. The comments name the fields of Event that are set.
const (
	Started            EventKind = iota + 1 // the first event: Seed, Settings
	JobArrived                              // a client sent a job: Job to RequiredProtocols
	StreamStarted                           // the answer of an attempt goes out to the client: Job
	ProgressReported                        // of an attempt: Job, Seq, Engine, Progress, Amount
	AttemptEnded                            // Job, Seq, Engine, Result to ConnectedAt
	ClientDisconnected                      // before its final answer: Job
	TimerFired                              // TimerID
	EnginesListed                           // discovery reported: List, Engines
	ProbeCompleted                          // Engine, Result, Latency, Load, ConnectedAt
	GossipReceived                          // another controller sent a message: Peer, Payload
	Stopping                                // this process ends; answers still go out within TimeLeft
	PlanUpdated                             // a plan is to be followed from now on, or none: Plan
	Reconfigured                            // the settings changed: Settings; jobs and what was learned stay
	StateTransferred                        // an older process handed over what it learned: TypeStats, EngineHealth
	QuotaAssigned                           // what we may use of the fleet until it expires: Quota
	PredecessorChanged                      // an older process still serves its jobs, or has ended: PredecessorRunning
	ClockStepped                            // the wall clock was set: ClockOffset
)

// Result is how an attempt or a probe ended.
type Result uint16

// The results of attempts and probes.
const (
	Done        Result = iota + 1
	Failed             // the engine answered with an error
	Full               // the engine refused it for want of capacity
	TimedOut           // no answer within the job timeout
	Unreachable        // no connection was made: the engine refused it
	Reset              // the connection broke
	Canceled           // canceled on our request
	Superseded         // it never went out
	DialFailed         // no connection was made, and the engine did not refuse one: it timed out, say
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	return r == Full || r == Unreachable || r == Superseded || r == DialFailed
}

// ProgressKind says what a report of progress is about.
type ProgressKind uint8

// The kinds of progress.
const (
	ProgressFraction ProgressKind = iota + 1 // Amount is the finished part, from 0 to 1
	ProgressSpilling                         // Amount is the missing memory
	ProgressWaiting                          // the attempt waits for tables
)

// ListKind says how a list of engines is to be read.
type ListKind uint8

// The kinds of list.
const (
	FullList   ListKind = iota + 1 // engines that are not in it are removed
	CachedList                     // likewise, but it may be old
	ListDelta                      // engines that are not in it are unchanged
	ListFailed                     // discovery could not be read
)

// EngineState is the state of an engine in discovery.
type EngineState uint8

// The states of an engine.
const (
	Removed EngineState = iota
	Ready
	Draining // it takes nothing new
)

// Protocols is a set of protocols, one bit each, assigned by the caller.
type Protocols uint8

// EngineEntry is one engine in a list.
type EngineEntry struct {
	Engine      EngineID
	Zone        ZoneID
	Kind        KindID
	Cell        CellID
	State       EngineState
	Size        float64
	StartedAt   Nanos     // 0: long ago
	Unsupported Protocols // a job that requires one of these cannot go there
}

// Quota is what this controller may use of the fleet, and of each tenant's quota, both from 0 to 1, until it expires.
// The zero value has expired: the controller goes by its own estimate.
type Quota struct {
	FleetShare   float64
	TenantShares map[TenantID]float64
	ExpiresAt    Nanos
}

// tenantShare is our share of a tenant's quota, or absent where none is assigned.
func (q Quota) tenantShare(id TenantID, now Nanos, absent float64) float64 {
	if share, assigned := q.TenantShares[id]; assigned && now < q.ExpiresAt {
		return share
	}
	return absent
}

// Event is something that happened; Kind says which fields are set.
type Event struct {
	Kind EventKind

	Seed     uint64
	Settings *Settings // nil: defaults

	Job               JobID
	Type              TypeID
	Tenant            TenantID
	Key               Key
	TimeLeft          Nanos // until the job expires; also of Stopping
	ArrivedAt         Nanos // when the job may have arrived, at the earliest: it has lain unread since; 0: now
	Cost              Nanos // estimated work
	CostKnown         bool
	IsRepeat          bool // the client sends the job again
	IsWrite           bool
	MemoryMB          float64 // estimated; 0: not known
	Tables            TableGroup
	RequiredProtocols Protocols // the engine must speak all of these

	Seq     AttemptSeq
	Engine  EngineID
	Result  Result
	Latency Nanos
	IsFinal bool      // the client has its final answer
	Usage   uint32    // what the attempt used: ms of work << 12 | memory in units of 4 MB; 0: not known
	Load    []float64 // the engine's load report, in the order of the settings' fields; below 0: not known
	// ConnectedAt is when the connection came up over which the engine answered: it has not restarted since. 0: not known
	ConnectedAt Nanos
	Progress    ProgressKind
	Amount      float64

	TimerID TimerID

	List    ListKind
	Engines []EngineEntry

	Peer    PeerID
	Payload []byte

	Plan *Plan // nil: none

	PredecessorRunning bool
	ClockOffset        Nanos // of the wall clock, which controllers share, over the time of events
	Quota              Quota
	TypeStats          []TypeStats    // by type; implausible ones are ignored
	EngineHealth       []EngineHealth // of each engine once
}
