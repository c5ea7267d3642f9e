package choice

import "slices"

// jobType is a job type: its settings, its statistics and its current state.
type jobType struct {
	typeSettings
	TypeStats
	parkedJobs    int
	lastLatencyAt Nanos   // when slowdown was last updated by an answer
	price         float64 // of a second of work, in the mean value of one; 0: no overload
}

// job is an admitted job that is not finished or has an attempt in flight.
type job struct {
	id                JobID
	jobType           *jobType
	bucket            *bucket
	key               Key
	lock              *keyLock // in the queue of its ordering key; nil: its type is not ordered by key
	tables            TableGroup
	requiredProtocols Protocols
	headSince         Nanos   // when it became the head of its bucket; 0: it is not the head
	deadline          Nanos   // by its latency objective
	expiresAt         Nanos   // by its client's timeout
	work              float64 // ns of one thread, estimated
	memoryMB          float64 // estimated
	value             float64
	candidates        []*engine // engines sampled for it at sampledAt
	sampledAt         Nanos
	attempt           *attempt // in flight; nil: none
	attemptCount      int
	firstAttemptAt    Nanos   // of the first attempt that may have run
	firstEngine       *engine // of the first attempt that may have run
	lastEngine        *engine // of the last attempt
	mayHaveRun        bool    // some attempt ended without proof that it never ran
	parked            bool
	streaming         bool // the answer is being sent to the client
	finished          bool // the final answer was given
}

// attempt is an attempt in flight: a dispatch of a job whose outcome is not known yet.
type attempt struct {
	job              *job
	engine           *engine
	seq              AttemptSeq
	dispatchedAt     Nanos // when Dispatch was emitted
	sendDeadline     Nanos // no byte of the attempt may be sent later
	engineStartedAt  Nanos // StartedAt of the engine at that time
	lastProgressAt   Nanos
	stallTime        Nanos   // time for which this process was stalled
	expectedDuration float64 // ns
	reservedMB       float64 // MB that the attempt is assumed to use
	cancelRequested  bool
	countedAsTimeout bool // counted as a timeout of the engine
}

// attach adds an attempt to its job, bucket and engine.
func attach(a *attempt) {
	j, e := a.job, a.engine
	if !j.mayHaveRun {
		j.firstAttemptAt = a.dispatchedAt
		j.firstEngine = e
	}
	j.attempt = a
	if j.lock != nil {
		j.lock.started = true
	}
	j.lastEngine = e
	j.attemptCount++
	j.bucket.threadsInUse += j.jobType.threads
	e.ownThreads += j.jobType.threads
	e.ownMemoryMB += a.reservedMB
	e.attempts = append(e.attempts, a)
}

// detach removes an attempt that has ended from its job, bucket and engine.
func detach(a *attempt) {
	j, e := a.job, a.engine
	j.attempt = nil
	j.bucket.threadsInUse -= j.jobType.threads
	e.ownThreads -= j.jobType.threads
	e.ownMemoryMB -= a.reservedMB
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == a })
}

// attemptOf returns the attempt that an event refers to, or nil if it is not in flight.
func (c *Controller) attemptOf(ev Event) *attempt {
	j := c.jobs[ev.Job]
	if j == nil || j.attempt == nil || j.attempt.seq != ev.Seq {
		return nil
	}
	return j.attempt
}

// addJob adds a new job. If its type is ordered by key, it is queued behind the earlier jobs of its key.
func (c *Controller) addJob(j *job, ev Event) {
	c.jobs[j.id] = j
	c.liveJobs = append(c.liveJobs, j)
	if j.jobType.orderedByKey && j.key != 0 {
		c.requestLock(j, ev)
	}
}

// finishJob marks a job that needs no further answer as finished, and cancels its attempt. The job stays in
// c.jobs until the attempt has ended.
func (c *Controller) finishJob(j *job) {
	c.unpark(j)
	j.finished = true
	c.cancelAttempt(j.attempt)
	c.removeFinished(j)
}

// removeFinished removes a finished job without an attempt in flight. Then the next job of its key may run.
func (c *Controller) removeFinished(j *job) {
	if !j.finished || j.attempt != nil {
		return
	}
	delete(c.jobs, j.id)
	if j.lock != nil {
		c.removeLock(j.lock)
	}
}

// discountStall excludes the time for which this process was stalled from the duration of attempts in flight
// and from the wait of bucket heads. Answers may be queued behind the timer that reveals the stall.
func (c *Controller) discountStall(stalled Nanos) {
	for _, j := range c.liveJobs {
		if j.attempt != nil {
			j.attempt.stallTime += stalled
			j.attempt.lastProgressAt = c.now
		} else if j.headSince > 0 {
			j.headSince = min(c.now, j.headSince+stalled)
		}
	}
}

// cancelAttempt requests the cancellation of an attempt if that is allowed; nil is ignored.
func (c *Controller) cancelAttempt(a *attempt) {
	if a != nil && c.mayCancel(a) {
		a.cancelRequested = true
		c.emit(Action{Kind: CancelAttempt, Job: a.job.id, Seq: a.seq})
	}
}
