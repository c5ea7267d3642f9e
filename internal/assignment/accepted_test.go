package assignment

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

func TestStaleRepeatedAndMisdirectedAssignmentsChangeNothing(t *testing.T) {
	assigned := func(term, sequence int64, leader string) Assignment {
		return Assignment{
			Format: change.Format, Term: term, Sequence: sequence, Leader: leader, Member: "c1", Incarnation: "x",
			Shares: quota.Shares{quota.FleetThreads: 5}, SharesUntil: 200,
		}
	}
	otherMember, otherIncarnation, tooFar := assigned(9, 9, "a"), assigned(9, 9, "a"), assigned(9, 9, "a")
	otherMember.Member = "c2"
	otherIncarnation.Incarnation = "w"
	tooFar.SharesUntil = 100 + maxExpiryAhead + 1
	var accepted Accepted
	for i, step := range []struct {
		assignment Assignment
		want       error
		text       string
	}{
		{assigned(2, 5, "a"), nil, ""},
		{assigned(2, 5, "a"), ErrStale, "comes after"},
		{assigned(2, 4, "a"), ErrStale, "comes after"},
		{assigned(2, 6, "b"), ErrOtherLeader, "is of a"},
		{assigned(1, 99, "b"), ErrStale, "comes after"},
		{assigned(2, 6, "a"), nil, ""},
		{assigned(3, 1, "b"), nil, ""},
		{assigned(2, 7, "a"), ErrStale, "comes after"},
		{otherMember, ErrOtherMember, "c2"},
		{otherIncarnation, ErrOtherIncarnation, "earlier incarnation"},
		{tooFar, ErrTooFarAhead, "ahead"},
	} {
		next, err := accepted.Accept(step.assignment, "c1", "x", 100)
		if !errors.Is(err, step.want) {
			t.Errorf("step %d: got error %v, want %v", i, err, step.want)
		}
		if err != nil && (!strings.Contains(err.Error(), step.text) || fmt.Sprint(next) != fmt.Sprint(accepted)) {
			t.Errorf("step %d: error %v, state %+v after %+v", i, err, next, accepted)
		}
		accepted = next
	}
	expired := accepted.ValidAt(200)
	if accepted.Term != 3 || accepted.ValidAt(199).Shares[quota.FleetThreads] != 5 ||
		expired.Shares != nil || expired.Term != 3 {
		t.Errorf("%+v", accepted)
	}
}

// A member follows a new plan only once it has received the plan's text. Until then the earlier plan stays in force,
// up to its own expiry.
func TestAPlanIsFollowedOnceItsTextHasArrived(t *testing.T) {
	text := json.RawMessage(`{"a":1}`)
	first, second := change.JSONDigest(text), change.JSONDigest(json.RawMessage(`{"a":2}`))
	var accepted Accepted
	accept := func(sequence int64, plan change.Digest, until int64, text json.RawMessage) {
		t.Helper()
		next := Assignment{
			Term: 1, Sequence: sequence, Leader: "a", Member: "c1", Incarnation: "x",
			Plan: plan, PlanUntil: until, PlanText: text,
		}
		var err error
		accepted, err = accepted.Accept(next, "c1", "x", 10)
		if err != nil {
			t.Fatal(err)
		}
	}
	accept(1, first, 100, nil)
	if accepted.Plan != "" {
		t.Error("the member follows a plan whose text it has not received")
	}
	accept(2, first, 110, text)
	accept(3, first, 120, nil)
	if accepted.Plan != first || accepted.PlanUntil != 120 || string(accepted.PlanText) != string(text) {
		t.Errorf("%+v", accepted)
	}
	accept(4, second, 300, nil)
	if accepted.Plan != first || accepted.PlanUntil != 120 || accepted.ValidAt(120).Plan != "" {
		t.Errorf("%+v", accepted)
	}
	accept(5, "", 0, nil)
	if accepted.Plan != "" {
		t.Error("the member still follows a plan that the leader has withdrawn")
	}
}
