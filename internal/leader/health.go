package leader

import "fmt"

// Health is how a voter is, as far as owning goes.
type Health struct {
	Name             string
	Reachable        bool // it answers
	Serving          bool // its own controller does
	ReadyEngines     int  // that this sees ready
	StalledTicks     int64
	ReachableMembers int // members of the fleet that it hears, of Members; both 0: not known
	Members          int
}

const (
	handoverDelay          = int64(3e9)   // ns: an owner that is unfit so long hands over
	initialHandoverBackoff = int64(30e9)  // before the same process hands over once more, twice as long each time
	maxHandoverBackoff     = int64(960e9) // at the most
	maxStalls              = 3            // in stallsIn
	stallWindow            = int64(10e9)
)

// unfit tells why one should not own, or nothing. Without a controller of its own that serves it cannot tell how the fleet is.
func (h Health) unfit() string {
	switch {
	case !h.Reachable:
		return "it does not answer"
	case !h.Serving:
		return "its controller does not serve"
	case h.ReadyEngines == 0:
		return "its controller sees no engine"
	case 2*h.ReachableMembers < h.Members:
		return fmt.Sprintf("it hears %d of %d members", h.ReachableMembers, h.Members)
	}
	return ""
}

// Fitness decides when an owner hands over by itself. It belongs to a process, over all reigns of that: so two that are as bad
// do not hand to and fro. Free of I/O and clock.
type FitnessMonitor struct {
	unfitSince int64 // 0: it is well
	handoverAt int64
	handovers  int
	stalls     []int64 // when
	counted    int64
}

// Look takes a look in: the owner's own health, and that of the other voters. It names who should own in its place, and why;
// nobody where it is well, or nobody else is better.
func (f *FitnessMonitor) Evaluate(now int64, own Health, others []Health) (to, why string) {
	for ; f.counted < own.StalledTicks; f.counted++ {
		f.stalls = append(f.stalls, now)
	}
	for len(f.stalls) > 0 && now-f.stalls[0] >= stallWindow {
		f.stalls = f.stalls[1:]
	}
	why = own.unfit()
	if why == "" && len(f.stalls) >= maxStalls {
		why = fmt.Sprintf("it stalled %d times of late", len(f.stalls))
	}
	if why == "" {
		f.unfitSince = 0
		return "", ""
	}
	if f.unfitSince == 0 {
		f.unfitSince = max(1, now)
	}
	if now-f.unfitSince < handoverDelay || f.handovers > 0 && now-f.handoverAt < min(maxHandoverBackoff, initialHandoverBackoff<<min(f.handovers-1, 10)) {
		return "", ""
	}
	for _, o := range others {
		if o.unfit() == "" {
			f.handoverAt, f.unfitSince = now, 0
			f.handovers++
			return o.Name, why
		}
	}
	return "", ""
}
