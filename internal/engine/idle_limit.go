package engine

import "time"

const (
	idleReduction    = 0.75             // new limit as a fraction of the idle time after which a connection was lost
	minIdleLimit     = time.Millisecond // a loss after a shorter idle time has another cause
	idleLimitHoldoff = 10 * time.Second // time without a loss before the limit is doubled

	// A network or engine that has dropped a connection's state resets it as soon as data arrives: within a round trip,
	// approximated by the dial time, plus resetDelay. A later reset has another cause.
	maxRoundTrip = 50 * time.Millisecond
	resetDelay   = 10 * time.Millisecond
)

// idleLimit is the idle time up to which a connection may carry another dispatch. Some networks silently drop idle
// connections long before the configured timeout; the next dispatch on such a connection is lost and may have run.
type idleLimit struct {
	configured time.Duration // upper bound
	current    time.Duration
	changedAt  time.Time // when current was last lowered or raised
}

// isPromptReset reports whether a connection ended so soon after a write that the idle time before the write is the
// cause.
func isPromptReset(sinceWrite, dialTime time.Duration) bool {
	return sinceWrite <= min(maxRoundTrip, dialTime)+resetDelay
}

func newIdleLimit(configured time.Duration) idleLimit {
	return idleLimit{configured: configured, current: configured}
}

// recordLoss lowers the limit after a connection was lost under the first dispatch following an idle time.
func (l *idleLimit) recordLoss(idle time.Duration, now time.Time) {
	if idle < minIdleLimit || idle >= l.configured {
		return
	}
	reduced := time.Duration(idleReduction * float64(idle))
	l.current = max(minIdleLimit, min(l.current, reduced))
	l.changedAt = now
}

// value returns the limit, and doubles it up to the configured one after idleLimitHoldoff without a loss.
func (l *idleLimit) value(now time.Time) time.Duration {
	if l.current < l.configured && now.Sub(l.changedAt) >= idleLimitHoldoff {
		l.current = min(l.configured, 2*l.current)
		l.changedAt = now
	}
	return l.current
}
