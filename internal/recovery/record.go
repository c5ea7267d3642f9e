package recovery

import (
	"encoding/json"
	"fmt"

	"swiftreel/internal/store"
)

// Kinds of record. The numbers are part of the format on disk.
const (
	KindAccepted     store.Kind = 1 // Accepted; in a checkpoint, the recorded state of a job
	KindDispatched   store.Kind = 2 // Dispatched
	KindAttemptEnded store.Kind = 3 // AttemptEnded
	KindAnswered     store.Kind = 4 // Answered
)

// CallID is the id of a job, chosen by its client.
type CallID string

// Effect says whether a job may run more than once. The values are part of the format on disk.
type Effect string

// The effects.
const (
	EffectRunOnce Effect = "run-once" // at most once: an attempt whose outcome is unknown must not be repeated
	EffectKeyed   Effect = "keyed"    // engines drop duplicates, by its idempotency key, for DedupeWindowNS
)

// Accepted records that a job was admitted. It is durable before the job counts as admitted.
type Accepted struct {
	Call           CallID `json:"call"`
	Type           string `json:"type"`
	Tenant         string `json:"tenant,omitempty"`
	Key            string `json:"key,omitempty"` // ordering key: jobs of one type and key run in the order of admission
	Effect         Effect `json:"effect"`
	DedupeWindowNS int64  `json:"window_ns,omitempty"` // of EffectKeyed; begins at the first dispatch
}

// Dispatched records that an attempt is about to be sent to an engine. It is durable before the attempt is sent.
type Dispatched struct {
	Call   CallID `json:"call"`
	Engine string `json:"engine"`
	AtNS   int64  `json:"at"` // Unix time in ns
}

// Outcome says how an attempt ended. The values are part of the format on disk.
type Outcome string

// The outcomes.
const (
	OutcomeRan      Outcome = "ran"       // the engine ran it and returned a valid answer
	OutcomeNeverRan Outcome = "never ran" // it is known not to have run
	OutcomeUnknown  Outcome = "unsure"    // it may have run
)

// AttemptEnded records the outcome of an attempt. It is durable before the client is answered.
type AttemptEnded struct {
	Call    CallID  `json:"call"`
	Outcome Outcome `json:"how"`
	Answer  []byte  `json:"answer,omitempty"` // of OutcomeRan; empty if it is too large to be stored
}

// FinalAnswer is the kind of answer that a client gets to its job. The values are part of the format on disk.
type FinalAnswer string

// The final answers.
const (
	AnswerDone      FinalAnswer = "done"
	AnswerThrottled FinalAnswer = "throttled"
	AnswerCancelled FinalAnswer = "cancelled"
)

// Answered records the final answer of a job. It is durable before the answer is sent, so that a client that asks again
// gets the same one.
type Answered struct {
	Call   CallID      `json:"call"`
	Answer FinalAnswer `json:"how"`
}

// NewRecord returns a record of a kind with the JSON encoding of a body.
func NewRecord(kind store.Kind, body any) (store.Record, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return store.Record{}, fmt.Errorf("encode a record of kind %d: %w", kind, err)
	}
	return store.Record{Kind: kind, Payload: payload}, nil
}
