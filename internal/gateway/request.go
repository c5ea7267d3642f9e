package gateway

import (
	"time"

	"swiftreel/internal/backend"
)

// Request is a client's request to run a job, independent of the protocol. The gateway owns its byte slices once it is
// submitted.
type Request struct {
	Type           []byte // name of the job type
	ID             []byte // of the call; also identifies the job's dispatches at engines
	Tenant         []byte
	Key            []byte // ordering key; empty if none
	Statement      []byte
	IdempotencyKey []byte        // passed on to engines; empty if none
	Timeout        time.Duration // the job timeout, from ArrivedAt
	ArrivedAt      time.Time
	// ReceivedAfter and ReceivedBefore bound when this machine received the request, if it was read late; otherwise zero.
	ReceivedAfter     time.Time
	ReceivedBefore    time.Time
	ClientRetry       bool             // the client is retrying an earlier request
	EstimatedWork     time.Duration    // 0 if unknown
	EstimatedMemoryMB float64          // 0 if unknown
	Protocol          backend.Protocol // that the engine must speak
	TableGroup        uint32           // group of tables; unused in the line protocol, where the statement names it
	Client            Client
}

// Reasons passed to Client.Failed that a front end may translate. Any other reason says why the request is invalid.
const (
	ReasonCancelled = "cancelled for good"
	ReasonTimeout   = "job timeout"
)

// Client receives the final answer of a job: exactly one call of Done, Throttled or Failed, or none if the client
// disconnects first. Implementations must be safe for concurrent use.
type Client interface {
	// Done delivers the result, and for how long the attempt that brought it was out. The pages are only valid until Done
	// returns.
	Done(pages [][]byte, took time.Duration)
	// Throttled says that the job was not run. A retryAfter of 0 means that there is no hint when to retry.
	Throttled(retryAfter time.Duration)
	// Failed says that the job is cancelled permanently, or why it was not admitted.
	Failed(reason string)
	// OnDisconnect registers a function to be called once if the client disconnects before the answer, immediately if it
	// already has.
	OnDisconnect(disconnected func())
	// Connected checks the connection's current state. It does not block.
	Connected() bool
	// AwaitInput waits, at most for limit, until all input that the client has sent so far is read. The input may contain
	// a cancellation.
	AwaitInput(limit time.Duration)
}
