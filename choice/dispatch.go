package choice

import "math"

const (
	normalPriority, lockPriority, shortPriority = 1, 2, 3 // others stand still behind a load on their tables

	minGrantSafety, maxGrantSafety = 0.6, 2.2 // mean deviations that a memory grant is over its estimate
	grantSafetySlope               = 2.5      // of them, by the free part of the memory, and where engines swap

	workSamples, estimateSamples       = 50.0, 100.0 // answers that mean work, and errors of estimates, go by
	priorCosts, priorMemories          = 10.0, 5.0   // the first errors of cost, of memory, count as of so many
	maxCostStep, maxDurationStep       = 3.0, 2.0    // logs of true work, and of duration, over its estimate
	bestSlowdownFall, bestSlowdownRise = 0.1, 0.0005 // step of a type's best slowdown to a better one, a worse
	slowdownStep, maxSlowdown          = 0.05, 10.0  // step of its recent one; a higher one counts as this

	minStep, maxStep, maxStepWork = 0.02, 0.25, 4 * second // of an engine's latency ratio, by an answer's work
)

// dispatch sends a job to an engine, with its memory grant and priority where they are heeded.
func (c *Controller) dispatch(j *job, e *engine) bool {
	if !c.dispatchAllowed(j, e) {
		return false
	}
	t := j.jobType
	c.unpark(j)
	grant, reserved := c.memoryGrant(j, e)
	if c.settings.grantsHonored || c.settings.takesPriority {
		c.emit(Action{Kind: SetDispatchOptions, Job: j.id, Priority: c.priority(t), MemoryMB: grant})
	}
	deadline := c.now + c.settings.drainGrace // rule 3: later it may have been draining for too long
	if j.mayHaveRun && !t.repeatable {
		deadline = min(deadline, c.repeatDeadline(j)) // rule 2
	}
	c.emit(Action{Kind: Dispatch, Job: j.id, Engine: e.Engine, SendDeadline: deadline})
	if j.attemptCount > 0 {
		c.retryBudget.retry(c.now)
	}
	if c.inSlowStart(e) {
		e.slowStartWork = append(e.slowStartWork, timedWork{c.now, max(j.work, t.meanWork)})
	}
	attach(&attempt{job: j, engine: e, seq: AttemptSeq(j.attemptCount), dispatchedAt: c.now,
		lastProgressAt: c.now, reservedMB: reserved, expectedNanos: j.work / t.threads * t.slowdown})
	return true
}

func (c *Controller) priority(t *jobType) uint8 {
	if c.isShortType(t) {
		return shortPriority
	} else if t.locksTables {
		return lockPriority
	}
	return normalPriority
}

// memoryGrant is the MB that a job is granted on an engine (0: not said), and that it is thought to hold.
// Free memory buys safety from a low estimate; where engines swap only what is used counts: safety is free.
func (c *Controller) memoryGrant(j *job, e *engine) (grant, reserved float64) {
	reserved = c.memoryNeed(j, e)
	if !c.settings.grantsHonored || j.memoryMB <= 0 {
		return 0, reserved
	}
	limit, deviation := e.memoryMB*c.settings.maxGrantShare, j.jobType.memoryDeviation
	if c.settings.memorySwaps {
		return min(reserved*math.Exp(grantSafetySlope*deviation), limit), reserved
	}
	used := max(c.knownMemoryMB(e), e.ownMemoryMB/c.fleet.share) / max(1, e.memoryMB)
	safety := min(maxGrantSafety, max(minGrantSafety, grantSafetySlope*(1-used)))
	grant = min(reserved*math.Exp(safety*deviation), limit)
	return grant, grant
}

// handleAttemptEnd takes the outcome of an attempt: its job is finished, parked for a retry, or given up.
func (c *Controller) handleAttemptEnd(ev Event) {
	a := c.attemptOf(ev)
	if a == nil {
		return
	}
	j := a.job
	detach(a)
	c.freedBucket = j.bucket
	j.mayHaveRun = j.mayHaveRun || !ev.Result.NeverRan()
	c.pauseOrdering(j, ev.Result)
	c.applyLoadReport(a.engine, ev.Load)
	c.recordOutcome(a.engine, ev.Result)
	if ev.Result == Done {
		c.observeSuccess(a, ev)
	}
	j.finished = j.finished || ev.IsFinal
	if j.finished {
		c.removeFinished(j)
	} else if c.mayRetry(a, ev.Result) {
		c.park(j, 0)
	} else {
		c.finishUnserved(j)
	}
}

// observeSuccess learns from an answer: the true work and memory, the latency beside the best, the limit.
func (c *Controller) observeSuccess(a *attempt, ev Event) {
	t, work := a.job.jobType, a.job.work
	if c.settings.usageReported && ev.Usage > 0 {
		work = t.observeUsage(a.job, usage(ev.Usage))
	}
	if a.stalled > 0 {
		return // its latency tells of us, not of the engine
	}
	c.durationError.observe(a, ev.Latency, maxDurationStep, priorCosts, estimateSamples)
	slowdown := float64(ev.Latency) / (work / t.threads)
	t.observeSlowdown(slowdown, c.now)
	ratio := min(slowdown/t.bestSlowdown, maxSlowdown)
	step := min(maxStep, max(minStep, work/float64(maxStepWork)))
	a.engine.latencyRatio += step * (ratio - a.engine.latencyRatio)
	c.raiseLimit(a.engine, ratio)
	c.updatePressure(a.engine)
}
