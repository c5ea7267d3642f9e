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
