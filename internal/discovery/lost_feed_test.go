package discovery

import (
	"testing"
	"time"
)

// The process was stalled for long, and the connection to its feed has ended meanwhile: events sent since may already
// count as notified. The next connection is awaited, but not for ever.
func TestAfterALongStallTheNextConnectionIsAwaited(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		currentAgo, lostAgo time.Duration
		isCurrent           bool
	}{
		"just lost":                      {time.Second, 0, true},
		"events count as notified later": {assumedNotifiedAfter - time.Second, 0, true},
		"stalled, and just lost":         {assumedNotifiedAfter + time.Second, 0, false},
		"stalled, lost and not reached":  {assumedNotifiedAfter + time.Second, reconnectGrace + time.Millisecond, true},
		"unreachable for a minute":       {time.Minute, time.Minute, true},
		"reconnecting after the stall":   {10 * time.Second, reconnectGrace / 2, false},
		"reconnecting in the usual way":  {2 * time.Second, reconnectGrace / 2, true},
	} {
		f := newFreshness(now.Add(-c.currentAgo))
		f.lostAt = now.Add(-c.lostAgo)
		currentAt, _ := f.check(50 * time.Millisecond)
		if isCurrent := !currentAt.Before(now); isCurrent != c.isCurrent {
			t.Errorf("%s: current %v ago", name, now.Sub(currentAt))
		}
	}
}

// The process was stopped while it had no connection to the feed. It could not reconnect for as long, so the feed is
// awaited as if it had just been lost. In the acceptance test of a long pause, 9 of 90 runs beside others failed: the
// feed's close was read just before SIGSTOP took effect ("discovery_lost" 23 us after), and 8 s later all calls were
// sent at once on the old list, as the feed had counted as unreachable for 7.5 s.
func TestAStallWithoutAConnectionIsNotFeedDowntime(t *testing.T) {
	for name, c := range map[string]struct {
		ranAgo    time.Duration
		isCurrent bool
	}{
		"stopped for 8 s":           {8 * time.Second, false},
		"stopped for a second":      {minStall, false},
		"unreachable while running": {2 * runningCheckInterval, true},
	} {
		now := time.Now()
		f := newFreshness(now.Add(-10 * time.Second))
		f.lostAt = now.Add(-9 * time.Second)
		f.lastRunningAt = now.Add(-c.ranAgo)
		currentAt, _ := f.check(50 * time.Millisecond)
		if isCurrent := !currentAt.Before(now); isCurrent != c.isCurrent {
			t.Errorf("%s: current %v ago", name, now.Sub(currentAt))
		}
		f.lostAt = f.lostAt.Add(-reconnectGrace) // the process has run since, and did not reach the feed
		if currentAt, _ = f.check(50 * time.Millisecond); currentAt.Before(now) {
			t.Errorf("%s: the feed never counts as unreachable", name)
		}
	}
}
