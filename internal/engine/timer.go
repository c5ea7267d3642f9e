package engine

import "time"

const (
	stallThreshold = 20 * time.Millisecond // a timer so late shows that the process was stalled
	stallGrace     = 20 * time.Millisecond // then, to read what arrived meanwhile
)

// afterReading calls a function after a delay. If the process was stalled until then, it first gets a moment to read
// what arrived meanwhile.
func afterReading(delay time.Duration, call func()) {
	due := time.Now().Add(delay)
	time.AfterFunc(delay, func() { callWhenRead(due, call) })
}

func callWhenRead(due time.Time, call func()) {
	if time.Since(due) > stallThreshold {
		time.AfterFunc(stallGrace, call)
		return
	}
	call()
}
