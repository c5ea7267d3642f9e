package choice

import "slices"

const (
	// While a sweep is overdue by overdueSweep, input may lie unread. Clients keep a greater distance
	// between jobs of a key, so that jobs that are read in time are in order.
	overdueSweep = 50 * ms
	// A key pauses for lateReadWait after a late job: earlier ones may still be unread.
	lateReadWait = 50 * ms
	// After a stall, keys are remembered for lateReadRetention, in which all input of that time is read.
	lateReadRetention = second
)

// requestLock queues a job by its key. While a successor is linked, the job also needs its grant.
func (c *Controller) requestLock(j *job, ev Event) {
	j.lock = newKeyLock(ev, c.now)
	j.lock.refused = !c.queueLock(j.lock)
	j.lock.granted = c.handover.mode != ordersAtSuccessor
	if !j.lock.refused && !j.lock.granted {
		c.requestFromSuccessor(j.lock)
	}
}

func (c *Controller) requestFromSuccessor(lock *keyLock) {
	c.emit(Action{Kind: RequestKeyLock, Job: lock.job, Key: lock.key, ReceivedAfter: lock.receivedAfter,
		ReceivedBefore: lock.receivedBefore, Enabled: lock.granted})
}

// queueLock queues a lock behind those of jobs that were received earlier. It returns false if that is not
// possible, because a job that may have been received later has started.
func (c *Controller) queueLock(lock *keyLock) bool {
	if c.orderings[lock.key] == nil {
		c.orderings[lock.key] = &keyOrder{}
	}
	order := c.orderings[lock.key]
	isLate := !lock.started && c.mayFollowBuffered(lock)
	if isLate {
		order.pauseFor(lateReadWait, c.now)
	}
	if isLate || c.now < c.stalledUntil+lateReadRetention {
		order.retainedUntil = c.now + lateReadRetention
	}
	return order.insert(lock)
}

// mayFollowBuffered reports whether an earlier job of the key may still be unread: this one was read late, or
// the process has just been stalled.
func (c *Controller) mayFollowBuffered(lock *keyLock) bool {
	return lock.receivedAfter != lock.receivedBefore || c.now < c.stalledUntil+lateReadWait ||
		c.now-c.lastSweepAt > overdueSweep
}

// removeLock removes the lock of a job that has ended, so that the next one of the key may run.
func (c *Controller) removeLock(lock *keyLock) {
	order := c.orderings[lock.key]
	order.locks = slices.DeleteFunc(order.locks, func(o *keyLock) bool { return o == lock })
	if lock.started {
		order.startedBefore = max(order.startedBefore, lock.receivedBefore)
	}
	if c.handover.mode == ordersAtSuccessor && !lock.refused {
		pause := max(0, order.pausedUntil-c.now)
		c.emit(Action{Kind: ReleaseKeyLock, Job: lock.job, Key: lock.key, Duration: pause})
	}
}

// orderingAllows implements rule 5: all earlier jobs of the key have ended, in both processes of the
// controller, and the pause after an unknown outcome is over.
func (c *Controller) orderingAllows(j *job) bool {
	return j.lock == nil || c.isNext(j.lock) && j.lock.granted
}

// isNext reports whether a lock is the first of its key, and the key is not paused.
func (c *Controller) isNext(lock *keyLock) bool {
	order := c.orderings[lock.key]
	return order.locks[0] == lock && c.now >= max(order.pausedUntil, c.handover.allPausedUntil)
}

// pauseOrdering pauses an ordering key after an unknown outcome: the attempt may still be running.
func (c *Controller) pauseOrdering(j *job, r Result) {
	if j.lock != nil && (r == TimedOut || r == Reset || r == Canceled) {
		c.orderings[j.key].pauseFor(c.settings.orderPause, c.now)
	}
}

// orderingRefusal refuses a new job of an ordering key whose place in the order is unknown: it was read after
// a later one may have started, or another process of this controller may admit jobs of the key and is not
// linked.
func (c *Controller) orderingRefusal(j *job) Reason {
	if j.lock != nil && (j.lock.refused || c.handover.mode == ordersUnknown) {
		return OrderUnknown
	}
	return ""
}
