package gateway

import (
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
)

// maxAnnouncementDelay is how long after its start an engine may be announced by a feed that is followed. One that is
// announced as older was dated by a clock that was stepped.
const maxAnnouncementDelay = time.Minute

// announcement is a discovery event as it dates the starts of the engines that it names.
type announcement struct {
	clock       *clock
	now         choice.Nanos
	notBefore   choice.Nanos // an engine that is new in it did not start before; 0: not known
	implausible int          // starts that were dated anew
}

// announce dates an event. Only a change that is announced by a feed that was up to date before bounds a start: the
// configuration and a complete list also name engines that have run for long.
func (g *Gateway) announce(event discovery.Event, cached bool) *announcement {
	a := &announcement{clock: &g.clock, now: max(g.lastTime, g.clock.now())}
	if !cached && !event.Members.IsComplete && !event.UpToDateAt.IsZero() {
		a.notBefore = g.clock.at(event.UpToDateAt) - choice.Nanos(maxAnnouncementDelay)
	}
	return a
}

// startTime converts the start of an engine that is new, or started anew, into the module's time; 0: long ago.
func (a *announcement) startTime(bornMS int64) choice.Nanos {
	if bornMS == 0 {
		return 0
	}
	unix := choice.Nanos(bornMS) * choice.Nanos(time.Millisecond)
	started := a.clock.pastTime(unix, a.now)
	if started < a.notBefore {
		a.implausible++
		return a.now
	}
	return started
}

// report logs starts that were dated anew.
func (a *announcement) report(event uint64) {
	if a.implausible > 0 {
		counters.Increment("engine_starts_implausible")
		slog.Warn("engine_starts_implausible", "event", event, "engines", a.implausible)
	}
}
