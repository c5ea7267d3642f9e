package recovery

import (
	"errors"
	"fmt"

	"swiftreel/internal/store"
)

// Errors of a log that no correct run can have written.
var (
	// ErrDuplicateCall means that a call was admitted twice.
	ErrDuplicateCall = errors.New("the call was accepted before")
	// ErrUnknownCall means that a record is about a call that was never admitted.
	ErrUnknownCall = errors.New("the call was never accepted")
)

// TransitionError means that a record does not fit the state of its job.
type TransitionError struct {
	Call  CallID
	Event string // the event that was recorded
	State string // the state of the job before the event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("call %s is recorded as %s while it is %s", e.Call, e.Event, e.State)
}

// UnknownKindError means that a record has a kind that this version of the program does not know.
type UnknownKindError struct{ Kind store.Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown record kind %d", e.Kind) }
