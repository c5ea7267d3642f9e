package recovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"swiftreel/internal/store"
)

// compactSlack is the number of entries that Ledger.admitted may hold in excess of twice the open jobs before answered
// ones are removed from it.
const compactSlack = 64

// Ledger is the state of the jobs in a log: all open ones, and the last answered ones. It is for one goroutine at a
// time.
type Ledger struct {
	jobs        map[CallID]*job
	admitted    []CallID // in the order of admission: all open jobs, and answered ones until the next compaction
	openJobs    int
	answered    []CallID // in the order of their answers, at most maxAnswered
	maxAnswered int
}

// NewLedger returns an empty ledger that retains the last maxAnswered final answers.
func NewLedger(maxAnswered int) *Ledger {
	return &Ledger{jobs: map[CallID]*job{}, maxAnswered: maxAnswered}
}

// Apply applies the next record of the log. An error means that no correct run can have written the log; the ledger is
// then unchanged.
func (l *Ledger) Apply(r store.Record) error {
	switch r.Kind {
	case KindAccepted:
		return l.applyAccepted(r)
	case KindDispatched:
		return l.applyDispatched(r)
	case KindAttemptEnded:
		return l.applyAttemptEnded(r)
	case KindAnswered:
		return l.applyAnswered(r)
	}
	return &UnknownKindError{Kind: r.Kind}
}

func (l *Ledger) applyAccepted(r store.Record) error {
	j := new(job) // in a checkpoint, the record holds all fields of a job
	if err := json.Unmarshal(r.Payload, j); err != nil {
		return err
	}
	if l.jobs[j.Call] != nil {
		return fmt.Errorf("call %s: %w", j.Call, ErrDuplicateCall)
	}
	l.jobs[j.Call] = j
	if !j.isOpen() {
		l.retainAnswer(j.Call)
		return nil
	}
	l.admitted = append(l.admitted, j.Call)
	l.openJobs++
	return nil
}

func (l *Ledger) applyDispatched(r store.Record) error {
	var body Dispatched
	j, err := l.decodeEvent(r, &body, &body.Call)
	if err != nil {
		return err
	}
	return j.dispatch(body)
}

func (l *Ledger) applyAttemptEnded(r store.Record) error {
	var body AttemptEnded
	j, err := l.decodeEvent(r, &body, &body.Call)
	if err != nil {
		return err
	}
	return j.endAttempt(body)
}

func (l *Ledger) applyAnswered(r store.Record) error {
	var body Answered
	j, err := l.decodeEvent(r, &body, &body.Call)
	if err != nil {
		return err
	}
	if err := j.answer(body); err != nil {
		return err
	}
	l.openJobs--
	if len(l.admitted) > 2*l.openJobs+compactSlack {
		l.admitted = l.openCalls()
	}
	l.retainAnswer(body.Call)
	return nil
}

// decodeEvent decodes the body of a record and finds its job. call points into the body.
func (l *Ledger) decodeEvent(r store.Record, body any, call *CallID) (*job, error) {
	if err := json.Unmarshal(r.Payload, body); err != nil {
		return nil, err
	}
	j := l.jobs[*call]
	if j == nil {
		return nil, fmt.Errorf("call %s: %w", *call, ErrUnknownCall)
	}
	return j, nil
}

// openCalls returns the open jobs in the order of admission.
func (l *Ledger) openCalls() []CallID {
	var calls []CallID
	for _, call := range l.admitted {
		j := l.jobs[call] // nil: answered, and the answer is no longer retained
		if j != nil && j.isOpen() {
			calls = append(calls, call)
		}
	}
	return calls
}

// retainAnswer retains the answer of a call for a client that asks again, and drops the oldest ones beyond maxAnswered.
func (l *Ledger) retainAnswer(call CallID) {
	l.answered = append(l.answered, call)
	for len(l.answered) > l.maxAnswered {
		delete(l.jobs, l.answered[0])
		l.answered = l.answered[1:]
	}
}

// StoredAnswer is the final answer of a job.
type StoredAnswer struct {
	Answer FinalAnswer
	Result []byte // of AnswerDone; empty if it was not stored
}

// Answer returns the final answer of a call, for a client that asks again. It is false for open and unknown calls.
func (l *Ledger) Answer(call CallID) (StoredAnswer, bool) {
	j := l.jobs[call]
	if j == nil || j.isOpen() {
		return StoredAnswer{}, false
	}
	return StoredAnswer{Answer: j.FinalAnswer, Result: j.Result}, true
}

// Contains reports whether a call is open or its answer is retained. Such a call must not be admitted again.
func (l *Ledger) Contains(call CallID) bool { return l.jobs[call] != nil }

// CanDispatch reports whether a job may be dispatched now: it is pending, and all jobs of its type and ordering key
// that were admitted before it are over.
func (l *Ledger) CanDispatch(call CallID) bool {
	j := l.jobs[call]
	if j == nil || j.state() != statePending {
		return false
	}
	for _, earlier := range l.admitted {
		if earlier == call {
			return true
		}
		if l.blocksDispatch(earlier, j) {
			return false
		}
	}
	return false
}

// blocksDispatch reports whether a call is open and has the type and ordering key of a job.
func (l *Ledger) blocksDispatch(call CallID, j *job) bool {
	other := l.jobs[call]
	return other != nil && other.isOpen() && j.Key != "" && other.Key == j.Key && other.Type == j.Type
}

// Snapshot passes the records of a checkpoint to put: the retained answers, then the open jobs in the order of
// admission.
func (l *Ledger) Snapshot(put func(store.Kind, []byte) error) error {
	for _, call := range slices.Concat(l.answered, l.openCalls()) {
		payload, err := json.Marshal(l.jobs[call])
		if err != nil {
			return err
		}
		if err := put(KindAccepted, payload); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the number of open jobs and of retained answers.
func (l *Ledger) Size() (open, answered int) { return l.openJobs, len(l.answered) }
