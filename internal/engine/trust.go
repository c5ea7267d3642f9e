package engine

import "time"

const (
	trustPart  = 0.75             // of the idle time after which a connection was lost under its next dispatch
	trustLeast = time.Millisecond // less is as good as never
	trustKept  = 10 * time.Second // then twice as long is tried
)

// trust is for how long a connection may have been idle to carry another dispatch. Some networks drop what is idle
// without a word long before the settings say so: the next dispatch is then lost, and may have run.
type trust struct {
	usual, now time.Duration
	at         time.Time // of the last change
}

func newTrust(usual time.Duration) trust { return trust{usual: usual, now: usual} }

// lost learns that a connection that had been idle so long was lost under the first dispatch after.
func (t *trust) lost(idle time.Duration, now time.Time) {
	if idle >= trustLeast && idle < t.usual {
		t.now = max(trustLeast, min(t.now, time.Duration(trustPart*float64(idle))))
		t.at = now
	}
}

// span tells it, and is tried twice as long after a while without loss.
func (t *trust) span(now time.Time) time.Duration {
	if t.now < t.usual && now.Sub(t.at) >= trustKept {
		t.now, t.at = min(t.usual, 2*t.now), now
	}
	return t.now
}
