package choice

import (
	"maps"
	"slices"
)

// While a program is replaced, two processes serve one controller, and clients may send jobs of one ordering
// key to either. The successor then orders the jobs of both: it queues the locks that the linked predecessor
// requests among its own, and grants each once it is first. A process answers and dispatches only the jobs
// that it admitted.

// orderingMode says which process orders the jobs of ordering keys.
type orderingMode uint8

const (
	ordersAlone       orderingMode = iota // this one: no other process of this controller admits jobs of keys
	ordersUnknown                         // another process may admit jobs of keys, and is not linked
	ordersForBoth                         // this one, also for its linked predecessor
	ordersAtSuccessor                     // the linked successor
)

// handover is the state of the handover of ordering keys between two processes of one controller.
type handover struct {
	mode             orderingMode
	allPausedUntil   Nanos      // all keys pause until then, as a process that may have served them ended
	predecessorLocks []*keyLock // requested and not released
}

// markUnlinked records whether another process that is not linked may admit jobs of ordering keys.
func (c *Controller) markUnlinked(running bool) {
	switch {
	case running && c.handover.mode == ordersAlone:
		c.handover.mode = ordersUnknown
	case !running && c.handover.mode == ordersUnknown:
		c.handover.mode = ordersAlone
		c.pauseAllKeys(c.settings.orderPause)
	}
}

func (c *Controller) pauseAllKeys(pause Nanos) {
	c.handover.allPausedUntil = max(c.handover.allPausedUntil, c.now+pause)
}

// linkPredecessor makes this process order the jobs of both.
func (c *Controller) linkPredecessor() {
	if c.handover.mode != ordersAtSuccessor {
		c.handover.mode = ordersForBoth
	}
}

// linkSuccessor requests the locks of all open jobs, in their order, before those of any later job.
func (c *Controller) linkSuccessor() {
	if c.handover.mode == ordersForBoth || c.handover.mode == ordersAtSuccessor {
		return
	}
	c.handover.mode = ordersAtSuccessor
	if pause := c.handover.allPausedUntil - c.now; pause > 0 {
		c.emit(Action{Kind: ReleaseKeyLock, Duration: pause})
	}
	for _, key := range slices.Sorted(maps.Keys(c.orderings)) {
		order := c.orderings[key]
		for i, lock := range order.locks {
			j := c.jobs[lock.job]
			lock.granted = i == 0 && (j.attempt != nil || j.mayHaveRun)
			c.requestFromSuccessor(lock)
		}
		if pause := order.pausedUntil - c.now; pause > 0 {
			c.emit(Action{Kind: ReleaseKeyLock, Key: key, Duration: pause})
		}
	}
}

// unlinkSuccessor lets this process order its jobs again. The successor may have served any key.
func (c *Controller) unlinkSuccessor() {
	if c.handover.mode != ordersAtSuccessor {
		return
	}
	c.handover.mode = ordersAlone
	c.pauseAllKeys(c.settings.orderPause)
	for _, order := range c.orderings {
		for _, lock := range order.locks {
			lock.granted = true
		}
	}
}

// unlinkPredecessor drops the locks of a predecessor that ended. A key pauses if its job may still run.
func (c *Controller) unlinkPredecessor() {
	if c.handover.mode != ordersForBoth {
		return
	}
	c.handover.mode = ordersAlone
	for _, lock := range c.handover.predecessorLocks {
		if lock.granted {
			c.orderings[lock.key].pauseFor(c.settings.orderPause, c.now)
		}
		c.removeLock(lock)
	}
	c.handover.predecessorLocks = nil
}
