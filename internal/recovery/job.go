package recovery

// jobState is the state of a job in its life cycle. It is derived from the fields of the job, as a checkpoint stores
// only those.
type jobState uint8

const (
	statePending    jobState = iota // admitted; no attempt is in flight, and none is known to have run
	stateDispatched                 // an attempt is in flight: its outcome is not recorded
	stateRan                        // an attempt has run; the final answer is not recorded
	stateAnswered                   // the final answer is recorded: the job is over
)

// String implements fmt.Stringer, for error messages.
func (s jobState) String() string {
	return [...]string{"pending", "dispatched", "ran", "answered"}[s]
}

// job is the recorded state of one job, which a checkpoint stores in this form.
type job struct {
	Accepted
	InFlight       bool        `json:"out"` // the outcome of the last attempt is not recorded
	HasRun         bool        `json:"ran"` // an attempt is known to have run
	MayHaveRun     bool        `json:"may"` // an attempt ended with OutcomeUnknown
	FirstAttemptNS int64       `json:"first,omitempty"`
	Result         []byte      `json:"answer,omitempty"`
	FinalAnswer    FinalAnswer `json:"answered,omitempty"` // empty until the job is answered
}

func (j *job) state() jobState {
	switch {
	case j.FinalAnswer != "":
		return stateAnswered
	case j.InFlight:
		return stateDispatched
	case j.HasRun:
		return stateRan
	}
	return statePending
}

func (j *job) isOpen() bool { return j.state() != stateAnswered }

// dispatch makes the transition from pending to dispatched.
func (j *job) dispatch(r Dispatched) error {
	if state := j.state(); state != statePending {
		return &TransitionError{Call: r.Call, Event: "dispatched", State: state.String()}
	}
	j.InFlight = true
	if j.FirstAttemptNS == 0 {
		j.FirstAttemptNS = r.AtNS
	}
	return nil
}

// endAttempt makes the transition from dispatched to pending or ran. A job that was answered while an attempt was in
// flight stays answered.
func (j *job) endAttempt(r AttemptEnded) error {
	if !j.InFlight {
		return &TransitionError{Call: r.Call, Event: "ended", State: j.state().String()}
	}
	j.InFlight = false
	j.HasRun = j.HasRun || r.Outcome == OutcomeRan
	j.MayHaveRun = j.MayHaveRun || r.Outcome == OutcomeUnknown
	j.Result = r.Answer
	return nil
}

// answer makes the transition from any other state to answered.
func (j *job) answer(r Answered) error {
	if state := j.state(); state == stateAnswered {
		return &TransitionError{Call: r.Call, Event: "answered", State: state.String()}
	}
	j.FinalAnswer = r.Answer
	return nil
}

// mayStillRun reports whether an engine may have run the job, or may still be running it, with an unknown outcome.
func (j *job) mayStillRun() bool { return j.InFlight || j.MayHaveRun }

// engineDropsDuplicate reports whether engines would still drop a duplicate of the job. It is false if the clock was
// set back, or far ahead, since the first attempt: the job is then cancelled rather than possibly run twice.
func (j *job) engineDropsDuplicate(nowNS int64) bool {
	return j.Effect == EffectKeyed && nowNS >= j.FirstAttemptNS && nowNS < j.FirstAttemptNS+j.DedupeWindowNS
}

// recoveryAction decides what to do with an open job after a crash.
func (j *job) recoveryAction(nowNS int64) Action {
	switch {
	case j.HasRun:
		return ActionSendAnswer
	case j.mayStillRun() && !j.engineDropsDuplicate(nowNS):
		return ActionCancel
	}
	return ActionRetry
}
