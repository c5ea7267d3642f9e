// Package audit checks at run time that dispatches to engines follow the protocol's rules. It observes sends at their
// first byte, ends of attempts, answers and client disconnects, and is independent of the decision module. It therefore
// detects errors in the module's decisions as well as errors between a decision and its send.
//
// A Ledger keeps a small record for each open job and each ordering key, and the times of jobs and retries within the
// window of the retry budget. It does no I/O and reads no clock.
package audit

import (
	"maps"
	"sync"
	"time"

	"swiftreel/choice"
)

const (
	// disconnectSlack is how long after its client has disconnected a job may still be dispatched.
	disconnectSlack = 100 * time.Millisecond
	// deadlineSlack is how much an engine's time limit may exceed the client's remaining time.
	deadlineSlack = 150 * time.Millisecond
	// jobsPerKeySweep is the number of admitted jobs between removals of unused key records.
	jobsPerKeySweep = 256
)

// Violation names a rule violation. The text is used as a counter name and must not change.
type Violation string

// The violations. Their texts start with the number of the rule.
const (
	DispatchedAfterAnswer     Violation = "rule_1_dispatched_after_answer"
	DispatchedTwiceAtOnce     Violation = "rule_1_dispatched_twice_at_once"
	DispatchedAfterDisconnect Violation = "rule_1_dispatched_after_client_left"
	TimeLimitTooLong          Violation = "rule_1_given_too_much_time"
	AnsweredTwice             Violation = "rule_1_answered_twice"
	RefusedAfterPossibleRun   Violation = "rule_2_refused_though_it_may_have_run"
	RetriedAfterPossibleRun   Violation = "rule_2_dispatched_again_though_it_may_have_run"
	DispatchedToUnavailable   Violation = "rule_3_dispatched_to_an_unavailable_engine"
	DispatchedOutOfOrder      Violation = "rule_5_dispatched_beside_or_after_a_later_job_of_its_key"
	DispatchedWhileKeyPauses  Violation = "rule_5_dispatched_while_its_key_pauses"
	RetriedBeyondBudget       Violation = "rule_7_dispatched_again_beyond_the_retry_budget"
	DispatchedForUnknownJob   Violation = "rule_1_dispatched_for_an_unknown_job"
	EndedWithoutDispatch      Violation = "rule_1_ended_without_dispatch"
)

// Job is the part of a job that the rules refer to.
type Job struct {
	ID       choice.JobID
	Deadline time.Time  // until which the client waits
	RunOnce  bool       // the job must not run twice
	Key      choice.Key // jobs of one key run one at a time, in order of receipt; 0: no ordering
	// ReceivedAfter and ReceivedBefore bound the time of receipt of a job that was read late; zero: now.
	ReceivedAfter, ReceivedBefore time.Time
}

// Dispatch is a dispatch whose first byte is about to be sent.
type Dispatch struct {
	Job              choice.JobID
	At               time.Time
	TimeLimit        time.Duration // of the engine for this dispatch
	UnavailableSince time.Time     // since when the engine is listed as draining or removed; zero if it is ready
}

// Ledger records jobs, their dispatches and the outcomes, and checks them against the rules. It is safe for concurrent
// use.
type Ledger struct {
	bounds Bounds

	mu       sync.Mutex
	jobs     map[choice.JobID]*jobRecord
	keys     map[choice.Key]*keyRecord
	admitted int // number of jobs admitted so far
	retries  retries
}

// Bounds are the limits that the rules refer to.
type Bounds struct {
	DrainGrace time.Duration // for dispatches to an engine that became unavailable; 0: not checked
	KeyPause   time.Duration // pause of an ordering key after an unknown outcome
	Retries    RetryBudget
}

// jobRecord is the record of an open job.
type jobRecord struct {
	Job
	arrival        int // sequence number among the jobs of its key
	inFlight       bool
	dispatches     int
	mayHaveRun     bool
	isAnswered     bool
	disconnectedAt time.Time // zero while the client is connected
}

// keyRecord is the record of an ordering key.
type keyRecord struct {
	open           map[choice.JobID]*jobRecord
	arrivals       int        // number of jobs admitted with the key
	lastDispatched *jobRecord // of the dispatched jobs, the one received last; nil: none
	pausedUntil    time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds:  bounds,
		jobs:    map[choice.JobID]*jobRecord{},
		keys:    map[choice.Key]*keyRecord{},
		retries: retries{budget: bounds.Retries},
	}
}

// SetRetryBudget changes the budget. Earlier retries do not count towards the new budget; admitted jobs do.
func (l *Ledger) SetRetryBudget(budget RetryBudget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries = retries{budget: budget, admitted: l.retries.admitted}
}

// Admitted records an admitted job.
func (l *Ledger) Admitted(job Job, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job.ReceivedAfter.IsZero() {
		job.ReceivedAfter, job.ReceivedBefore = now, now
	}
	admitted := &jobRecord{Job: job}
	l.jobs[job.ID] = admitted
	if job.Key != 0 {
		l.key(job.Key).add(admitted)
	}
	l.admitted++
	l.retries.addJob(now)
	if l.admitted%jobsPerKeySweep == 0 {
		maps.DeleteFunc(l.keys, func(_ choice.Key, k *keyRecord) bool {
			return len(k.open) == 0 && now.After(k.pausedUntil)
		})
	}
}

// Dispatched records a dispatch and returns the rules that it violates.
func (l *Ledger) Dispatched(d Dispatch) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[d.Job]
	if r == nil {
		return []Violation{DispatchedForUnknownJob}
	}
	broken := violations{}
	broken.add(r.isAnswered, DispatchedAfterAnswer)
	broken.add(r.inFlight, DispatchedTwiceAtOnce)
	broken.add(!r.disconnectedAt.IsZero() && d.At.Sub(r.disconnectedAt) > disconnectSlack, DispatchedAfterDisconnect)
	broken.add(d.TimeLimit > r.Deadline.Sub(d.At)+deadlineSlack, TimeLimitTooLong)
	broken.add(r.RunOnce && r.mayHaveRun, RetriedAfterPossibleRun)
	isPastGrace := !d.UnavailableSince.IsZero() && d.At.Sub(d.UnavailableSince) > l.bounds.DrainGrace
	broken.add(l.bounds.DrainGrace > 0 && isPastGrace, DispatchedToUnavailable)
	if r.Key != 0 {
		key := l.key(r.Key)
		broken.add(key.hasOtherInFlight(r) || r.wasReceivedBefore(key.lastDispatched), DispatchedOutOfOrder)
		broken.add(d.At.Before(key.pausedUntil), DispatchedWhileKeyPauses)
		if key.lastDispatched == nil || key.lastDispatched.wasReceivedBefore(r) {
			key.lastDispatched = r
		}
	}
	if r.dispatches > 0 {
		broken.add(l.retries.addRetry(d.At), RetriedBeyondBudget)
	}
	r.dispatches++
	r.inFlight = true
	return broken.list
}

// Withdrawn undoes Dispatched if no byte of the dispatch was sent.
func (l *Ledger) Withdrawn(id choice.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return
	}
	r.inFlight = false
	r.dispatches--
	if r.dispatches > 0 {
		l.retries.retried.removeLast()
	}
}

// key returns the record of a key and adds one if there is none. The caller must hold the lock.
func (l *Ledger) key(key choice.Key) *keyRecord {
	if l.keys[key] == nil {
		l.keys[key] = &keyRecord{open: map[choice.JobID]*jobRecord{}}
	}
	return l.keys[key]
}

func (k *keyRecord) add(r *jobRecord) {
	k.arrivals++
	r.arrival = k.arrivals
	k.open[r.ID] = r
}

// wasReceivedBefore reports whether a job of a key was certainly received before another one; nil stands for none.
func (r *jobRecord) wasReceivedBefore(other *jobRecord) bool {
	if other == nil || !r.ReceivedBefore.Equal(other.ReceivedAfter) {
		return other != nil && r.ReceivedBefore.Before(other.ReceivedAfter)
	}
	return r.arrival < other.arrival
}

// hasOtherInFlight reports whether an attempt of another job of the key is in flight.
func (k *keyRecord) hasOtherInFlight(r *jobRecord) bool {
	for _, other := range k.open {
		if other != r && other.inFlight {
			return true
		}
	}
	return false
}

// violations is a list of detected violations.
type violations struct{ list []Violation }

func (v *violations) add(holds bool, violation Violation) {
	if holds {
		v.list = append(v.list, violation)
	}
}

// Ended records the end of a job's attempt and returns the rules that it violates. An attempt that never ran may end
// without a dispatch.
func (l *Ledger) Ended(id choice.JobID, result choice.Result, now time.Time) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return nil
	}
	wasInFlight := r.inFlight
	r.inFlight = false
	if result.NeverRan() {
		return nil
	}
	r.mayHaveRun = r.mayHaveRun || wasInFlight
	isUncertain := result == choice.TimedOut || result == choice.Reset || result == choice.Canceled
	if r.Key != 0 && isUncertain && wasInFlight {
		l.key(r.Key).pausedUntil = now.Add(l.bounds.KeyPause)
	}
	if !wasInFlight && result == choice.Done {
		return []Violation{EndedWithoutDispatch}
	}
	return nil
}

// Answered records a job's final answer and returns the rules that it violates. refused says that the answer allows the
// client to repeat the job.
func (l *Ledger) Answered(id choice.JobID, refused bool) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.jobs[id]
	if r == nil {
		return nil
	}
	broken := violations{}
	broken.add(r.isAnswered, AnsweredTwice)
	broken.add(refused && r.RunOnce && (r.mayHaveRun || r.inFlight), RefusedAfterPossibleRun)
	r.isAnswered = true
	return broken.list
}

// ClientDisconnected records that a job's client has disconnected.
func (l *Ledger) ClientDisconnected(id choice.JobID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.jobs[id]; r != nil && r.disconnectedAt.IsZero() {
		r.disconnectedAt = now
	}
}

// Removed drops the record of a finished job, which has no dispatch in flight.
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

// OpenJobs returns the number of recorded jobs.
func (l *Ledger) OpenJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs)
}
