package decide

import (
	"container/list"

	"swiftreel/choice"
)

// Mark is what an Idempotency-Key names (IETF draft-ietf-httpapi-idempotency-key-header): an update that its client may
// send again. It counts for its tenant only.
type Mark struct {
	Tenant, Text string
}

// Verdict is what to do with an update that has a mark.
type Verdict uint8

// The verdicts.
const (
	New     Verdict = iota // run it
	InHand                 // the first is not over: 409
	Over                   // it is done: the same answer once more, nothing runs
	Unsure                 // it may have run, nobody knows: 502 as the first time, nothing runs
	Differs                // the mark was another text's: 422
	NoRoom                 // it could not be remembered: 503, nothing runs
)

// Marks remembers updates by their marks: while they are in hand, and those done for a window after. Bounded; a mark
// leaves when its update ends without having run, or when its window is over.
type Marks struct {
	most   int
	window choice.Nanos
	known  map[Mark]*marked
	done   *list.List // of *marked, by the end of their window
}

type marked struct {
	mark Mark
	text uint64 // digest of all that was sent
	lost bool   // it may have run
	till choice.Nanos
	over *list.Element // in done
}

// NewMarks keeps up to most marks, each for a window after its update was done.
func NewMarks(most int, window choice.Nanos) *Marks {
	return &Marks{most: max(1, most), window: window, known: map[Mark]*marked{}, done: list.New()}
}

// Come takes an update with its mark and the digest of its text.
func (m *Marks) Come(now choice.Nanos, mark Mark, text uint64) Verdict {
	m.tidy(now)
	k := m.known[mark]
	switch {
	case k == nil && len(m.known) >= m.most:
		return NoRoom // a mark that is forgotten could run twice, so none makes way
	case k == nil:
		m.known[mark] = &marked{mark: mark, text: text}
		return New
	case k.text != text:
		return Differs
	case k.over == nil:
		return InHand
	case k.lost:
		return Unsure
	}
	return Over
}

// Ends is how an update with a mark ended.
type Ends uint8

// The ends. One that never ran may come again and be run; one that may have run must not, until its window is over.
const (
	WasDone Ends = iota
	NeverRan
	MayHaveRun
)

// End tells how the update of a mark ended.
func (m *Marks) End(now choice.Nanos, mark Mark, how Ends) {
	k := m.known[mark]
	if k == nil || k.over != nil {
		return
	}
	switch how {
	case NeverRan:
		delete(m.known, mark)
	default:
		k.lost, k.till = how == MayHaveRun, now+m.window
		k.over = m.done.PushBack(k)
	}
}

// tidy drops what is past its window.
func (m *Marks) tidy(now choice.Nanos) {
	for e := m.done.Front(); e != nil && e.Value.(*marked).till <= now; e = m.done.Front() {
		delete(m.known, e.Value.(*marked).mark)
		m.done.Remove(e)
	}
}

// Kept tells how many marks are.
func (m *Marks) Kept() int { return len(m.known) }
