package recovery

// jobState is where a job stands. It follows from the fields of a job, which are what a checkpoint holds.
type jobState uint8

const (
	statePending    jobState = iota // admitted; no attempt is out and none has run for certain
	stateDispatched                 // an attempt is out: its outcome is not recorded
	stateRan                        // an attempt has run; the client's answer is not recorded
	stateAnswered                   // the client's answer is recorded: the job is over
)

// String implements fmt.Stringer, for errors.
func (s jobState) String() string {
	return [...]string{"pending", "dispatched", "ran", "answered"}[s]
}

// job is what is known of one job. A checkpoint holds it in this form.
type job struct {
	Accepted
	IsOut          bool        `json:"out"` // an attempt has no recorded outcome
	HasRun         bool        `json:"ran"` // an attempt ran for certain
	MayHaveRun     bool        `json:"may"` // an attempt ended with OutcomeUnknown
	FirstAttemptNS int64       `json:"first,omitempty"`
	Result         []byte      `json:"answer,omitempty"`
	FinalAnswered  FinalAnswer `json:"answered,omitempty"` // empty: not answered
}

func (j *job) state() jobState {
	switch {
	case j.FinalAnswered != "":
		return stateAnswered
	case j.IsOut:
		return stateDispatched
	case j.HasRun:
		return stateRan
	}
	return statePending
}

func (j *job) isOpen() bool { return j.state() != stateAnswered }

// dispatch is the transition from pending to dispatched.
func (j *job) dispatch(r Dispatched) error {
	if state := j.state(); state != statePending {
		return &TransitionError{Call: r.Call, Event: "dispatched", State: state.String()}
	}
	j.IsOut = true
	if j.FirstAttemptNS == 0 {
		j.FirstAttemptNS = r.AtNS
	}
	return nil
}

// endAttempt is the transition from dispatched to pending or ran. A job that was answered while an attempt was out
// stays answered.
func (j *job) endAttempt(r AttemptEnded) error {
	if !j.IsOut {
		return &TransitionError{Call: r.Call, Event: "ended", State: j.state().String()}
	}
	j.IsOut = false
	j.HasRun = j.HasRun || r.Outcome == OutcomeRan
	j.MayHaveRun = j.MayHaveRun || r.Outcome == OutcomeUnknown
	j.Result = r.Answer
	return nil
}

// answer is the transition from any other state to answered.
func (j *job) answer(r Answered) error {
	if state := j.state(); state == stateAnswered {
		return &TransitionError{Call: r.Call, Event: "answered", State: state.String()}
	}
	j.FinalAnswered = r.Answer
	return nil
}

// mayStillRun reports whether an engine may have run the job, or still run it, without the outcome being known.
func (j *job) mayStillRun() bool { return j.IsOut || j.MayHaveRun }

// isRepeatSafe reports whether engines still drop a repeat of the job. A clock that was set back, or far ahead, makes
// it unsafe: the job is then given up rather than run twice.
func (j *job) isRepeatSafe(nowNS int64) bool {
	return j.Effect == EffectKeyed && nowNS >= j.FirstAttemptNS && nowNS < j.FirstAttemptNS+j.WindowNS
}

// recoveryAction decides what is done with an open job after a crash.
func (j *job) recoveryAction(nowNS int64) Action {
	switch {
	case j.HasRun:
		return ActionRepeatAnswer
	case j.mayStillRun() && !j.isRepeatSafe(nowNS):
		return ActionCancel
	}
	return ActionRetry
}
