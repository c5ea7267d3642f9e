package gateway

import (
	"time"

	"swiftreel/internal/backend"
)

// Request is a job as a client asks for it, over whatever protocol. From Submit on its byte slices belong to the
// gateway.
type Request struct {
	Type              []byte // name of the job type
	ID                []byte // of the call; it identifies dispatches at engines
	Tenant            []byte
	Key               []byte // order key; empty: none
	Statement         []byte
	IdempotencyKey    []byte        // passed on to engines; empty: none
	Timeout           time.Duration // the job timeout, from ArrivedAt
	ArrivedAt         time.Time
	ClientRetry       bool             // the client has sent it before
	EstimatedWork     time.Duration    // 0: no estimate
	EstimatedMemoryMB float64          // 0: no estimate
	Protocol          backend.Protocol // of the engines that can run it
	TableGroup        uint32           // group of tables; by the line protocol the statement names it
	Client            Client
}

// Reasons of Client.Failed that every front may translate. Any other text says why the request cannot be used.
const (
	ReasonCancelled = "cancelled for good"
	ReasonTimeout   = "job timeout"
)

// Client receives the one final answer of a job: one call of Done, Throttled or Failed, none if the client disconnects
// before. Implementations must be safe for concurrent use.
type Client interface {
	// Done delivers the result. The pages are valid until it returns.
	Done(pages [][]byte)
	// Throttled says that nothing was run; 0: there is no hint when to retry.
	Throttled(retryAfter time.Duration)
	// Failed says that the job is cancelled for good, or why it was not admitted.
	Failed(reason string)
	// OnDisconnect has a function called once if the client disconnects before the answer, at once if it has.
	OnDisconnect(disconnected func())
	// Connected looks at the connection again. It does not wait.
	Connected() bool
	// AwaitInput waits until what the client has sent so far is read, no longer than limit: it may have cancelled.
	AwaitInput(limit time.Duration)
}
