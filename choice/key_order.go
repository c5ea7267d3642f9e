package choice

import "slices"

// keyOrder is the state of one ordering key.
type keyOrder struct {
	turns         []*turn // in order of receipt, until endTurn removes them
	pausedUntil   Nanos
	startedBefore Nanos // receivedBefore of the last job that was started and has ended
	keptUntil     Nanos // for startedBefore
}

// turn is the place of a job in the queue of its ordering key.
type turn struct {
	job            JobID // at the process that admitted the job
	key            Key
	granted        bool  // the process that orders the key's jobs allows the job to run
	started        bool  // an attempt was dispatched, or the predecessor may dispatch one
	refused        bool  // a later job of the key may have started
	receivedAfter  Nanos // bounds of the time of receipt
	receivedBefore Nanos
}

// newTurn returns the turn of the job of an event.
func newTurn(ev Event, now Nanos) *turn {
	t := &turn{job: ev.Job, key: ev.Key, receivedAfter: now, receivedBefore: now}
	if ev.ReceivedAfter != 0 {
		t.receivedAfter = min(ev.ReceivedAfter, now)
	}
	if ev.ReceivedBefore != 0 {
		t.receivedBefore = min(max(ev.ReceivedBefore, t.receivedAfter), now)
	}
	return t
}

// ofSameRead reports whether two jobs came in one read of a connection, in order.
func (t *turn) ofSameRead(other *turn) bool {
	return t.receivedAfter == other.receivedAfter && t.receivedBefore == other.receivedBefore
}

// insert inserts a turn by its time of receipt, unless its place is unknown.
func (o *keyOrder) insert(t *turn) bool {
	at := len(o.turns)
	for at > 0 && !o.turns[at-1].started && o.turns[at-1].receivedAfter > t.receivedBefore {
		at--
	}
	latest := o.startedBefore
	for _, earlier := range o.turns[:at] {
		if !earlier.ofSameRead(t) {
			latest = max(latest, earlier.receivedBefore)
		}
	}
	if latest > t.receivedAfter && !t.started {
		return false
	}
	o.turns = slices.Insert(o.turns, at, t)
	return true
}

func (o *keyOrder) pauseFor(pause, now Nanos) { o.pausedUntil = max(o.pausedUntil, now+pause) }
