package engine

import "time"

const (
	stallThreshold = 20 * time.Millisecond // a timer this late means that the process was stalled
	stallGrace     = 20 * time.Millisecond // time to read what arrived during a stall
)

// startTimeout calls a function after a delay. If the process was stalled when the timer was due, the call is delayed
// by stallGrace, so that answers which arrived during the stall are read first.
func startTimeout(delay time.Duration, call func()) {
	due := time.Now().Add(delay)
	time.AfterFunc(delay, func() { fireTimeout(due, call) })
}

func fireTimeout(due time.Time, call func()) {
	if time.Since(due) > stallThreshold {
		time.AfterFunc(stallGrace, call)
		return
	}
	call()
}
