package decide

import "swiftreel/choice"

// Word is what an engine says of itself: a header of an answer, a close of its connection, the status of a probe.
type Word uint8

// The words.
const (
	Serves Word = iota // an answer or probe without any sign
	Closes             // Connection: close: it may drain, or only tidy up
	Drains             // it says so, or answers 503 to a probe
)

// closesMost is how many connections in a row an engine may close before that counts as draining.
const closesMost = 3

// Drain joins what the list of engines says with what engines say themselves, which may disagree and come in any order.
// An engine drains if either says so. Its own word counts until it says otherwise, until it is seen to have started
// anew, or until it was not heard for a while, in which the list has had time to follow.
type Drain struct {
	stale   choice.Nanos
	engines map[choice.EngineID]*drain // as many as the list has; gone ones leave
}

type drain struct {
	list   choice.EngineEntry
	own    bool
	closed int
	heard  choice.Nanos // the last own word that it drains
	told   choice.EngineState
}

// NewDrain has an own word count for so long without another.
func NewDrain(stale choice.Nanos) *Drain {
	return &Drain{stale: stale, engines: map[choice.EngineID]*drain{}}
}

// Listed takes lines of the list and gives them as the module is to see them.
func (d *Drain) Listed(now choice.Nanos, lines []choice.EngineEntry) (seen []choice.EngineEntry) {
	for _, l := range lines {
		e := d.engines[l.Engine]
		if e == nil {
			e = &drain{}
			d.engines[l.Engine] = e
		} else if l.StartedAt != e.list.StartedAt { // a new start knows nothing of the old one's drain
			e.own, e.closed = false, 0
		}
		e.list = l
		seen = append(seen, e.line(now, d.stale))
		if e.told = seen[len(seen)-1].State; l.State == choice.Removed {
			delete(d.engines, l.Engine)
		}
	}
	return seen
}

// Said takes an engine's own word; a line is given where the module has to hear of a change.
func (d *Drain) Said(now choice.Nanos, id choice.EngineID, w Word) (line choice.EngineEntry, changed bool) {
	e := d.engines[id]
	if e == nil {
		return line, false
	}
	switch w {
	case Serves:
		e.own, e.closed = false, 0
	case Closes:
		if e.closed++; e.closed >= closesMost {
			e.own, e.heard = true, now
		}
	case Drains:
		e.own, e.heard = true, now
	}
	return d.change(now, e)
}

// Pass lets time go by: own words that are stale no longer count. The lines are in the order of ids.
func (d *Drain) Pass(now choice.Nanos, ids []choice.EngineID) (lines []choice.EngineEntry) {
	for _, id := range ids {
		if e := d.engines[id]; e != nil {
			if line, changed := d.change(now, e); changed {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

func (d *Drain) change(now choice.Nanos, e *drain) (choice.EngineEntry, bool) {
	line := e.line(now, d.stale)
	changed := line.State != e.told
	e.told = line.State
	return line, changed
}

// line is the list's, draining where the engine says so.
func (e *drain) line(now, stale choice.Nanos) choice.EngineEntry {
	if e.own && now-e.heard >= stale {
		e.own, e.closed = false, 0
	}
	l := e.list
	if e.own && l.State == choice.Ready {
		l.State = choice.Draining
	}
	return l
}
