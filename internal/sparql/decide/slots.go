package decide

import "swiftreel/choice"

// Slots shares the slots for open jobs between protocols, so that a burst on one protocol does not take them all. The
// decision module's buckets divide engine threads by job type and tenant, but a slot is acquired before that, first
// come, first served.
//
// Each protocol has slots reserved for the decaying peak of its recent use plus some headroom, up to its even share.
// Any protocol may take slots that are not reserved.
type Slots struct {
	usage []slotUsage // by protocol
}

type slotUsage struct {
	inUse     int
	peak      float64
	decayedAt choice.Nanos
}

const (
	peakHalfLife = choice.Nanos(30_000_000_000)
	headroom     = 0.25 // reserved beyond the peak, as a share of it
	minHeadroom  = 8.0  // jobs
)

// A peak decays in steps of an eighth of its half-life, and is reset after many half-lives without an update.
const (
	decayStep       = peakHalfLife / 8
	decayFactor     = 0.917004 // the eighth root of 1/2
	maxDecayElapsed = 100 * peakHalfLife
)

// NewSlots returns slots, all free, that are shared by the given number of protocols, numbered from 0.
func NewSlots(protocols int) *Slots { return &Slots{usage: make([]slotUsage, protocols)} }

// Acquire takes one of capacity slots for a protocol's job. It returns false if none is available to the protocol.
func (s *Slots) Acquire(now choice.Nanos, protocol, capacity int) bool {
	evenShare := float64(capacity) / float64(len(s.usage))
	inUse := 0
	reserved := 0.0 // for the other protocols
	for i := range s.usage {
		usage := &s.usage[i]
		usage.decay(now)
		inUse += usage.inUse
		if i != protocol {
			reserved += usage.reserved(evenShare)
		}
	}
	own := &s.usage[protocol]
	withinUnreserved := float64(inUse+1) <= float64(capacity)-reserved
	withinShare := float64(own.inUse+1) <= evenShare
	if inUse >= capacity || !withinUnreserved && !withinShare {
		return false
	}
	own.inUse++
	own.peak = max(own.peak, float64(own.inUse))
	return true
}

// Release returns a slot of a protocol.
func (s *Slots) Release(protocol int) { s.usage[protocol].inUse-- }

// reserved returns how many free slots are reserved for a protocol.
func (u *slotUsage) reserved(evenShare float64) float64 {
	assured := min(evenShare, u.peak*(1+headroom)+minHeadroom)
	return max(0, assured-float64(u.inUse))
}

func (u *slotUsage) decay(now choice.Nanos) {
	if now-u.decayedAt > maxDecayElapsed {
		u.peak = 0
		u.decayedAt = now
	}
	for now-u.decayedAt >= decayStep {
		u.peak *= decayFactor
		u.decayedAt += decayStep
	}
	u.peak = max(u.peak, float64(u.inUse))
}
