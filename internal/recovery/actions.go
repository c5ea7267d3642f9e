package recovery

// Action is what to do with an open job after a crash. The values are printed for operators.
type Action string

// The recovery actions.
const (
	ActionRetry      Action = "may go again"      // no attempt has run, or engines would still drop a duplicate
	ActionSendAnswer Action = "repeat its answer" // it ran, and no answer to its client is recorded
	ActionCancel     Action = "cancel for good"   // it may have run, and a retry might run it twice
)

// OpenJob is an open job and what to do with it after a crash.
type OpenJob struct {
	Accepted
	Action           Action `json:"Fate"`
	Answer           []byte `json:"Answer"` // the result of the job, for ActionSendAnswer; empty if it was not stored
	NeedsKeyCooldown bool   `json:"Rests"`  // an engine may still be running it: its key starts in cooldown
}

// OpenJobs returns the open jobs in the order of admission. nowNS is the Unix time in ns, which decides whether a keyed
// job may be retried.
func (l *Ledger) OpenJobs(nowNS int64) []OpenJob {
	var list []OpenJob
	for _, call := range l.openCalls() {
		j := l.jobs[call]
		open := OpenJob{
			Accepted:         j.Accepted,
			Action:           j.recoveryAction(nowNS),
			NeedsKeyCooldown: j.mayStillRun(),
		}
		if open.Action == ActionSendAnswer {
			open.Answer = j.Result
		}
		list = append(list, open)
	}
	return list
}

// InterruptedAttempts returns the records to write first after a crash: one with an unknown outcome for each attempt
// that was in flight, also of an answered job, as its outcome can no longer be received. They must be durable before
// any job is continued. If another crash comes in between, the missing ones are returned again.
func (l *Ledger) InterruptedAttempts() []AttemptEnded {
	var list []AttemptEnded
	for _, call := range l.calls() {
		if l.jobs[call].InFlight {
			list = append(list, AttemptEnded{Call: call, Outcome: OutcomeUnknown})
		}
	}
	return list
}
