package leader

import "fmt"

// Health is how a voter is, as far as owning goes.
type Health struct {
	Name    string
	Reached bool // it answers
	Serves  bool // its own controller does
	Engines int  // that this sees ready
	Stalls  int64
	Heard   int // members of the fleet that it hears, of Members; both 0: not known
	Members int
}

const (
	badFor     = int64(3e9)   // ns: an owner that is unfit so long hands over
	restsFirst = int64(30e9)  // before the same process hands over once more, twice as long each time
	restsMost  = int64(960e9) // at the most
	stallsMost = 3            // in stallsIn
	stallsIn   = int64(10e9)
)

// unfit tells why one should not own, or nothing. Without a controller of its own that serves it cannot tell how the fleet is.
func (h Health) unfit() string {
	switch {
	case !h.Reached:
		return "it does not answer"
	case !h.Serves:
		return "its controller does not serve"
	case h.Engines == 0:
		return "its controller sees no engine"
	case 2*h.Heard < h.Members:
		return fmt.Sprintf("it hears %d of %d members", h.Heard, h.Members)
	}
	return ""
}

// Fitness decides when an owner hands over by itself. It belongs to a process, over all reigns of that: so two that are as bad
// do not hand to and fro. Free of I/O and clock.
type Fitness struct {
	badSince int64 // 0: it is well
	downAt   int64
	downs    int
	stalls   []int64 // when
	counted  int64
}

// Look takes a look in: the owner's own health, and that of the other voters. It names who should own in its place, and why;
// nobody where it is well, or nobody else is better.
func (f *Fitness) Look(now int64, own Health, others []Health) (to, why string) {
	for ; f.counted < own.Stalls; f.counted++ {
		f.stalls = append(f.stalls, now)
	}
	for len(f.stalls) > 0 && now-f.stalls[0] >= stallsIn {
		f.stalls = f.stalls[1:]
	}
	why = own.unfit()
	if why == "" && len(f.stalls) >= stallsMost {
		why = fmt.Sprintf("it stalled %d times of late", len(f.stalls))
	}
	if why == "" {
		f.badSince = 0
		return "", ""
	}
	if f.badSince == 0 {
		f.badSince = max(1, now)
	}
	if now-f.badSince < badFor || f.downs > 0 && now-f.downAt < min(restsMost, restsFirst<<min(f.downs-1, 10)) {
		return "", ""
	}
	for _, o := range others {
		if o.unfit() == "" {
			f.downAt, f.badSince = now, 0
			f.downs++
			return o.Name, why
		}
	}
	return "", ""
}
