package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/monotonic"
)

const (
	orderFileName = "held.json"
	stateDirMode  = 0o700
	stateFileMode = 0o600
)

// ErrOrderNotRecorded is returned for an order that could not be written to the state directory. The previous order
// stays in force.
var ErrOrderNotRecorded = errors.New("the order cannot be recorded")

// WrongMemberError means that an order for one member was sent to another.
type WrongMemberError struct {
	Addressed string
	Reached   string
}

// Error returns a message with both members.
func (e *WrongMemberError) Error() string {
	return fmt.Sprintf("an order for %s has reached %s", e.Addressed, e.Reached)
}

// AcceptOrder puts an order of the rollout coordinator into force. If it refuses the order, it returns a
// WrongMemberError, ErrOrderNotRecorded or an error of change.AcceptedOrder.Accept. An order that is in force already
// is accepted without effect.
func (s *Supervisor) AcceptOrder(order change.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOrderAt = time.Now()
	if order.Member != s.options.Name {
		return &WrongMemberError{Addressed: order.Member, Reached: s.options.Name}
	}
	next, isNew, err := s.order.Accept(order)
	if err != nil || !isNew {
		return err
	}
	if err := writeJSON(s.statePath(orderFileName), next); err != nil {
		return errors.Join(ErrOrderNotRecorded, err)
	}
	if next.Spec.Digest() != s.order.Spec.Digest() {
		s.failure = ""
		slog.Info("order_accepted", "fence", next.Fence.String(), "ordered_by", next.CoordinatorID,
			"spec", next.Spec.Digest(), "drain", next.Drain, "reason", order.Reason)
	}
	s.order = next
	s.wakeUp()
	return nil
}

// AcceptAssignment puts an assignment of the fleet's leader into force, or returns an error of
// assignment.Accepted.Accept. The assignment is kept only in memory, as it is valid only for this incarnation.
func (s *Supervisor) AcceptAssignment(incoming assignment.Assignment) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.assignment.Accept(incoming, s.options.Name, s.incarnation, monotonic.Now())
	if err != nil {
		return err
	}
	if next.Term != s.assignment.Term || next.Plan != s.assignment.Plan {
		slog.Info(
			"assignment_accepted",
			"term",
			next.Term,
			"sequence",
			next.Sequence,
			"leader",
			next.Leader,
			"plan",
			next.Plan,
		)
	}
	s.assignment = next
	s.wakeUp()
	return nil
}

// loadOrder reads the stored order. If there is none, it returns the initial order.
func (s *Supervisor) loadOrder() (change.AcceptedOrder, error) {
	if err := os.MkdirAll(s.options.StateDir, stateDirMode); err != nil {
		return change.AcceptedOrder{}, err
	}
	path := s.statePath(orderFileName)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s.initialOrder()
	}
	if err != nil {
		return change.AcceptedOrder{}, err
	}
	var order change.AcceptedOrder
	if err := json.Unmarshal(text, &order); err != nil {
		return change.AcceptedOrder{}, fmt.Errorf(
			"%s: %w: remove it only if every coordinator of old changes is gone",
			path,
			err,
		)
	}
	return order, nil
}

// initialOrder returns the order that is in force until the first one is accepted. It is derived from the operator's
// file and the options.
func (s *Supervisor) initialOrder() (change.AcceptedOrder, error) {
	digest, err := change.FileDigest(s.options.ProgramPath)
	if err != nil {
		return change.AcceptedOrder{}, err
	}
	plan, err := s.operatorPlan()
	if err != nil {
		return change.AcceptedOrder{}, err
	}
	return change.AcceptedOrder{Spec: change.Spec{
		Program:  change.Program{Path: s.options.ProgramPath, Digest: digest},
		Topology: s.operatorFile[topologyKey],
		Plan:     plan,
	}}, nil
}

func (s *Supervisor) statePath(name string) string {
	return filepath.Join(s.options.StateDir, name)
}

// writeJSON atomically replaces a file by the JSON encoding of value: after a crash of the machine the file holds
// either the old or the new contents.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if err := failpoint.BeforeWrite(); err != nil {
		return err
	}
	return renameio.WriteFile(path, text, stateFileMode)
}
