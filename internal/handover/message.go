// Package handover connects the two processes of one controller while a program is replaced, so that jobs of one
// ordering key run one at a time and in order although clients send them to either process.
//
// The successor connects to the predecessor's HTTP server and upgrades the connection (RFC 9110, section 7.8). From
// then on both send messages as lines of JSON: the predecessor requests and releases locks of ordering keys, the
// successor grants them. The end of the connection means the end of a process. Package choice decides what follows.
package handover

// Kind is the kind of a message.
type Kind string

// The kinds of message. The comments name the sender and the fields of Message that each sets.
const (
	Request Kind = "request" // predecessor: a job waits for the lock of a key: Job, Key, MayBeRunning, Received...
	Release Kind = "release" // predecessor: a lock is over, or a key pauses: Job, Key, PauseNS
	Synced  Kind = "synced"  // predecessor: the locks of all earlier jobs were requested
	Grant   Kind = "grant"   // successor: the job may run: Job
	Refuse  Kind = "refuse"  // successor: the job must not run: Job
)

// Message is one message.
type Message struct {
	Kind         Kind   `json:"kind"`
	Job          uint32 `json:"job,omitempty"`            // the predecessor's number of the job; 0: none
	Key          uint64 `json:"key,string,omitempty"`     // hash of the ordering key; 0: all keys
	MayBeRunning bool   `json:"may_be_running,omitempty"` // an attempt of the job may be running
	PauseNS      int64  `json:"pause_ns,omitempty"`       // how long the key pauses from now on, in nanoseconds
	// Bounds of the time at which the job was received, in nanoseconds by monotonic.Uptime.
	ReceivedAfterNS  int64 `json:"received_after_ns,omitempty"`
	ReceivedBeforeNS int64 `json:"received_before_ns,omitempty"`
}
