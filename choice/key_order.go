package choice

import "slices"

// keyOrder is the state of one ordering key.
type keyOrder struct {
	locks         []*keyLock // in order of receipt, until removeLock removes them
	pausedUntil   Nanos
	startedBefore Nanos // receivedBefore of the last job that was started and has ended
	retainedUntil Nanos // for startedBefore
}

// keyLock is the lock that a job takes on its ordering key. The locks of a key form a queue, whose first one
// may be in force.
type keyLock struct {
	job            JobID // at the process that admitted the job
	key            Key
	granted        bool  // the process that orders the key's jobs allows the job to run
	started        bool  // an attempt was dispatched, or the predecessor may dispatch one
	refused        bool  // a later job of the key may have started
	receivedAfter  Nanos // bounds of the time of receipt
	receivedBefore Nanos
}

// newKeyLock returns the lock of the job of an event.
func newKeyLock(ev Event, now Nanos) *keyLock {
	lock := &keyLock{job: ev.Job, key: ev.Key, receivedAfter: now, receivedBefore: now}
	if ev.ReceivedAfter != 0 {
		lock.receivedAfter = min(ev.ReceivedAfter, now)
	}
	if ev.ReceivedBefore != 0 {
		lock.receivedBefore = min(max(ev.ReceivedBefore, lock.receivedAfter), now)
	}
	return lock
}

// ofSameRead reports whether two jobs came in one read of a connection, in order.
func (lock *keyLock) ofSameRead(other *keyLock) bool {
	return lock.receivedAfter == other.receivedAfter && lock.receivedBefore == other.receivedBefore
}

// insert inserts a lock by its time of receipt, unless its place is unknown.
func (o *keyOrder) insert(lock *keyLock) bool {
	at := len(o.locks)
	for at > 0 && !o.locks[at-1].started && o.locks[at-1].receivedAfter > lock.receivedBefore {
		at--
	}
	latest := o.startedBefore
	for _, earlier := range o.locks[:at] {
		if !earlier.ofSameRead(lock) {
			latest = max(latest, earlier.receivedBefore)
		}
	}
	if latest > lock.receivedAfter && !lock.started {
		return false
	}
	o.locks = slices.Insert(o.locks, at, lock)
	return true
}

func (o *keyOrder) pauseFor(pause, now Nanos) { o.pausedUntil = max(o.pausedUntil, now+pause) }
