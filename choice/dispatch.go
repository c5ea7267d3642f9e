package choice

import (
	"cmp"
	"math"
)

const (
	normalPriority, lockPriority, shortPriority = 1, 2, 3 // lock: for loads, as other jobs wait for their tables

	minGrantSafety, maxGrantSafety = 0.6, 2.2 // safety added to a memory estimate, in mean deviations
	grantSafetySlope               = 2.5      // safety on an empty engine; falls as it fills, unless it swaps

	workSamples, estimateErrorSamples  = 50.0, 100.0 // samples in the moving means of work; of estimate errors
	minCostDivisor, minMemoryDivisor   = 10.0, 5.0   // minimum divisor of the first errors of cost; memory
	maxCostError, maxDurationError     = 3.0, 2.0    // caps on one error of cost; duration (natural log)
	bestSlowdownFall, bestSlowdownRise = 0.1, 0.0005 // step of a type's best slowdown: down; up
	slowdownStep, maxSlowdown          = 0.05, 10.0  // step of its recent slowdown; cap on one sample

	// Step of latency ratios: an answer's work / fullStepWork, within the bounds.
	minLatencyStep, maxLatencyStep, fullStepWork = 0.02, 0.25, 4 * second
)

// dispatch sends a job to an engine, with its memory grant and priority if engines honor them.
func (c *Controller) dispatch(j *job, e *engine) bool {
	if !c.dispatchAllowed(j, e) {
		return false
	}
	t := j.jobType
	c.unpark(j)
	grant, reserved := c.memoryGrant(j, e)
	if c.settings.grantsHonored || c.settings.priorityHonored {
		c.emit(Action{Kind: SetDispatchOptions, Job: j.id, Priority: c.priority(t), MemoryMB: grant})
	}
	sendDeadline := c.now + c.settings.drainGrace // rule 3: the drain grace may be over later
	if j.mayHaveRun && !t.restartable {
		sendDeadline = min(sendDeadline, c.retrySafeUntil(j)) // rule 2
	}
	c.emit(Action{Kind: Dispatch, Job: j.id, Engine: e.Engine, SendDeadline: sendDeadline})
	if j.attemptCount > 0 {
		c.retryBudget.recordRetry(c.now)
	}
	if c.inSlowStart(e) {
		e.slowStartDispatches = append(e.slowStartDispatches, timedWork{c.now, max(j.work, t.meanWork)})
	}
	attach(&attempt{job: j, engine: e, seq: AttemptSeq(j.attemptCount), dispatchedAt: c.now,
		sendDeadline: sendDeadline, engineStartedAt: e.StartedAt, lastProgressAt: c.now, reservedMB: reserved,
		expectedDuration: j.work / t.threads * t.slowdown})
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

// memoryGrant returns the MB granted to a job (0: unspecified) and the MB that the job is assumed to use. The
// grant uses free memory as a margin for low estimates. Where engines swap, only memory in use counts, so the
// margin costs nothing.
func (c *Controller) memoryGrant(j *job, e *engine) (grant, reserved float64) {
	reserved = c.expectedMemoryMB(j, e)
	if !c.settings.grantsHonored || j.memoryMB <= 0 {
		return 0, reserved
	}
	limit, deviation := e.memoryMB*c.settings.maxGrantShare, j.jobType.memoryDeviation
	if c.settings.memorySwaps {
		return min(reserved*math.Exp(grantSafetySlope*deviation), limit), reserved
	}
	usedShare := max(c.knownMemoryMB(e), e.ownMemoryMB/c.fleet.share) / max(1, e.memoryMB)
	safety := min(maxGrantSafety, max(minGrantSafety, grantSafetySlope*(1-usedShare)))
	grant = min(reserved*math.Exp(safety*deviation), limit)
	return grant, grant
}

// handleAttemptEnd handles the outcome of an attempt: its job is finished, parked for a retry, or given up.
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
	c.recordOutcome(a.engine, ev.Result, ev.ConnectedAt)
	if ev.Result == Done {
		c.observeSuccess(a, ev)
	}
	j.finished = j.finished || ev.IsFinal
	if j.finished {
		c.removeFinished(j)
	} else if c.takeRetry(a, ev.Result) {
		c.park(j, 0)
	} else {
		c.finishWithoutResult(j, cmp.Or(c.shedReason(j), NoRetryLeft))
	}
}

// observeSuccess updates the estimates of work, memory and latency, and adjusts the concurrency limit.
func (c *Controller) observeSuccess(a *attempt, ev Event) {
	t, work := a.job.jobType, a.job.work
	if c.settings.usageReported && ev.Usage > 0 {
		work = t.observeUsage(a.job, usage(ev.Usage))
	}
	if a.stallTime > 0 {
		return // the measured latency includes a stall of this process
	}
	c.durationError.observe(a, ev.Latency, maxDurationError, minCostDivisor, estimateErrorSamples)
	slowdown := float64(ev.Latency) / (work / t.threads)
	t.observeSlowdown(slowdown, c.now)
	ratio := min(slowdown/t.bestSlowdown, maxSlowdown)
	step := min(maxLatencyStep, max(minLatencyStep, work/float64(fullStepWork)))
	a.engine.latencyRatio += step * (ratio - a.engine.latencyRatio)
	c.raiseLimit(a.engine, ratio)
	c.updatePressure(a.engine)
}
