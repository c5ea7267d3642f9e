package engine

import "time"

// A timer that is so late shows that the program stood still; what came meanwhile is read first.
const (
	lateLeast = 20 * time.Millisecond
	catchUp   = 20 * time.Millisecond
)

// after calls f once a span has passed, in which this program itself could read what came.
func after(span time.Duration, f func()) {
	due := time.Now().Add(span)
	time.AfterFunc(span, func() { whenDue(due, f) })
}

func whenDue(due time.Time, f func()) {
	if time.Since(due) > lateLeast {
		time.AfterFunc(catchUp, f)
	} else {
		f()
	}
}
