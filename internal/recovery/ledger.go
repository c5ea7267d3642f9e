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

// Ledger is the state of the jobs in a log: all open ones, the last answered ones, and those answered earlier that have
// an attempt in flight. It is for one goroutine at a time.
type Ledger struct {
	jobs        map[CallID]*job
	admitted    []CallID // in the order of admission: all open jobs, and answered ones until the next compaction
	openJobs    int
	answered    []CallID // in the order of their answers, at most maxAnswered
	maxAnswered int
	awaited     []CallID // answered, no longer retained, and with an attempt in flight
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
	if err := j.endAttempt(body); err != nil {
		return err
	}
	l.dropAwaited(body.Call)
	return nil
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
		l.dropAnswer(l.answered[0])
		l.answered = l.answered[1:]
	}
}

// dropAnswer drops a job that is over, or keeps it until its attempt in flight ends: the record of that refers to it.
func (l *Ledger) dropAnswer(call CallID) {
	if l.jobs[call].InFlight {
		l.awaited = append(l.awaited, call)
		return
	}
	delete(l.jobs, call)
}

// dropAwaited drops a job if it was kept only until its attempt ended.
func (l *Ledger) dropAwaited(call CallID) {
	i := slices.Index(l.awaited, call)
	if i < 0 {
		return
	}
	l.awaited = slices.Delete(l.awaited, i, i+1)
	delete(l.jobs, call)
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

// Contains reports whether a call is open, its answer is retained or an attempt of it is in flight. Such a call must
// not be admitted again.
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

// calls returns all jobs: those that are over, in the order of their answers, then the open ones in the order of
// admission.
func (l *Ledger) calls() []CallID { return slices.Concat(l.awaited, l.answered, l.openCalls()) }

// Snapshot passes the records of a checkpoint to put: one for each job, in the order of calls.
func (l *Ledger) Snapshot(put func(store.Kind, []byte) error) error {
	for _, call := range l.calls() {
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
