package gateway

// jobState is the state of an admitted job. The first three states still owe the client an answer; the middle three
// have a dispatch in flight.
type jobState uint8

const (
	jobWaiting    jobState = iota // waiting for the module to request a dispatch or an answer
	jobRunning                    // a dispatch is in flight
	jobCancelling                 // a dispatch is in flight and its cancellation was requested
	jobDraining                   // a dispatch is in flight, but the client was answered or has disconnected
	jobFinished                   // no answer is owed and no dispatch is in flight
)

// jobTransition is an event that changes the state of a job.
type jobTransition uint8

const (
	dispatchStarted jobTransition = iota
	cancelRequested
	dispatchEnded
	answerSettled // the client was answered or has disconnected
)

// jobTransitions are the legal transitions by state.
var jobTransitions = map[jobState]map[jobTransition]jobState{
	jobWaiting: {
		dispatchStarted: jobRunning,
		answerSettled:   jobFinished,
	},
	jobRunning: {
		cancelRequested: jobCancelling,
		dispatchEnded:   jobWaiting,
		answerSettled:   jobDraining,
	},
	jobCancelling: {
		cancelRequested: jobCancelling,
		dispatchEnded:   jobWaiting,
		answerSettled:   jobDraining,
	},
	jobDraining: {
		cancelRequested: jobDraining,
		dispatchEnded:   jobFinished,
	},
	jobFinished: {},
}

// after returns the state after a transition, and false if the transition is illegal in state s.
func (s jobState) after(transition jobTransition) (jobState, bool) {
	next, legal := jobTransitions[s][transition]
	return next, legal
}

// owesAnswer reports whether the client still waits for an answer.
func (s jobState) owesAnswer() bool { return s < jobDraining }

// hasDispatch reports whether a dispatch is in flight.
func (s jobState) hasDispatch() bool { return s > jobWaiting && s < jobFinished }

// String returns the name of the state.
func (s jobState) String() string {
	return [...]string{"waiting", "running", "cancelling", "draining", "finished"}[s]
}
