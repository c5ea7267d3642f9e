package assignment

import (
	"encoding/json"
	"errors"
	"fmt"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

// Reasons for which a supervisor refuses an assignment.
var (
	// ErrOtherMember: the assignment is for another member.
	ErrOtherMember = errors.New("assignment for another member")
	// ErrOtherIncarnation: the assignment is for an earlier process of this member.
	ErrOtherIncarnation = errors.New("assignment for an earlier incarnation")
	// ErrStale: an assignment of the same or a later term and sequence was accepted before.
	ErrStale = errors.New("stale assignment")
	// ErrOtherLeader: the term belongs to another leader.
	ErrOtherLeader = errors.New("term of another leader")
	// ErrTooFarAhead: an expiry is further ahead than an hour.
	ErrTooFarAhead = errors.New("expiry too far ahead")
)

// Accepted is what a supervisor holds of the assignments that it has accepted. It does not outlive the process, as
// the next one is another incarnation.
type Accepted struct {
	Term        int64         `json:"reign"`
	Sequence    int64         `json:"count"`
	Leader      string        `json:"owner"`
	Shares      quota.Shares  `json:"part,omitempty"`
	SharesUntil int64         `json:"part_until_boot_ns,omitempty"`
	Plan        change.Digest `json:"plan,omitempty"`
	PlanUntil   int64         `json:"plan_until_boot_ns,omitempty"`

	PlanText json.RawMessage `json:"-"`
}

// Accept decides on an assignment for a member's incarnation. It returns what is held afterwards, or why the
// assignment is refused. now is the machine's time in nanoseconds.
func (a Accepted) Accept(next Assignment, member, incarnation string, now int64) (Accepted, error) {
	if err := a.check(next, member, incarnation, now); err != nil {
		return a, err
	}
	accepted := Accepted{
		Term:        next.Term,
		Sequence:    next.Sequence,
		Leader:      next.Leader,
		Shares:      next.Shares,
		SharesUntil: next.SharesUntil,
	}
	switch {
	case next.Plan == "":
	case len(next.PlanText) > 0:
		accepted.setPlan(next.Plan, next.PlanUntil, next.PlanText)
	case next.Plan == a.Plan:
		accepted.setPlan(a.Plan, next.PlanUntil, a.PlanText)
	default: // the plan's text has not arrived yet: the earlier plan stays until its own expiry
		accepted.setPlan(a.Plan, a.PlanUntil, a.PlanText)
	}
	return accepted.ValidAt(now), nil
}

func (a *Accepted) setPlan(plan change.Digest, until int64, text json.RawMessage) {
	a.Plan = plan
	a.PlanUntil = until
	a.PlanText = text
}

func (a Accepted) check(next Assignment, member, incarnation string, now int64) error {
	switch {
	case next.Member != member:
		return fmt.Errorf("%w: %s, this is %s", ErrOtherMember, next.Member, member)
	case next.Incarnation != incarnation:
		return ErrOtherIncarnation
	case next.Term < a.Term:
		return fmt.Errorf("%w: term %d comes after %d", ErrStale, next.Term, a.Term)
	case next.Term == a.Term && next.Leader != a.Leader:
		return fmt.Errorf("%w: term %d is of %s, not %s", ErrOtherLeader, a.Term, a.Leader, next.Leader)
	case next.Term == a.Term && next.Sequence <= a.Sequence:
		return fmt.Errorf("%w: sequence %d of term %d comes after %d", ErrStale, next.Sequence, next.Term, a.Sequence)
	case max(next.SharesUntil, next.PlanUntil) > now+maxAhead:
		return fmt.Errorf("%w: over %d s", ErrTooFarAhead, maxAhead/nsPerSecond)
	}
	return nil
}

// ValidAt returns what has not expired at a time.
func (a Accepted) ValidAt(now int64) Accepted {
	if now >= a.SharesUntil {
		a.Shares = nil
		a.SharesUntil = 0
	}
	if now >= a.PlanUntil {
		a.Plan = ""
		a.PlanUntil = 0
		a.PlanText = nil
	}
	return a
}
