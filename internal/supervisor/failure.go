package supervisor

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"swiftreel/internal/change"
)

// errFileRefused is the failure of an order whose operator file the running controller has rejected.
var errFileRefused = errors.New("the controller refuses the file: its log says why (reload_failed)")

// ProgramMismatchError means that the digest of a program file is not the ordered one.
type ProgramMismatchError struct {
	Path    string
	Found   change.Digest
	Ordered change.Digest
}

// Error returns a message with both digests.
func (e *ProgramMismatchError) Error() string {
	return fmt.Sprintf("%s is %s, ordered was %s", e.Path, e.Found, e.Ordered)
}

// verifyProgram reports whether a program file has the ordered digest. If not, it records the failure of the order.
func (s *Supervisor) verifyProgram(program change.Program) bool {
	digest, err := change.FileDigest(program.Path)
	if err == nil && digest != program.Digest {
		err = &ProgramMismatchError{Path: program.Path, Found: digest, Ordered: program.Digest}
	}
	return s.recordFailure(err)
}

// recheckFailure clears the failure of an order once the program file has the ordered digest.
func (s *Supervisor) recheckFailure(program change.Program) {
	verified := s.verifyProgram(program)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureCheckedAt = time.Now()
	if verified {
		slog.Info("order_recovered", "previous_reason", s.failure)
		s.failure = ""
	}
}

// recordFailure stores err as the reason why the order cannot be carried out, unless a reason is stored already. It
// reports whether err is nil.
func (s *Supervisor) recordFailure(err error) bool {
	if err == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == "" {
		s.failure = err.Error()
		slog.Error("order_failed", "reason", err)
	}
	return false
}
