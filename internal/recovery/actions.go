package recovery

// Action is what is done with an open job after a crash. Operators see the values.
type Action string

// The recovery actions.
const (
	ActionRetry        Action = "may go again"      // no attempt has run, or engines still drop a repeat
	ActionRepeatAnswer Action = "repeat its answer" // it ran, and its client was not answered
	ActionCancel       Action = "cancel for good"   // it may have run: nobody knows
)

// OpenJob is an open job and what is done with it.
type OpenJob struct {
	Accepted
	Action           Action `json:"Fate"`
	Answer           []byte `json:"Answer"` // of ActionRepeatAnswer, if it was kept
	NeedsKeyCooldown bool   `json:"Rests"`  // an engine may still be running it: its key waits from the start on
}

// OpenJobs returns the open jobs in the order of admission. nowNS is the Unix time in ns; see Action.
func (l *Ledger) OpenJobs(nowNS int64) []OpenJob {
	var list []OpenJob
	for _, call := range l.openCalls() {
		j := l.jobs[call]
		open := OpenJob{
			Accepted:         j.Accepted,
			Action:           j.recoveryAction(nowNS),
			NeedsKeyCooldown: j.mayStillRun(),
		}
		if open.Action == ActionRepeatAnswer {
			open.Answer = j.Result
		}
		list = append(list, open)
	}
	return list
}

// InterruptedAttempts returns the records to write first after a crash: no outcome will be received any more of
// attempts that were out. They must be durable before any job goes on; after a crash in between, the missing ones are
// returned again.
func (l *Ledger) InterruptedAttempts() []AttemptEnded {
	var list []AttemptEnded
	for _, call := range l.openCalls() {
		if l.jobs[call].IsOut {
			list = append(list, AttemptEnded{Call: call, Outcome: OutcomeUnknown})
		}
	}
	return list
}
