package gateway

import "testing"

// Checks the next state, or the illegality, of each pair of state and transition.
func TestTheStatesOfAJob(t *testing.T) {
	const illegal = jobState(255)
	for _, c := range []struct {
		from                                         jobState
		dispatched, cancelRequested, ended, answered jobState
		owesAnswer, hasDispatch                      bool
	}{
		{jobWaiting, jobRunning, illegal, illegal, jobFinished, true, false},
		{jobRunning, illegal, jobCancelling, jobWaiting, jobDraining, true, true},
		{jobCancelling, illegal, jobCancelling, jobWaiting, jobDraining, true, true},
		{jobDraining, illegal, jobDraining, jobFinished, illegal, false, true},
		{jobFinished, illegal, illegal, illegal, illegal, false, false},
	} {
		t.Run(c.from.String(), func(t *testing.T) {
			for transition, want := range map[jobTransition]jobState{
				dispatchStarted: c.dispatched,
				cancelRequested: c.cancelRequested,
				dispatchEnded:   c.ended,
				answerSettled:   c.answered,
			} {
				got, legal := c.from.after(transition)
				if legal != (want != illegal) || legal && got != want {
					t.Errorf("transition %d leads to %d, legal: %v; want %d", transition, got, legal, want)
				}
			}
			if c.from.owesAnswer() != c.owesAnswer || c.from.hasDispatch() != c.hasDispatch {
				t.Errorf("owes an answer: %v, has a dispatch: %v", c.from.owesAnswer(), c.from.hasDispatch())
			}
		})
	}
}
