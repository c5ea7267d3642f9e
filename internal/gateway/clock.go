package gateway

import (
	"sync"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/monotonic"
)

const (
	// minClockStep is the smallest change of the wall clock's offset that counts as a step.
	minClockStep = 100 * time.Millisecond
	// stepRetention is how long after a step a timestamp from before it may still arrive, as endpoint lists can be
	// delayed.
	stepRetention = time.Minute
	// maxClockSteps bounds the number of steps that are kept.
	maxClockSteps = 8

	maxOffsetError     = 100 * time.Microsecond
	offsetMeasurements = 10
)

// clock provides the module's time in nanoseconds. Module time starts at the Unix time of the clock's creation and is
// monotonic from then on. The clock also tracks steps of the wall clock in either direction. All methods except now,
// at, connectedAt and the conversions to and from the monotonic clock require the owner's lock.
type clock struct {
	start  time.Time
	wall   func() time.Time
	offset choice.Nanos // wall clock minus module time, as of the last step
	steps  []clockStep  // within stepRetention, oldest first

	uptimeOffset func() int64 // measured at the first call
}

// clockStep is an observed step of the wall clock.
type clockStep struct {
	seenAt       choice.Nanos
	offsetBefore choice.Nanos
}

func newClock() clock {
	c := clock{start: time.Now(), wall: failpoint.WallClock}
	c.uptimeOffset = sync.OnceValue((&clock{start: c.start}).measureUptimeOffset)
	return c
}

// at converts a time to module time.
func (c *clock) at(moment time.Time) choice.Nanos {
	return choice.Nanos(c.start.UnixNano()) + choice.Nanos(moment.Sub(c.start))
}

func (c *clock) now() choice.Nanos { return c.at(time.Now()) }

// receivedAt converts a time to module time; the zero time means now, which is 0.
func (c *clock) receivedAt(moment time.Time) choice.Nanos {
	if moment.IsZero() {
		return 0
	}
	return c.at(moment)
}

// toMonotonic converts module time to the clock of monotonic.Uptime, which all processes of the machine share.
func (c *clock) toMonotonic(moment choice.Nanos) int64 { return int64(moment) + c.uptimeOffset() }

// fromMonotonic converts a reading of that clock to module time.
func (c *clock) fromMonotonic(reading int64) choice.Nanos {
	return choice.Nanos(reading - c.uptimeOffset())
}

// measureUptimeOffset returns monotonic.Uptime minus module time, which is constant. The error is at most
// maxOffsetError, unless the process is stalled again and again.
func (c *clock) measureUptimeOffset() (offset int64) {
	for range offsetMeasurements {
		before := c.now()
		offset = monotonic.Uptime() - int64(before)
		if time.Duration(c.now()-before) <= maxOffsetError {
			break
		}
	}
	return offset
}

// connectedAt returns the module time at which the connection of a reply was established; 0 means unknown.
func (c *clock) connectedAt(reply backend.Reply) choice.Nanos {
	if reply.ConnectedAt.IsZero() {
		return 0
	}
	return c.at(reply.ConnectedAt)
}

// observeStep compares the wall clock with module time, and reports whether the wall clock was stepped since the last
// call.
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

// removeOldSteps drops steps older than stepRetention, and the oldest ones as needed to make room for one more.
func (c *clock) removeOldSteps(now choice.Nanos) {
	for len(c.steps) > 0 && (now-c.steps[0].seenAt > choice.Nanos(stepRetention) || len(c.steps) >= maxClockSteps) {
		c.steps = c.steps[1:]
	}
}

// pastTime converts a wall clock timestamp of a past event to module time. A timestamp may have been taken before a
// recent step of the wall clock, so each offset that was in effect lately gives a candidate. The result is the latest
// candidate that is not in the future, or now if there is none.
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
