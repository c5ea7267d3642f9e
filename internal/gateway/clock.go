package gateway

import (
	"time"

	"swiftreel/choice"
)

// clock gives the module's time: monotonic, from the Unix time of its start.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{time.Now()} }

// at turns a moment into the module's time.
func (c clock) at(t time.Time) choice.Nanos {
	return choice.Nanos(c.start.UnixNano()) + choice.Nanos(t.Sub(c.start))
}

func (c clock) now() choice.Nanos { return c.at(time.Now()) }

// moment turns the module's time into a moment.
func (c clock) moment(n choice.Nanos) time.Time { return c.start.Add(time.Duration(n - c.at(c.start))) }
