package choice

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of action. The comments name the fields of Action that are set.
const (
	Dispatch           ActionKind = iota + 1 // start the job's next attempt: Job, Engine, SendDeadline
	Throttle                                 // final answer, the client may repeat the job: Job, Duration, Reason
	CancelPermanently                        // final answer, the job may have run: Job, Reason
	CancelAttempt                            // Job, Seq
	SetDispatchOptions                       // of the dispatch that follows: Job, Priority, MemoryMB
	SetTimer                                 // Duration, TimerID
	SendProbe                                // Engine
	CloseIdle                                // close idle connections: Engine
	SendGossip                               // Peer, Payload
	WatchEngines                             // ask discovery for changes of the list, or no longer: Enabled
	ListEngines                              // ask discovery for the full list
	Log                                      // Text
	Fault                                    // Text: a fault of this program
)

// Action is something to be done; Kind says which fields are set.
type Action struct {
	Kind         ActionKind
	Job          JobID
	Engine       EngineID
	Seq          AttemptSeq
	Duration     Nanos
	SendDeadline Nanos // after it not one byte of the attempt may go out: it is superseded
	Priority     uint8 // 1 to 3, the highest
	MemoryMB     float64
	TimerID      TimerID
	Peer         PeerID // math.MaxUint32: all
	Enabled      bool
	Payload      string // of a message to another controller
	Text         string
	Reason       Reason
}

// Reason says why a job gets a final answer without a result. It names a counter.
type Reason string

// The reasons.
const (
	TooLateToServe  Reason = "too_late_to_serve" // it would end after its client gives up, or is about to
	WouldNotFinish  Reason = "stopping"          // it would end after this process does
	ValueTooLow     Reason = "value_too_low"     // less than the price of the work, in an overload
	QueueFull       Reason = "queue_full"
	NoRetryLeft     Reason = "no_retry_left"    // its attempt failed, and another is not allowed
	ProgressStopped Reason = "progress_stopped" // reports on its attempt stopped, and it cannot be repeated
)

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }
