package choice

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of action. The comments name the fields of Action that each sets.
const (
	Dispatch           ActionKind = iota + 1 // start the job's next attempt: Job, Engine, SendDeadline
	Throttle                                 // final answer; the client may retry the job: Job, Duration, Reason
	CancelPermanently                        // final answer; the job may have run: Job, Reason
	CancelAttempt                            // Job, Seq
	SetDispatchOptions                       // for the Dispatch that follows: Job, Priority, MemoryMB
	SetTimer                                 // Duration, TimerID
	SendProbe                                // Engine
	CloseIdle                                // close idle connections: Engine
	SendGossip                               // Peer, Payload
	WatchEngines                             // start or stop watching the endpoint list: Enabled
	ListEngines                              // request the full endpoint list from discovery
	Log                                      // Text
	Fault                                    // report an internal error of this program: Text
	RequestKeyLock                           // from the successor: Job, Key, ReceivedAfter, -Before, Enabled if it may run
	ReleaseKeyLock                           // to the successor, with the pause that the key needs: Job, Key, Duration
	GrantKeyLock                             // to the predecessor: Job
	RefuseKeyLock                            // to the predecessor: Job
)

// Action is one action for the caller to carry out; Kind determines which fields are set.
type Action struct {
	Kind   ActionKind
	Job    JobID
	Engine EngineID
	Seq    AttemptSeq
	Key    Key
	// ReceivedAfter and ReceivedBefore are those of the job's event.
	ReceivedAfter  Nanos
	ReceivedBefore Nanos
	Duration       Nanos
	SendDeadline   Nanos // no byte of the attempt may be sent later; an attempt not sent by then is Superseded
	Priority       uint8 // from 1, the lowest, to 3
	MemoryMB       float64
	TimerID        TimerID
	Peer           PeerID // math.MaxUint32: all peers
	Enabled        bool
	Payload        string // of a gossip message
	Text           string
	Reason         Reason
}

// Reason is why a job gets a final answer without a result. It is also the name of a counter.
type Reason string

// The reasons.
const (
	TooLateToServe  Reason = "too_late_to_serve" // the job would end after it expires, or is about to expire
	WouldNotFinish  Reason = "stopping"          // the job would end after this process stops
	OrderUnknown    Reason = "order_unknown"     // a later job of its key may have begun
	ValueTooLow     Reason = "value_too_low"     // the value of the job is below the overload price of its work
	QueueFull       Reason = "queue_full"
	NoRetryLeft     Reason = "no_retry_left"    // the attempt of the job failed, and no other is allowed
	ProgressStopped Reason = "progress_stopped" // progress reports stopped, and a retry is unsafe
)

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }
