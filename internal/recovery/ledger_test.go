package recovery

import (
	"errors"
	"fmt"
	"testing"

	"swiftreel/internal/store"
)

func apply(t *testing.T, ledger *Ledger, kind store.Kind, body any) error {
	t.Helper()
	r, err := NewRecord(kind, body)
	if err != nil {
		t.Fatal(err)
	}
	return ledger.Apply(r)
}

func mustApply(t *testing.T, ledger *Ledger, kind store.Kind, body any) {
	t.Helper()
	if err := apply(t, ledger, kind, body); err != nil {
		t.Fatal(err)
	}
}

// ledgerOfAllStates returns a ledger with an open job in each state in which a crash can interrupt it, and an answered
// one.
func ledgerOfAllStates(t *testing.T) *Ledger {
	t.Helper()
	outcomes := map[CallID]Outcome{
		"ran":     OutcomeRan,
		"refused": OutcomeNeverRan,
		"unsure":  OutcomeUnknown,
		"over":    OutcomeRan,
	}
	ledger := NewLedger(2)
	for _, call := range []CallID{"fresh", "out", "keyed", "stale", "ran", "refused", "unsure", "over"} {
		accepted := Accepted{Call: call, Type: "import", Key: string(call), Effect: EffectRunOnce}
		if call == "keyed" || call == "stale" {
			accepted.Effect = EffectKeyed
			accepted.DedupeWindowNS = 100
		}
		mustApply(t, ledger, KindAccepted, accepted)
		if call == "fresh" {
			continue
		}
		dispatchedAt := int64(50)
		if call == "stale" {
			dispatchedAt = 5
		}
		mustApply(t, ledger, KindDispatched, Dispatched{Call: call, Engine: "e", AtNS: dispatchedAt})
		if outcome := outcomes[call]; outcome != "" {
			mustApply(t, ledger, KindAttemptEnded, AttemptEnded{Call: call, Outcome: outcome, Answer: []byte("x")})
		}
	}
	mustApply(t, ledger, KindAnswered, Answered{"over", AnswerDone})
	return ledger
}

func describeOpenJobs(ledger *Ledger, nowNS int64) (text string) {
	for _, open := range ledger.OpenJobs(nowNS) {
		text += fmt.Sprintf("%s:%s:%v ", open.Call, open.Action, open.NeedsKeyCooldown)
	}
	return text
}

const allActions = "fresh:may go again:false out:cancel for good:true keyed:may go again:true " +
	"stale:cancel for good:true ran:repeat its answer:false refused:may go again:false unsure:cancel for good:true "

func TestRecoveryActionsOfOpenJobs(t *testing.T) {
	ledger := ledgerOfAllStates(t)
	if got := describeOpenJobs(ledger, 120); got != allActions {
		t.Errorf("%s", got)
	}
	// After the clock was set back, it is unknown whether engines still drop duplicates.
	if got := describeOpenJobs(ledger, 10); got == allActions {
		t.Errorf("%s", got)
	}
	answer, found := ledger.Answer("over")
	if !found || answer.Answer != AnswerDone || string(answer.Result) != "x" {
		t.Error(answer, found)
	}
}

func TestASnapshotHoldsTheState(t *testing.T) {
	restored := restore(t, ledgerOfAllStates(t))
	if got := describeOpenJobs(restored, 120); got != allActions || !restored.Contains("over") {
		t.Errorf("%s", got)
	}
}

func TestImpossibleRecordsAreRefused(t *testing.T) {
	ledger := ledgerOfAllStates(t)
	isTransition := func(err error) bool { return errors.As(err, new(*TransitionError)) }
	isDuplicate := func(err error) bool { return errors.Is(err, ErrDuplicateCall) }
	isUnknownCall := func(err error) bool { return errors.Is(err, ErrUnknownCall) }
	isUnknownKind := func(err error) bool { return errors.As(err, new(*UnknownKindError)) }
	for _, c := range []struct {
		name  string
		kind  store.Kind
		body  any
		isErr func(error) bool
	}{
		{"accepted twice", KindAccepted, Accepted{Call: "out"}, isDuplicate},
		{"dispatched, unknown call", KindDispatched, Dispatched{Call: "nobody"}, isUnknownCall},
		{"dispatched while in flight", KindDispatched, Dispatched{Call: "out"}, isTransition},
		{"dispatched after it ran", KindDispatched, Dispatched{Call: "ran"}, isTransition},
		{"ended while pending", KindAttemptEnded, AttemptEnded{Call: "fresh"}, isTransition},
		{"answered twice", KindAnswered, Answered{Call: "over"}, isTransition},
		{"unknown kind", 99, Accepted{}, isUnknownKind},
	} {
		if err := apply(t, ledger, c.kind, c.body); err == nil || !c.isErr(err) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestRetainedAnswersAreBounded(t *testing.T) {
	ledger := ledgerOfAllStates(t)
	for i := range 10 {
		call := CallID(fmt.Sprint("more", i))
		mustApply(t, ledger, KindAccepted, Accepted{Call: call})
		mustApply(t, ledger, KindAnswered, Answered{call, AnswerThrottled})
	}
	open, answered := ledger.Size()
	if open != 7 || answered != 2 || ledger.Contains("over") || len(ledger.jobs) != 9 {
		t.Errorf("%d open, %d answered, %d in total", open, answered, len(ledger.jobs))
	}
}

// A job is answered while an attempt that was cancelled is still in flight, as at its timeout, and other answers follow
// before the attempt ends. The failure: the record of that end was refused as one of an unknown call, so that the log
// could not be read again.
func TestAnAttemptMayEndAfterItsAnswerIsNoLongerRetained(t *testing.T) {
	for _, isRestored := range []bool{false, true} {
		ledger := NewLedger(1)
		mustApply(t, ledger, KindAccepted, Accepted{Call: "slow", Effect: EffectRunOnce})
		mustApply(t, ledger, KindDispatched, Dispatched{Call: "slow", Engine: "e", AtNS: 1})
		mustApply(t, ledger, KindAnswered, Answered{"slow", AnswerThrottled})
		for _, call := range []CallID{"next", "last"} {
			mustApply(t, ledger, KindAccepted, Accepted{Call: call})
			mustApply(t, ledger, KindAnswered, Answered{call, AnswerThrottled})
		}
		if isRestored {
			ledger = restore(t, ledger)
		}
		if list := ledger.InterruptedAttempts(); len(list) != 1 || list[0].Call != "slow" {
			t.Errorf("restored from a checkpoint: %v: interrupted: %v", isRestored, list)
		}
		if err := apply(t, ledger, KindAttemptEnded, AttemptEnded{Call: "slow", Outcome: OutcomeRan}); err != nil {
			t.Errorf("restored from a checkpoint: %v: %v", isRestored, err)
		}
		if _, answered := ledger.Size(); answered != 1 || !ledger.Contains("last") || len(ledger.jobs) != 1 {
			t.Errorf("restored from a checkpoint: %v: %d answers, %d jobs", isRestored, answered, len(ledger.jobs))
		}
	}
}

// restore returns a ledger with the limits of another, built from that one's checkpoint.
func restore(t *testing.T, ledger *Ledger) *Ledger {
	t.Helper()
	restored := NewLedger(ledger.maxAnswered)
	put := func(kind store.Kind, payload []byte) error {
		return restored.Apply(store.Record{Kind: kind, Payload: payload})
	}
	if err := ledger.Snapshot(put); err != nil {
		t.Fatal(err)
	}
	return restored
}
