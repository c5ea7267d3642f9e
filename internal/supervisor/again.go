package supervisor

import "time"

// again decides when a controller that ended unasked is started anew: at once, then twice as late each time, until it has
// run for long. It has no clock: times are told.
type again struct {
	row     int // ends in a row, each after a short run
	Crashes uint64
}

const (
	againFirst = 50 * time.Millisecond
	againMost  = 5 * time.Second
	ranLong    = 10 * time.Second
)

// ended tells how long to wait after a run that ended unasked, or that could not begin.
func (a *again) ended(ran time.Duration) time.Duration {
	a.Crashes++
	if ran >= ranLong {
		a.row = 0
	}
	a.row++
	return min(againMost, againFirst<<min(a.row-1, 10))
}
