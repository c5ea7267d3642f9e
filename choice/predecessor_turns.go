package choice

import "slices"

// queuePredecessorTurn queues the turn of a job that the predecessor admitted.
func (c *Controller) queuePredecessorTurn(ev Event) {
	if c.handover.mode != ordersForBoth || ev.Key == 0 {
		return
	}
	t := newTurn(ev, c.now)
	t.granted = ev.TurnHeld
	t.started = ev.TurnHeld
	if !c.queueTurn(t) {
		c.emit(Action{Kind: RefuseTurn, Job: ev.Job})
		return
	}
	c.handover.predecessorTurns = append(c.handover.predecessorTurns, t)
}

// releasePredecessorTurn ends the turn of a job of the predecessor, or only pauses a key or all keys.
func (c *Controller) releasePredecessorTurn(ev Event) {
	if c.handover.mode != ordersForBoth {
		return
	}
	if ev.Key == 0 {
		c.pauseAllKeys(min(ev.Pause, c.settings.orderPause))
		return
	}
	if ev.Pause > 0 {
		c.pauseKey(ev.Key, ev.Pause)
	}
	turns := c.handover.predecessorTurns
	i := slices.IndexFunc(turns, func(t *turn) bool { return t.job == ev.Job && t.key == ev.Key })
	if i >= 0 {
		c.endTurn(turns[i])
		c.handover.predecessorTurns = slices.Delete(turns, i, i+1)
	}
}

func (c *Controller) pauseKey(key Key, pause Nanos) {
	if c.orderings[key] == nil {
		c.orderings[key] = &keyOrder{}
	}
	c.orderings[key].pauseFor(min(pause, c.settings.orderPause), c.now)
}

// grantTurns grants the predecessor's turns that are first of their keys.
func (c *Controller) grantTurns() {
	for _, t := range c.handover.predecessorTurns {
		if !t.granted && c.hasTurn(t) {
			t.granted = true
			t.started = true
			c.emit(Action{Kind: GrantTurn, Job: t.job})
		}
	}
}

// acceptRefusal gives up a job whose turn the successor refused. The job was never dispatched.
func (c *Controller) acceptRefusal(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && j.turn != nil && c.handover.mode == ordersAtSuccessor {
		c.finishWithoutResult(j, OrderUnknown)
	}
}

// acceptGrant lets a job run whose turn the successor granted.
func (c *Controller) acceptGrant(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && j.turn != nil && c.handover.mode == ordersAtSuccessor {
		j.turn.granted = true
	}
}
