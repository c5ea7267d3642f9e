package choice

import "slices"

const (
	// While a sweep is overdue by unreadSweepDelay, input may lie unread. Clients keep a greater distance
	// between jobs of a key, so that jobs that are read in time are in order.
	unreadSweepDelay = 50 * ms
	// A key pauses for lateReadWait after a late job: earlier ones may still be unread.
	lateReadWait = 50 * ms
	// Keys of late jobs are remembered for lateReadRetention, in which all other input of that time is read.
	lateReadRetention = second
)

// takeTurn queues a job by its key. While a successor is linked, the job also needs its grant.
func (c *Controller) takeTurn(j *job, ev Event) {
	j.turn = newTurn(ev, c.now)
	j.turn.refused = !c.queueTurn(j.turn)
	j.turn.granted = c.handover.mode != ordersAtSuccessor
	if !j.turn.refused && !j.turn.granted {
		c.requestTurn(j.turn)
	}
}

func (c *Controller) requestTurn(t *turn) {
	c.emit(Action{Kind: RequestTurn, Job: t.job, Key: t.key, ReceivedAfter: t.receivedAfter,
		ReceivedBefore: t.receivedBefore, Enabled: t.granted})
}

// queueTurn queues a turn behind those of jobs that were received earlier. It returns false if that is not
// possible, because a job that may have been received later has started.
func (c *Controller) queueTurn(t *turn) bool {
	if c.orderings[t.key] == nil {
		c.orderings[t.key] = &keyOrder{}
	}
	order := c.orderings[t.key]
	if !t.started && c.mayPrecedeUnread(t) {
		order.pauseFor(lateReadWait, c.now)
		order.keptUntil = c.now + lateReadRetention
	}
	return order.insert(t)
}

// mayPrecedeUnread reports whether an earlier job of the key may still be unread: this one was read late, or
// the process has just been stalled.
func (c *Controller) mayPrecedeUnread(t *turn) bool {
	return t.receivedAfter != t.receivedBefore || c.now < c.stalledUntil+lateReadWait ||
		c.now-c.lastSweepAt > unreadSweepDelay
}

// endTurn removes the turn of a job that has ended, so that the next one of the key may run.
func (c *Controller) endTurn(t *turn) {
	order := c.orderings[t.key]
	order.turns = slices.DeleteFunc(order.turns, func(o *turn) bool { return o == t })
	if t.started {
		order.startedBefore = max(order.startedBefore, t.receivedBefore)
	}
	if c.handover.mode == ordersAtSuccessor && !t.refused {
		pause := max(0, order.pausedUntil-c.now)
		c.emit(Action{Kind: ReleaseTurn, Job: t.job, Key: t.key, Duration: pause})
	}
}

// orderingAllows implements rule 5: all earlier jobs of the key have ended, in both processes of the
// controller, and the pause after an unknown outcome is over.
func (c *Controller) orderingAllows(j *job) bool {
	return j.turn == nil || c.hasTurn(j.turn) && j.turn.granted
}

// hasTurn reports whether a turn is the first of its key, and the key is not paused.
func (c *Controller) hasTurn(t *turn) bool {
	order := c.orderings[t.key]
	return order.turns[0] == t && c.now >= max(order.pausedUntil, c.handover.allPausedUntil)
}

// pauseOrdering pauses an ordering key after an unknown outcome: the attempt may still be running.
func (c *Controller) pauseOrdering(j *job, r Result) {
	if j.turn != nil && (r == TimedOut || r == Reset || r == Canceled) {
		c.orderings[j.key].pauseFor(c.settings.orderPause, c.now)
	}
}

// orderingRefusal refuses a new job of an ordering key whose place in the order is unknown: it was read after
// a later one may have started, or another process of this controller may admit jobs of the key and is not
// linked.
func (c *Controller) orderingRefusal(j *job) Reason {
	if j.turn != nil && (j.turn.refused || c.handover.mode == ordersUnknown) {
		return OrderUnknown
	}
	return ""
}
