package choice

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of action. The comments name the fields of Action that are set.
const (
	Dispatch           ActionKind = iota + 1 // start the job's next attempt: Job, Engine, SendDeadline
	Throttle                                 // final answer, the client may repeat the job: Job, Duration (after which)
	CancelPermanently                        // final answer, the job may have run: Job
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
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }
