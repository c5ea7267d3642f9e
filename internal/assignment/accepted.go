package assignment

import (
	"encoding/json"
	"errors"
	"fmt"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

// Errors with which a supervisor rejects an assignment.
var (
	// ErrOtherMember means that the assignment is addressed to another member.
	ErrOtherMember = errors.New("assignment for another member")
	// ErrOtherIncarnation means that the assignment is addressed to an earlier process of this member.
	ErrOtherIncarnation = errors.New("assignment for an earlier incarnation")
	// ErrStale means that an assignment with the same or a later term and sequence has already been accepted.
	ErrStale = errors.New("stale assignment")
	// ErrOtherLeader means that an assignment of the same term from another leader has been accepted.
	ErrOtherLeader = errors.New("term of another leader")
	// ErrTooFarAhead means that an expiry is more than an hour in the future.
	ErrTooFarAhead = errors.New("expiry too far ahead")
)

// Accepted is the state that a supervisor keeps of the assignments it has accepted. It is not persisted: the next
// process is another incarnation and starts without it.
type Accepted struct {
	Term        int64         `json:"reign"`
	Sequence    int64         `json:"count"`
	Leader      string        `json:"owner"`
	Shares      quota.Shares  `json:"part,omitempty"`
	SharesUntil int64         `json:"part_until_boot_ns,omitempty"` // expiry of Shares, in ns of the machine's clock
	Plan        change.Digest `json:"plan,omitempty"`
	PlanUntil   int64         `json:"plan_until_boot_ns,omitempty"` // expiry of Plan, likewise

	PlanText json.RawMessage `json:"-"`
}

// Accept checks an assignment received by the given incarnation of a member. It returns the new state, or the
// unchanged state and the reason for the rejection. now is the machine's time in nanoseconds.
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
	default: // without the new plan's text the earlier plan stays in force until its own expiry
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
		return fmt.Errorf("%w: sequence %d of term %d comes after %d",
			ErrStale, next.Sequence, next.Term, a.Sequence)
	case max(next.SharesUntil, next.PlanUntil) > now+maxExpiryAhead:
		return fmt.Errorf("%w: over %d s", ErrTooFarAhead, maxExpiryAhead/nsPerSecond)
	}
	return nil
}

// ValidAt returns the state without the shares and the plan that have expired at the given time.
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
