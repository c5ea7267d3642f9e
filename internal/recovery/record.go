package recovery

import (
	"encoding/json"
	"fmt"

	"swiftreel/internal/store"
)

// Kinds of record. The numbers are on disk.
const (
	KindAccepted     store.Kind = 1 // Accepted, or in a checkpoint all that is known of a job
	KindDispatched   store.Kind = 2 // Dispatched
	KindAttemptEnded store.Kind = 3 // AttemptEnded
	KindAnswered     store.Kind = 4 // Answered
)

// CallID is the id of a job, as its client chose it.
type CallID string

// Effect says how often a job may run. The values are on disk.
type Effect string

// The effects.
const (
	EffectRunOnce Effect = "run-once" // at most once: an attempt whose outcome is unknown must not be repeated
	EffectKeyed   Effect = "keyed"    // idempotent: engines drop repeats of its idempotency key for some time
)

// Accepted records that a job was admitted. It is durable before the job counts as admitted.
type Accepted struct {
	Call     CallID `json:"call"`
	Type     string `json:"type"`
	Tenant   string `json:"tenant,omitempty"`
	Key      string `json:"key,omitempty"` // ordering key: jobs of one type and key run in the order of admission
	Effect   Effect `json:"effect"`
	WindowNS int64  `json:"window_ns,omitempty"` // EffectKeyed: engines drop repeats for so long after the first dispatch
}

// Dispatched records that an attempt is about to be sent to an engine. It is durable before that.
type Dispatched struct {
	Call   CallID `json:"call"`
	Engine string `json:"engine"`
	AtNS   int64  `json:"at"` // Unix time in ns
}

// Outcome says how an attempt ended. The values are on disk.
type Outcome string

// The outcomes.
const (
	OutcomeRan      Outcome = "ran"       // with a good answer
	OutcomeNeverRan Outcome = "never ran" // for certain
	OutcomeUnknown  Outcome = "unsure"    // it may have run
)

// AttemptEnded records the outcome of an attempt. It is durable before the client is answered.
type AttemptEnded struct {
	Call    CallID  `json:"call"`
	Outcome Outcome `json:"how"`
	Answer  []byte  `json:"answer,omitempty"` // of OutcomeRan, if it is small enough to be kept
}

// FinalAnswer is what a client was told of its job. The values are on disk.
type FinalAnswer string

// The final answers.
const (
	AnswerDone      FinalAnswer = "done"
	AnswerThrottled FinalAnswer = "throttled"
	AnswerCancelled FinalAnswer = "cancelled"
)

// Answered records the final answer of a job. It is durable before the answer is sent, so that a client that asks
// again is told the same.
type Answered struct {
	Call   CallID      `json:"call"`
	Answer FinalAnswer `json:"how"`
}

// NewRecord encodes the body of a record of a kind.
func NewRecord(kind store.Kind, body any) (store.Record, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return store.Record{}, fmt.Errorf("encode a record of kind %d: %w", kind, err)
	}
	return store.Record{Kind: kind, Payload: payload}, nil
}
