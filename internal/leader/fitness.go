package leader

import "fmt"

// Health describes a voter's ability to lead.
type Health struct {
	Name             string
	Reachable        bool
	Serving          bool  // the voter's controller serves jobs
	ReadyEngines     int   // as seen by the voter's controller
	StalledTicks     int64 // since its process started
	ReachableMembers int   // of Members; both are 0 if unknown
	Members          int
}

// Parameters of automatic handovers. Times are in nanoseconds.
const (
	handoverDelay          = int64(3e9)   // a leader must have been unfit for this long
	initialHandoverBackoff = int64(30e9)  // before the same process hands over again; doubled each time
	maxHandoverBackoff     = int64(960e9) // upper bound of the backoff
	maxBackoffDoublings    = 10
	maxStalls              = 3 // within stallWindow
	stallWindow            = int64(10e9)
)

// unfitReason returns the reason why a voter should not lead, or "". A leader needs a serving controller of its own to
// know the state of the fleet.
func (h Health) unfitReason() string {
	switch {
	case !h.Reachable:
		return "not reachable"
	case !h.Serving:
		return "its controller does not serve"
	case h.ReadyEngines == 0:
		return "its controller sees no ready engine"
	case 2*h.ReachableMembers < h.Members:
		return fmt.Sprintf("reaches %d of %d members", h.ReachableMembers, h.Members)
	}
	return ""
}

// Handover names the voter that should lead instead, and why.
type Handover struct {
	Successor string // empty if there is no handover
	Reason    string
}

// FitnessMonitor decides when a leader hands over automatically. A process uses one monitor across all its terms, so
// that the backoff keeps two equally unfit voters from handing over to each other repeatedly. It is free of I/O and
// clock, and not safe for concurrent use.
type FitnessMonitor struct {
	unfitSince    int64 // 0 if fit
	handoverAt    int64
	handovers     int
	stallTimes    []int64 // within stallWindow
	countedStalls int64
}

// Evaluate processes the health of the leader and of the other voters at a time in nanoseconds. It returns a handover
// only if the leader has been unfit for handoverDelay and another voter is fit.
func (f *FitnessMonitor) Evaluate(now int64, own Health, others []Health) Handover {
	f.recordStalls(now, own.StalledTicks)
	reason := own.unfitReason()
	if reason == "" && len(f.stallTimes) >= maxStalls {
		reason = fmt.Sprintf("stalled %d times within %d s", len(f.stallTimes), stallWindow/1e9)
	}
	if reason == "" {
		f.unfitSince = 0
		return Handover{}
	}
	if f.unfitSince == 0 {
		f.unfitSince = max(1, now)
	}
	if now-f.unfitSince < handoverDelay || f.isBackingOff(now) {
		return Handover{}
	}
	for _, other := range others {
		if other.unfitReason() == "" {
			f.handoverAt = now
			f.unfitSince = 0
			f.handovers++
			return Handover{Successor: other.Name, Reason: reason}
		}
	}
	return Handover{}
}

func (f *FitnessMonitor) recordStalls(now, total int64) {
	for ; f.countedStalls < total; f.countedStalls++ {
		f.stallTimes = append(f.stallTimes, now)
	}
	for len(f.stallTimes) > 0 && now-f.stallTimes[0] >= stallWindow {
		f.stallTimes = f.stallTimes[1:]
	}
}

func (f *FitnessMonitor) isBackingOff(now int64) bool {
	if f.handovers == 0 {
		return false
	}
	doublings := min(f.handovers-1, maxBackoffDoublings)
	backoff := min(maxHandoverBackoff, initialHandoverBackoff<<doublings)
	return now-f.handoverAt < backoff
}
