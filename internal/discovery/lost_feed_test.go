package discovery

import (
	"testing"
	"time"
)

// The process was stalled for long, and its feed has ended meanwhile: what was told since may count as told already.
// The next connection is waited for, but not for ever.
func TestAfterALongStallTheNextConnectionIsAwaited(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		heardAgo, lostAgo time.Duration
		isCurrent         bool
	}{
		"just lost":                     {time.Second, 0, true},
		"told counts as told later":     {notifiedWithin - time.Second, 0, true},
		"stalled, and just lost":        {notifiedWithin + time.Second, 0, false},
		"stalled, lost and not found":   {notifiedWithin + time.Second, reconnectTime + time.Millisecond, true},
		"out of reach for a minute":     {time.Minute, time.Minute, true},
		"reconnecting after the stall":  {10 * time.Second, reconnectTime / 2, false},
		"reconnecting in the usual way": {2 * time.Second, reconnectTime / 2, true},
	} {
		f := newFreshness(now.Add(-c.heardAgo))
		f.lostAt = now.Add(-c.lostAgo)
		currentAt, _ := f.check(50 * time.Millisecond)
		if isCurrent := !currentAt.Before(now); isCurrent != c.isCurrent {
			t.Errorf("%s: current %v ago", name, now.Sub(currentAt))
		}
	}
}

// The process was stopped while it had no connection to the feed. Then nothing was tried for as long, and the feed is
// waited for as if it had just been lost. Seen in the acceptance test of a long pause, 9 of 90 runs beside others: the
// feed's end was read in the moment before SIGSTOP took effect ("discovery_lost" 23 us after), and 8 s later all calls
// went out at once on the old list, as the feed had counted as out of reach for 7.5 s.
func TestAStallWithoutAConnectionIsNoTimeOutOfReach(t *testing.T) {
	for name, c := range map[string]struct {
		ranAgo    time.Duration
		isCurrent bool
	}{
		"stopped for 8 s":              {8 * time.Second, false},
		"stopped for a second":         {minStall, false},
		"out of reach, and running on": {2 * runningInterval, true},
	} {
		now := time.Now()
		f := newFreshness(now.Add(-10 * time.Second))
		f.lostAt = now.Add(-9 * time.Second)
		f.runningAt = now.Add(-c.ranAgo)
		currentAt, _ := f.check(50 * time.Millisecond)
		if isCurrent := !currentAt.Before(now); isCurrent != c.isCurrent {
			t.Errorf("%s: current %v ago", name, now.Sub(currentAt))
		}
		f.lostAt = f.lostAt.Add(-reconnectTime) // it has run on since, and was not found
		if currentAt, _ = f.check(50 * time.Millisecond); currentAt.Before(now) {
			t.Errorf("%s: the feed never counts as out of reach", name)
		}
	}
}
