package gateway

// jobState is where an admitted job stands. The client is owed an answer in the first three states; a dispatch is in
// flight in the three in the middle.
type jobState uint8

const (
	jobWaiting    jobState = iota // for the module to order a dispatch or an answer
	jobRunning                    // a dispatch is in flight
	jobCancelling                 // a dispatch is in flight, and its cancellation was requested
	jobDraining                   // a dispatch is in flight, but the client is answered or has disconnected
	jobFinished                   // the client is owed nothing and nothing is in flight
)

// jobTransition is what moves a job from one state to another.
type jobTransition uint8

const (
	dispatchStarted jobTransition = iota
	cancelRequested
	dispatchEnded
	answerSettled // the client is answered, or has disconnected
)

// jobTransitions are the legal ones.
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

// after returns the state that a transition leads to; false if it is not legal here.
func (s jobState) after(transition jobTransition) (jobState, bool) {
	next, legal := jobTransitions[s][transition]
	return next, legal
}

// owesAnswer reports whether the client waits for an answer.
func (s jobState) owesAnswer() bool { return s < jobDraining }

// hasDispatch reports whether a dispatch is in flight.
func (s jobState) hasDispatch() bool { return s > jobWaiting && s < jobFinished }

// String returns the name of the state.
func (s jobState) String() string {
	return [...]string{"waiting", "running", "cancelling", "draining", "finished"}[s]
}
