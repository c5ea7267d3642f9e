package choice

import "slices"

// queuePredecessorLock queues the lock of a job that the predecessor admitted.
func (c *Controller) queuePredecessorLock(ev Event) {
	if c.handover.mode != ordersForBoth || ev.Key == 0 {
		return
	}
	lock := newKeyLock(ev, c.now)
	lock.granted = ev.MayBeRunning
	lock.started = ev.MayBeRunning
	if !c.queueLock(lock) {
		c.emit(Action{Kind: RefuseKeyLock, Job: ev.Job})
		return
	}
	c.handover.predecessorLocks = append(c.handover.predecessorLocks, lock)
}

// releasePredecessorLock ends the lock of a job of the predecessor, or only pauses a key or all keys.
func (c *Controller) releasePredecessorLock(ev Event) {
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
	locks := c.handover.predecessorLocks
	i := slices.IndexFunc(locks, func(lock *keyLock) bool { return lock.job == ev.Job && lock.key == ev.Key })
	if i >= 0 {
		c.removeLock(locks[i])
		c.handover.predecessorLocks = slices.Delete(locks, i, i+1)
	}
}

func (c *Controller) pauseKey(key Key, pause Nanos) {
	if c.orderings[key] == nil {
		c.orderings[key] = &keyOrder{}
	}
	c.orderings[key].pauseFor(min(pause, c.settings.orderPause), c.now)
}

// grantPredecessorLocks grants the predecessor's locks that are first of their keys.
func (c *Controller) grantPredecessorLocks() {
	for _, lock := range c.handover.predecessorLocks {
		if !lock.granted && c.isNext(lock) {
			lock.granted = true
			lock.started = true
			c.emit(Action{Kind: GrantKeyLock, Job: lock.job})
		}
	}
}

// acceptRefusal gives up a job whose lock the successor refused. The job was never dispatched.
func (c *Controller) acceptRefusal(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && j.lock != nil && c.handover.mode == ordersAtSuccessor {
		c.finishWithoutResult(j, OrderUnknown)
	}
}

// acceptGrant lets a job run whose lock the successor granted.
func (c *Controller) acceptGrant(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && j.lock != nil && c.handover.mode == ordersAtSuccessor {
		j.lock.granted = true
	}
}
