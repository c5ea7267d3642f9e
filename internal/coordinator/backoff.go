package coordinator

import "math/rand/v2"

// backoff decides when a member that does not answer is spoken with again: at once, then twice as late each time, some earlier
// and some later, so that many that are lost together are not all tried together. It has no clock: times are told.
type backoff struct {
	failed int   // in a row
	next   int64 // ns
}

const (
	againFirst = int64(100e6)
	againMost  = int64(2e9)
	// doubtful is how many of those that failed last are spoken with at once: they may each take as long as is waited at all,
	// and must not take the places of those that answer.
	doubtful = 8
)

func (b backoff) due(now int64) bool { return now >= b.next }

// ended takes in how it went.
func (b *backoff) ended(now int64, well bool, chance *rand.Rand) {
	if well {
		*b = backoff{}
		return
	}
	b.failed++
	wait := min(againMost, againFirst<<min(b.failed-1, 10))
	b.next = now + wait*3/4 + chance.Int64N(wait/2)
}
