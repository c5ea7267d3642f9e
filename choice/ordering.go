package choice

import "slices"

// keyOrder is the state of one ordering key.
type keyOrder struct {
	turns       []*turn // in order of admission, until endTurn removes them
	pausedUntil Nanos
}

// turn is the place of a job in the queue of its ordering key.
type turn struct {
	job     JobID // at the process that admitted the job
	key     Key
	granted bool // the process that orders the key's jobs allows the job to run
}

// takeTurn queues a job behind the earlier jobs of its key. While a successor is linked, the job also needs
// the successor's grant.
func (c *Controller) takeTurn(j *job) {
	j.turn = &turn{job: j.id, key: j.key, granted: c.handover.mode != ordersAtSuccessor}
	c.queueTurn(j.turn)
	if !j.turn.granted {
		c.emit(Action{Kind: RequestTurn, Job: j.id, Key: j.key})
	}
}

func (c *Controller) queueTurn(t *turn) {
	if c.orderings[t.key] == nil {
		c.orderings[t.key] = &keyOrder{}
	}
	order := c.orderings[t.key]
	order.turns = append(order.turns, t)
}

// endTurn removes the turn of a job that has ended, so that the next one of the key may run.
func (c *Controller) endTurn(t *turn) {
	order := c.orderings[t.key]
	order.turns = slices.DeleteFunc(order.turns, func(o *turn) bool { return o == t })
	if c.handover.mode == ordersAtSuccessor {
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

func (o *keyOrder) pauseFor(pause, now Nanos) { o.pausedUntil = max(o.pausedUntil, now+pause) }

// orderingRefusal refuses a new job of an ordering key while another process of this controller may admit
// jobs of the key too and the two are not linked: nobody knows their common order.
func (c *Controller) orderingRefusal(j *job) Reason {
	if j.turn != nil && c.handover.mode == ordersUnknown {
		return OrderUnknown
	}
	return ""
}
