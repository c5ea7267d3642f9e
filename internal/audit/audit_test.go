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
	keyPause                = 50 * time.Millisecond
)

var start = time.Unix(1000, 0)

// at returns the time at an offset from the start.
func at(after time.Duration) time.Time { return start.Add(after) }

// newTestLedger returns a ledger with two jobs of one key, each with a deadline in 10 s.
func newTestLedger(runOnce bool) *Ledger {
	l := NewLedger(Bounds{DrainGrace: drainGrace, KeyPause: keyPause})
	for _, id := range []choice.JobID{job, later} {
		l.Admitted(Job{ID: id, Deadline: at(10 * time.Second), RunOnce: runOnce, Key: key}, start)
	}
	return l
}

// dispatch returns a dispatch of a job at an offset from the start, with a time limit of 1 s.
func dispatch(id choice.JobID, after time.Duration) Dispatch {
	return Dispatch{Job: id, At: at(after), TimeLimit: time.Second}
}

// end dispatches a job and ends the attempt with a result.
func end(l *Ledger, id choice.JobID, result choice.Result) {
	l.Dispatched(dispatch(id, 0))
	l.Ended(id, result, start)
}

func TestEachViolationIsFoundAndItsNeighbourIsNone(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(l *Ledger) []Violation
		want []Violation
	}{
		{"a dispatch", func(l *Ledger) []Violation { return l.Dispatched(dispatch(job, 0)) }, nil},
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
		{"soon after the disconnect", func(l *Ledger) []Violation {
			l.ClientDisconnected(job, start)
			return l.Dispatched(dispatch(job, disconnectSlack))
		}, nil},
		{"after the disconnect", func(l *Ledger) []Violation {
			l.ClientDisconnected(job, start)
			l.ClientDisconnected(job, at(time.Second))
			return l.Dispatched(dispatch(job, disconnectSlack+1))
		}, []Violation{DispatchedAfterDisconnect}},
		{"given what is left", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(time.Second), TimeLimit: 9*time.Second + deadlineSlack})
		}, nil},
		{"given more", func(l *Ledger) []Violation {
			return l.Dispatched(Dispatch{Job: job, At: at(time.Second), TimeLimit: 9*time.Second + deadlineSlack + 1})
		}, []Violation{TimeLimitTooLong}},
		{"again after it never ran", func(l *Ledger) []Violation {
			end(l, job, choice.DialFailed)
			return l.Dispatched(dispatch(job, time.Second))
		}, nil},
		{"again after it may have run", func(l *Ledger) []Violation {
			end(l, job, choice.Reset)
			return l.Dispatched(dispatch(job, time.Second))
		}, []Violation{RetriedAfterPossibleRun}},
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
			return l.Dispatched(dispatch(later, keyPause-1))
		}, []Violation{DispatchedWhileKeyPauses}},
		{"after its key's pause", func(l *Ledger) []Violation {
			end(l, job, choice.Canceled)
			l.Removed(job)
			return l.Dispatched(dispatch(later, keyPause))
		}, nil},
		{"done without a dispatch", func(l *Ledger) []Violation { return l.Ended(job, choice.Done, start) },
			[]Violation{EndedWithoutDispatch}},
		{"refused", func(l *Ledger) []Violation { return l.Answered(job, true) }, nil},
		{"answered twice", func(l *Ledger) []Violation {
			l.Answered(job, false)
			return l.Answered(job, false)
		}, []Violation{AnsweredTwice}},
		{"refused while it is in flight", func(l *Ledger) []Violation {
			l.Dispatched(dispatch(job, 0))
			return l.Answered(job, true)
		}, []Violation{RefusedAfterPossibleRun}},
		{"failed after it may have run", func(l *Ledger) []Violation {
			end(l, job, choice.Failed)
			return l.Answered(job, false)
		}, nil},
	} {
		if got := c.run(newTestLedger(true)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	repeatable := newTestLedger(false)
	end(repeatable, job, choice.Reset)
	if got := repeatable.Dispatched(dispatch(job, time.Second)); slices.Contains(got, RetriedAfterPossibleRun) {
		t.Errorf("retry of a repeatable job: %v", got)
	}
}

func TestTheLedgerIsEmptiedWithItsJobs(t *testing.T) {
	l := newTestLedger(true)
	for id := choice.JobID(10); id < 10+4*jobsPerKeySweep; id++ {
		l.Admitted(Job{ID: id, Key: choice.Key(id)}, start)
		l.Removed(id)
		l.Removed(id)
	}
	l.Removed(job)
	l.Removed(later)
	if l.OpenJobs() != 0 || len(l.keys) > jobsPerKeySweep {
		t.Errorf("%d jobs and %d keys are left", l.OpenJobs(), len(l.keys))
	}
}

// Jobs that were read late are in the order of their receipt, as far as it is known.
func TestOrderIsThatOfReceipt(t *testing.T) {
	for _, c := range []struct {
		name          string
		after, before time.Duration // of the second job; the first was received from 100 to 120 ms after the start
		want          []Violation
	}{
		{"earlier", 50 * time.Millisecond, 99 * time.Millisecond, []Violation{DispatchedOutOfOrder}},
		{"not known", 50 * time.Millisecond, 101 * time.Millisecond, nil},
		{"later", 130 * time.Millisecond, 150 * time.Millisecond, nil},
	} {
		l := NewLedger(Bounds{})
		received := Job{ID: job, Key: key, Deadline: at(time.Minute)}
		received.ReceivedAfter, received.ReceivedBefore = at(100*time.Millisecond), at(120*time.Millisecond)
		l.Admitted(received, at(time.Second))
		received.ID, received.ReceivedAfter, received.ReceivedBefore = later, at(c.after), at(c.before)
		l.Admitted(received, at(time.Second))
		end(l, job, choice.Done)
		if got := l.Dispatched(dispatch(later, 2*time.Second)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
