package choice

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of event. The comments name the fields of Event that each sets.
const (
	Started             EventKind = iota + 1 // the first event: Seed, Settings
	JobArrived                               // a client sent a job: Job to RequiredProtocols
	StreamStarted                            // a job's answer is being sent to the client: Job
	ProgressReported                         // an attempt reported progress: Job, Seq, Engine, Progress, Amount
	AttemptEnded                             // an attempt ended: Job, Seq, Engine, Result to ConnectedAt
	ClientDisconnected                       // the client disconnected before the final answer: Job
	TimerFired                               // TimerID
	EnginesListed                            // discovery reported an endpoint list: List, Engines
	ProbeCompleted                           // a probe ended: Engine, Result, Latency, Load, ConnectedAt
	GossipReceived                           // a peer sent a gossip message: Peer, Payload
	Stopping                                 // this process will end; answers are still sent within TimeLeft
	PlanUpdated                              // from now on a plan is followed, or none: Plan
	Reconfigured                             // the settings changed, and all other state stays: Settings
	StateTransferred                         // a predecessor handed over its state: TypeStats, EngineHealth
	QuotaAssigned                            // this controller's quota was assigned: Quota
	PredecessorChanged                       // a predecessor still serves its jobs, or ended: PredecessorRunning
	ClockStepped                             // the wall clock was set: ClockOffset
	SuccessorChanged                         // a successor that does not link started, or ended: SuccessorRunning
	SuccessorLinked                          // from now on the successor grants the locks of ordering keys
	SuccessorUnlinked                        // the linked successor ended
	PredecessorLinked                        // from now on the predecessor requests its locks of ordering keys here
	PredecessorUnlinked                      // the linked predecessor ended
	KeyLockRequested                         // by the predecessor: Job, Key, MayBeRunning, ReceivedAfter, -Before
	KeyLockReleased                          // by the predecessor: Job (0: only a pause), Key (0: all keys), Pause
	KeyLockGranted                           // by the successor: Job
	KeyLockRefused                           // by the successor, as a later job of the key may have begun: Job
)

// Result is how an attempt or a probe ended.
type Result uint16

// The results of attempts and probes.
const (
	Done              Result = iota + 1
	Failed                   // the engine answered with an error
	Full                     // the engine refused it for lack of capacity
	TimedOut                 // no answer within the job timeout
	ConnectionRefused        // the engine refused the connection
	Reset                    // the connection broke
	Canceled                 // canceled at this controller's request
	Superseded               // the attempt was never sent
	DialFailed               // no connection was made for another reason, such as a timeout
)

// NeverRan reports whether the result proves that the engine did not run the attempt.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectionRefused || r == Superseded || r == DialFailed
}

// ProgressKind is the kind of a progress report.
type ProgressKind uint8

// The kinds of progress report.
const (
	ProgressFraction ProgressKind = iota + 1 // Amount is the finished fraction, from 0 to 1
	ProgressSpilling                         // Amount is the missing memory
	ProgressWaiting                          // the attempt waits for tables
)

// ListKind is the kind of an endpoint list.
type ListKind uint8

// The kinds of endpoint list.
const (
	FullList   ListKind = iota + 1 // all engines; those not in it are removed
	CachedList                     // all engines, as of an earlier time
	ListDelta                      // only changed engines; those not in it stay unchanged
	ListFailed                     // discovery could not be read
)

// EngineState is the state of an engine in discovery.
type EngineState uint8

// The states of an engine.
const (
	Removed EngineState = iota
	Ready
	Draining // the engine accepts no new attempts
)

// Protocols is a set of protocols. The caller assigns a bit to each.
type Protocols uint8

// EngineEntry is one engine of an endpoint list.
type EngineEntry struct {
	Engine      EngineID
	Zone        ZoneID
	Kind        KindID
	Cell        CellID
	State       EngineState
	Size        float64
	StartedAt   Nanos     // 0: long ago
	Unsupported Protocols // a job that requires one of these cannot run there
}

// Quota is the share of the fleet, and of each tenant's quota, that this controller may use until it expires.
// Shares are from 0 to 1. The zero value has expired, and the controller uses its own estimate.
type Quota struct {
	FleetShare   float64
	TenantShares map[TenantID]float64
	ExpiresAt    Nanos
}

// tenantShare returns the assigned share of a tenant's quota, or fallback if none is assigned or it expired.
func (q Quota) tenantShare(id TenantID, now Nanos, fallback float64) float64 {
	if share, assigned := q.TenantShares[id]; assigned && now < q.ExpiresAt {
		return share
	}
	return fallback
}

// Event is something that happened; Kind determines which fields are set.
type Event struct {
	Kind EventKind

	Seed     uint64
	Settings *Settings // nil: defaults

	Job       JobID
	Type      TypeID
	Tenant    TenantID
	Key       Key
	TimeLeft  Nanos // until the job expires; of Stopping: until the process ends
	ArrivedAt Nanos // earliest time at which the job may have arrived, if it was read late; 0: now
	// ReceivedAfter and ReceivedBefore bound when this machine received a job; 0: now. They give the order of jobs
	// of a key that were read late, as after a stall of the process.
	ReceivedAfter     Nanos
	ReceivedBefore    Nanos
	Cost              Nanos // estimated work
	CostKnown         bool
	IsRepeat          bool // the client retries an earlier request
	IsWrite           bool
	MemoryMB          float64 // estimated; 0: unknown
	Tables            TableGroup
	RequiredProtocols Protocols // the engine must speak all of these

	Seq     AttemptSeq
	Engine  EngineID
	Result  Result
	Latency Nanos
	IsFinal bool      // the client has its final answer
	Usage   uint32    // by the attempt: ms of work << 12 | memory in units of 4 MB; 0: unknown
	Load    []float64 // the engine's load report, in the settings' order of fields; below 0: unknown
	// ConnectedAt is when the connection over which the engine answered was established: the engine has not
	// restarted since. 0: unknown.
	ConnectedAt Nanos
	Progress    ProgressKind
	Amount      float64 // see ProgressKind

	TimerID TimerID

	List    ListKind
	Engines []EngineEntry

	Peer    PeerID
	Payload []byte

	Plan *Plan // nil: none

	PredecessorRunning bool
	SuccessorRunning   bool
	MayBeRunning       bool  // an attempt of the job may be running already
	Pause              Nanos // of an ordering key, after an unknown outcome
	ClockOffset        Nanos // wall clock, which controllers share, minus the time of events
	Quota              Quota
	TypeStats          []TypeStats    // by type; implausible ones are ignored
	EngineHealth       []EngineHealth // each engine once; implausible ones are ignored
}
