package decide

import "swiftreel/choice"

// Guard keeps a burst of one protocol from taking all places for jobs in hand. The module's buckets keep threads apart
// by reservation type and tenant, but a place for a job is taken before a bucket is asked, first come first served.
//
// Each protocol is sure of what it used of late, as a decaying peak, and some more, up to its part; what nobody is sure
// of anyone may take.
type Guard struct {
	used []use
}

type use struct {
	now  int
	peak float64
	at   choice.Nanos
}

// Figures of the guard.
const (
	peakHalves = choice.Nanos(30_000_000_000) // a peak is half of itself after so long
	spare      = 0.25                         // beyond its peak that a protocol is sure of
	spareLeast = 8.0                          // jobs, at the least
)

// NewGuard is between so many protocols.
func NewGuard(protocols int) *Guard { return &Guard{used: make([]use, protocols)} }

// Take takes a place of most in all for a protocol's job, or tells that none is left for it.
func (g *Guard) Take(now choice.Nanos, protocol, most int) bool {
	all, kept := 0, 0.0
	for i := range g.used {
		u := &g.used[i]
		u.fade(now)
		all += u.now
		if i != protocol {
			part := float64(most) / float64(len(g.used))
			kept += max(0, min(part, u.peak*(1+spare)+spareLeast)-float64(u.now))
		}
	}
	u := &g.used[protocol]
	if float64(all+1) > float64(most)-kept && float64(u.now+1) > float64(most)/float64(len(g.used)) || all >= most {
		return false
	}
	u.now++
	u.peak = max(u.peak, float64(u.now))
	return true
}

// Give gives a place back.
func (g *Guard) Give(protocol int) { g.used[protocol].now-- }

func (u *use) fade(now choice.Nanos) {
	for now-u.at >= peakHalves/8 {
		if now-u.at > 100*peakHalves {
			u.peak, u.at = 0, now
			break
		}
		u.peak *= 0.917004 // an eighth of a halving
		u.at += peakHalves / 8
	}
	u.peak = max(u.peak, float64(u.now))
}
