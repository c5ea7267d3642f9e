package gateway

import (
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
)

// maxAnnouncementDelay is the longest time from the start of an engine until an up-to-date feed announces it. A
// timestamp that is older was taken with a wall clock that was stepped.
const maxAnnouncementDelay = time.Minute

// startTimeConverter converts the start timestamps of the engines in one discovery event.
type startTimeConverter struct {
	clock       *clock
	now         choice.Nanos
	notBefore   choice.Nanos // earliest plausible start of a new engine; 0 if unknown
	implausible int          // number of starts that were replaced by now
}

// newStartTimeConverter returns a converter for a discovery event. Only a delta from a feed that was up to date gives
// a lower bound for starts: the configuration and complete lists also contain engines that started long ago.
func (g *Gateway) newStartTimeConverter(event discovery.Event, cached bool) *startTimeConverter {
	c := &startTimeConverter{clock: &g.clock, now: max(g.lastTime, g.clock.now())}
	if !cached && !event.Change.IsComplete && !event.UpToDateAt.IsZero() {
		c.notBefore = g.clock.at(event.UpToDateAt) - choice.Nanos(maxAnnouncementDelay)
	}
	return c
}

// startTime converts the start timestamp of a new or restarted engine to module time; 0 means long ago.
func (c *startTimeConverter) startTime(startMS int64) choice.Nanos {
	if startMS == 0 {
		return 0
	}
	unix := choice.Nanos(startMS) * choice.Nanos(time.Millisecond)
	started := c.clock.pastTime(unix, c.now)
	if started < c.notBefore {
		c.implausible++
		return c.now
	}
	return started
}

// logImplausible logs the number of implausible starts, if any.
func (c *startTimeConverter) logImplausible(event uint64) {
	if c.implausible > 0 {
		counters.Increment("engine_starts_implausible")
		slog.Warn("engine_starts_implausible", "event", event, "engines", c.implausible)
	}
}
