package audit

import (
	"slices"
	"testing"
	"time"

	"swiftreel/choice"
)

const (
	job        choice.JobID = 1
	later      choice.JobID = 2
	key        choice.Key   = 7
	drainGrace              = 250 * time.Millisecond
	orderPause              = 50 * time.Millisecond
)

var start = time.Unix(1000, 0)

// at is a moment after the start.
func at(after time.Duration) time.Time { return start.Add(after) }

// newTestLedger has two jobs of one key, with 10 s left each.
func newTestLedger(runOnce bool) *Ledger {
	l := NewLedger(Bounds{DrainGrace: drainGrace, OrderPause: orderPause})
	for _, id := range []choice.JobID{job, later} {
		l.Admitted(Job{ID: id, Deadline: at(10 * time.Second), RunOnce: runOnce, Key: key}, start)
	}
	return l
}

// dispatch dispatches a job after a time, given a second.
func dispatch(id choice.JobID, after time.Duration) Dispatch {
	return Dispatch{Job: id, At: at(after), Given: time.Second}
}

// end sends a job and has its attempt end.
func end(l *Ledger, id choice.JobID, result choice.Result) {
	l.Dispatched(dispatch(id, 0))
	l.Ended(id, result, start)
}

func TestEachViolationIsFoundAndItsNeighbourIsNone(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *Ledger) []Violation
		want []Violation
	}{
		{"a send", func(l *Ledger) []Violation { return l.Dispatched(dispatch(job, 0)) }, nil},
		{"unknown", func(l *Ledger) []Violation { return l.Dispatched(dispatch(9, 0)) },
			[]Violation{DispatchedForUnknownJob}},
		{"after its answer", func(l *Ledger) []Violation {
			l.Answered(job, true)
			return l.Dispatched(dispatch(job, 0))
		}, []Violation{DispatchedAfterAnswer}},
		{"twice at once", func(l *Ledger) []Violation {
			l.Dispatched(dispatch(job, 0))
			return l.Dispatched(dispatch(job, time.Second))
		}, []Violation{DispatchedTwiceAtOnce}},
		{"soon after the leave", func(l *Ledger) []Violation {
			l.ClientLeft(job, start)
			return l.Dispatched(dispatch(job, leaveSlack))
		}, nil},
		{"after the leave", func(l *Ledger) []Violation {
			l.ClientLeft(job, start)
			l.ClientLeft(job, at(time.Second))
			return l.Dispatched(dispatch(job, leaveSlack+1))
		}, []Violation{DispatchedAfterClientLeft}},
		{"given what is left", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(time.Second), Given: 9*time.Second + deadlineSlack})
		}, nil},
		{"given more", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(time.Second), Given: 9*time.Second + deadlineSlack + 1})
		}, []Violation{GivenTooMuchTime}},
		{"again after it never ran", func(l *Ledger) []Violation {
			end(l, job, choice.DialFailed)
			return l.Dispatched(dispatch(job, time.Second))
		}, nil},
		{"again after it may have run", func(l *Ledger) []Violation {
			end(l, job, choice.Reset)
			return l.Dispatched(dispatch(job, time.Second))
		}, []Violation{RepeatedAfterEffect}},
		{"within the grace", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(drainGrace), UnavailableSince: start})
		}, nil},
		{"past the grace", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(drainGrace + 1), UnavailableSince: start})
		}, []Violation{DispatchedToUnavailable}},
		{"after the earlier of its key", func(l *Ledger) []Violation {
			end(l, job, choice.Done)
			return l.Dispatched(dispatch(later, 0))
		}, nil},
		{"beside the earlier of its key", func(l *Ledger) []Violation {
			l.Dispatched(dispatch(job, 0))
			return l.Dispatched(dispatch(later, 0))
		}, []Violation{DispatchedOutOfOrder}},
		{"after a later one of its key", func(l *Ledger) []Violation {
			end(l, later, choice.Done)
			return l.Dispatched(dispatch(job, 0))
		}, []Violation{DispatchedOutOfOrder}},
		{"again after no byte went out", func(l *Ledger) []Violation {
			l.Dispatched(dispatch(job, 0))
			l.Withdrawn(job)
			return l.Dispatched(dispatch(job, 0))
		}, nil},
		{"while its key pauses", func(l *Ledger) []Violation {
			end(l, job, choice.Canceled)
			l.Removed(job)
			return l.Dispatched(dispatch(later, orderPause-1))
		}, []Violation{DispatchedWhileKeyPauses}},
		{"after its key's pause", func(l *Ledger) []Violation {
			end(l, job, choice.Canceled)
			l.Removed(job)
			return l.Dispatched(dispatch(later, orderPause))
		}, nil},
		{"done without a send", func(l *Ledger) []Violation { return l.Ended(job, choice.Done, start) },
			[]Violation{EndedWithoutDispatch}},
		{"refused", func(l *Ledger) []Violation { return l.Answered(job, true) }, nil},
		{"answered twice", func(l *Ledger) []Violation {
			l.Answered(job, false)
			return l.Answered(job, false)
		}, []Violation{AnsweredTwice}},
		{"refused while it is out", func(l *Ledger) []Violation {
			l.Dispatched(dispatch(job, 0))
			return l.Answered(job, true)
		}, []Violation{RefusedAfterEffect}},
		{"failed after it may have run", func(l *Ledger) []Violation {
			end(l, job, choice.Failed)
			return l.Answered(job, false)
		}, nil},
	} {
		if got := c.play(newTestLedger(true)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	repeatable := newTestLedger(false)
	end(repeatable, job, choice.Reset)
	if got := repeatable.Dispatched(dispatch(job, time.Second)); slices.Contains(got, RepeatedAfterEffect) {
		t.Errorf("a repeatable job sent again: %v", got)
	}
}

func TestTheLedgerIsEmptiedWithItsJobs(t *testing.T) {
	l := newTestLedger(true)
	for id := choice.JobID(10); id < 10+4*sweepEvery; id++ {
		l.Admitted(Job{ID: id, Key: choice.Key(id)}, start)
		l.Removed(id)
		l.Removed(id)
	}
	l.Removed(job)
	l.Removed(later)
	if l.OpenJobs() != 0 || len(l.keys) > sweepEvery {
		t.Errorf("%d jobs and %d keys are left", l.OpenJobs(), len(l.keys))
	}
}
