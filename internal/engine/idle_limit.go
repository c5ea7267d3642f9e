package engine

import "time"

const (
	idleReduction    = 0.75             // of the idle time after which a connection was lost
	minIdleLimit     = time.Millisecond // a connection idle for less is not to blame for its loss
	idleLimitHoldoff = 10 * time.Second // without a loss, until twice the limit is tried

	// A network or engine that has forgotten a connection resets it as soon as something comes over it: within a round
	// trip, for which the dial stands, and resetDelay. What breaks later breaks for another reason.
	maxRoundTrip = 50 * time.Millisecond
	resetDelay   = 10 * time.Millisecond
)

// idleLimit is for how long a connection may have been idle to carry another dispatch. Some networks silently drop
// idle connections long before the settings say so; the next dispatch on such a connection is lost, and may have run.
type idleLimit struct {
	configured time.Duration
	current    time.Duration
	changedAt  time.Time
}

// isPromptReset reports whether a connection ended so soon after a write that its idle time before is to blame.
func isPromptReset(sinceWrite, dialTime time.Duration) bool {
	return sinceWrite <= min(maxRoundTrip, dialTime)+resetDelay
}

func newIdleLimit(configured time.Duration) idleLimit {
	return idleLimit{configured: configured, current: configured}
}

// lost reports that a connection was lost under the first dispatch after an idle time.
func (l *idleLimit) lost(idle time.Duration, now time.Time) {
	if idle < minIdleLimit || idle >= l.configured {
		return
	}
	reduced := time.Duration(idleReduction * float64(idle))
	l.current = max(minIdleLimit, min(l.current, reduced))
	l.changedAt = now
}

// value returns the limit. It doubles it, up to the configured one, after some time without a loss.
func (l *idleLimit) value(now time.Time) time.Duration {
	if l.current < l.configured && now.Sub(l.changedAt) >= idleLimitHoldoff {
		l.current = min(l.configured, 2*l.current)
		l.changedAt = now
	}
	return l.current
}
