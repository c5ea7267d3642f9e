package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/failpoint"
)

const (
	// minClockStep is the least difference that counts as a step of the wall clock.
	minClockStep = 100 * time.Millisecond
	// stepMemory is how long a time of day may still come from before a step: a list may be late.
	stepMemory = time.Minute
	// maxClockSteps bounds the steps that are remembered.
	maxClockSteps = 8
)

// clock gives the module's time in nanoseconds: it starts at the Unix time of its creation and is monotonic from there.
// Beside it, it follows the wall clock, which may be stepped either way. It is guarded by its owner's lock, except for
// now and at.
type clock struct {
	start  time.Time
	wall   func() time.Time
	offset choice.Nanos // of the wall clock over the module's time, since the last step
	steps  []clockStep  // of the last stepMemory
}

// clockStep is a step of the wall clock that was seen.
type clockStep struct {
	seenAt       choice.Nanos
	offsetBefore choice.Nanos
}

func newClock() clock { return clock{start: time.Now(), wall: failpoint.WallClock} }

// at converts a moment into the module's time.
func (c *clock) at(moment time.Time) choice.Nanos {
	return choice.Nanos(c.start.UnixNano()) + choice.Nanos(moment.Sub(c.start))
}

func (c *clock) now() choice.Nanos { return c.at(time.Now()) }

// connectedAt returns when the connection of a reply came up, in the module's time; 0: not known.
func (c *clock) connectedAt(reply backend.Reply) choice.Nanos {
	if reply.ConnectedAt.IsZero() {
		return 0
	}
	return c.at(reply.ConnectedAt)
}

// observeStep compares the wall clock with the module's time, and reports whether it was stepped since it was last
// looked at.
func (c *clock) observeStep(now choice.Nanos) bool {
	offset := choice.Nanos(c.wall().UnixNano()) - now
	if difference := time.Duration(offset - c.offset); difference.Abs() < minClockStep {
		return false
	}
	c.removeOldSteps(now)
	c.steps = append(c.steps, clockStep{seenAt: now, offsetBefore: c.offset})
	c.offset = offset
	return true
}

// removeOldSteps drops steps that no time of day can be from before of, and the oldest beyond maxClockSteps-1.
func (c *clock) removeOldSteps(now choice.Nanos) {
	for len(c.steps) > 0 && (now-c.steps[0].seenAt > choice.Nanos(stepMemory) || len(c.steps) >= maxClockSteps) {
		c.steps = c.steps[1:]
	}
}

// pastTime converts a time of day that has passed into the module's time. Where the wall clock was stepped of late,
// the time of day may be from before the step: of the moments that it may mean, the latest that has passed counts. One
// that lies in the future by all of them means now.
func (c *clock) pastTime(unix, now choice.Nanos) choice.Nanos {
	c.removeOldSteps(now)
	latest, found := unix-c.offset, unix-c.offset <= now
	for _, step := range c.steps {
		moment := unix - step.offsetBefore
		if moment <= now && (!found || moment > latest) {
			latest, found = moment, true
		}
	}
	if !found {
		return now
	}
	return latest
}
