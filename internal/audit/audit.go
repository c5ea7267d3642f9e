// Package audit checks at run time that what was sent to engines keeps the rules. It looks at what happened - sends as
// their first byte goes out, ends, answers, leaves - and knows nothing of how the decision module came to it, so that a
// mistake there, or between an order and its send, shows.
//
// A Ledger holds one small record a job that is open, one a key whose jobs run in order, and the times of jobs and
// repeats in the window of the retry budget. It does no I/O and reads no clock.
package audit

import (
	"maps"
	"sync"
	"time"

	"swiftreel/choice"
)

const (
	// leaveSlack is how long after its client has left a job's attempt may still begin.
	leaveSlack = 100 * time.Millisecond
	// deadlineSlack is how much more time than the client has left an engine may be given.
	deadlineSlack = 150 * time.Millisecond
	// sweepEvery is how many jobs are admitted between two looks for keys that are no longer needed.
	sweepEvery = 256
)

// Violation is a broken rule. Its text is a constant: it names a counter.
type Violation string

// The violations, by rule.
const (
	DispatchedAfterAnswer     Violation = "rule_1_dispatched_after_answer"
	DispatchedTwiceAtOnce     Violation = "rule_1_dispatched_twice_at_once"
	DispatchedAfterClientLeft Violation = "rule_1_dispatched_after_client_left"
	GivenTooMuchTime          Violation = "rule_1_given_too_much_time"
	AnsweredTwice             Violation = "rule_1_answered_twice"
	RefusedAfterEffect        Violation = "rule_2_refused_though_it_may_have_run"
	RepeatedAfterEffect       Violation = "rule_2_dispatched_again_though_it_may_have_run"
	DispatchedToUnavailable   Violation = "rule_3_dispatched_to_an_unavailable_engine"
	DispatchedOutOfOrder      Violation = "rule_5_dispatched_beside_or_after_a_later_job_of_its_key"
	DispatchedWhileKeyPauses  Violation = "rule_5_dispatched_while_its_key_pauses"
	RetriedBeyondBudget       Violation = "rule_7_dispatched_again_beyond_the_retry_budget"
	DispatchedForUnknownJob   Violation = "rule_1_dispatched_for_an_unknown_job"
	EndedWithoutDispatch      Violation = "rule_1_ended_without_dispatch"
)

// Job is what the rules ask of a job.
type Job struct {
	ID       choice.JobID
	Deadline time.Time  // the client waits no longer
	RunOnce  bool       // it must not run twice
	Key      choice.Key // its jobs run one after the other; 0: no order
}

// Dispatch is one of which the first byte goes out.
type Dispatch struct {
	Job              choice.JobID
	At               time.Time
	Given            time.Duration // how long the engine may take
	UnavailableSince time.Time     // the engine was listed as draining or removed; zero: it is ready
}

// Ledger records what was sent, for whom, and what became of it. It is safe for concurrent use.
type Ledger struct {
	bounds Bounds

	mu       sync.Mutex
	jobs     map[choice.JobID]*record
	keys     map[choice.Key]*keyRecord
	admitted int
	retries  retries
}

// Bounds are the figures of the rules.
type Bounds struct {
	DrainGrace time.Duration // for dispatches to an engine that takes nothing any more; 0: not checked
	OrderPause time.Duration // of a key after an outcome that is unsure
	Retries    RetryBudget
}

// record is what is known of an open job.
type record struct {
	Job
	arrival    int // among the jobs of its key
	isOut      bool
	dispatches int
	mayHaveRun bool
	isAnswered bool
	leftAt     time.Time // zero: the client is there
}

// keyRecord is what is known of a key.
type keyRecord struct {
	open           map[choice.JobID]*record
	arrivals       int
	lastDispatched int // arrival of the latest job that was sent
	pausedUntil    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds:  bounds,
		jobs:    map[choice.JobID]*record{},
		keys:    map[choice.Key]*keyRecord{},
		retries: retries{budget: bounds.Retries},
	}
}

// SetRetryBudget changes the budget. What was dispatched before does not count towards the new one.
func (l *Ledger) SetRetryBudget(budget RetryBudget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries = retries{budget: budget, admitted: l.retries.admitted}
}

// Admitted records a job that was admitted.
func (l *Ledger) Admitted(job Job, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted := &record{Job: job}
	l.jobs[job.ID] = admitted
	if job.Key != 0 {
		l.key(job.Key).add(admitted)
	}
	l.admitted++
	l.retries.admit(now)
	if l.admitted%sweepEvery == 0 {
		maps.DeleteFunc(l.keys, func(_ choice.Key, k *keyRecord) bool {
			return len(k.open) == 0 && now.After(k.pausedUntil)
		})
	}
}

// Dispatched records a dispatch, and returns the rules that it breaks.
func (l *Ledger) Dispatched(d Dispatch) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[d.Job]
	if r == nil {
		return []Violation{DispatchedForUnknownJob}
	}
	broken := violations{}
	broken.add(r.isAnswered, DispatchedAfterAnswer)
	broken.add(r.isOut, DispatchedTwiceAtOnce)
	broken.add(!r.leftAt.IsZero() && d.At.Sub(r.leftAt) > leaveSlack, DispatchedAfterClientLeft)
	broken.add(d.Given > r.Deadline.Sub(d.At)+deadlineSlack, GivenTooMuchTime)
	broken.add(r.RunOnce && r.mayHaveRun, RepeatedAfterEffect)
	isPastGrace := !d.UnavailableSince.IsZero() && d.At.Sub(d.UnavailableSince) > l.bounds.DrainGrace
	broken.add(l.bounds.DrainGrace > 0 && isPastGrace, DispatchedToUnavailable)
	if r.Key != 0 {
		key := l.key(r.Key)
		broken.add(key.isAnotherOut(r) || r.arrival < key.lastDispatched, DispatchedOutOfOrder)
		broken.add(d.At.Before(key.pausedUntil), DispatchedWhileKeyPauses)
		key.lastDispatched = max(key.lastDispatched, r.arrival)
	}
	if r.dispatches > 0 {
		broken.add(l.retries.dispatched(d.At), RetriedBeyondBudget)
	}
	r.dispatches++
	r.isOut = true
	return broken.list
}

// Withdrawn takes a send back of which no byte went out.
func (l *Ledger) Withdrawn(id choice.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return
	}
	r.isOut = false
	r.dispatches--
	if r.dispatches > 0 {
		l.retries.further.removeLast()
	}
}

// key returns the record of a key, and adds it if there is none. The lock is held.
func (l *Ledger) key(key choice.Key) *keyRecord {
	if l.keys[key] == nil {
		l.keys[key] = &keyRecord{open: map[choice.JobID]*record{}}
	}
	return l.keys[key]
}

func (k *keyRecord) add(r *record) {
	k.arrivals++
	r.arrival = k.arrivals
	k.open[r.ID] = r
}

// isAnotherOut reports whether an attempt of another job of the key is out.
func (k *keyRecord) isAnotherOut(r *record) bool {
	for _, other := range k.open {
		if other != r && other.isOut {
			return true
		}
	}
	return false
}

// violations collects those that hold.
type violations struct{ list []Violation }

func (v *violations) add(holds bool, violation Violation) {
	if holds {
		v.list = append(v.list, violation)
	}
}

// Ended records the end of a job's attempt that was ordered, and returns the rules that it breaks. An attempt that
// never ran need not have been sent.
func (l *Ledger) Ended(id choice.JobID, result choice.Result, now time.Time) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return nil
	}
	wasOut := r.isOut
	r.isOut = false
	if result.NeverRan() {
		return nil
	}
	r.mayHaveRun = r.mayHaveRun || wasOut
	isUnsure := result == choice.TimedOut || result == choice.Reset || result == choice.Canceled
	if r.Key != 0 && isUnsure && wasOut {
		l.key(r.Key).pausedUntil = now.Add(l.bounds.OrderPause)
	}
	if !wasOut && result == choice.Done {
		return []Violation{EndedWithoutDispatch}
	}
	return nil
}

// Answered records a job's final answer, and returns the rules that it breaks. refused says that the answer allows its
// client to repeat it.
func (l *Ledger) Answered(id choice.JobID, refused bool) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return nil
	}
	broken := violations{}
	broken.add(r.isAnswered, AnsweredTwice)
	broken.add(refused && r.RunOnce && (r.mayHaveRun || r.isOut), RefusedAfterEffect)
	r.isAnswered = true
	return broken.list
}

// ClientLeft records that nobody waits for a job any more.
func (l *Ledger) ClientLeft(id choice.JobID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.jobs[id]; r != nil && r.leftAt.IsZero() {
		r.leftAt = now
	}
}

// Removed drops a job that is over: nothing of it is out.
func (l *Ledger) Removed(id choice.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return
	}
	delete(l.jobs, id)
	if key := l.keys[r.Key]; key != nil {
		delete(key.open, id)
	}
}

// OpenJobs returns how many jobs are recorded.
func (l *Ledger) OpenJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}
