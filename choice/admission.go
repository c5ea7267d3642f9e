package choice

import "math"

const (
	maxBucketQueue, maxParkedPerType = 96, 400            // parked jobs of a tenant and type, and of a type
	maxWork, maxMemoryMB             = 3600 * second, 1e9 // of an estimate: more work counts so, more memory not
	idleStateTTL                     = 10 * second        // state of a tenant or bucket without jobs is kept
	offeredWindow                    = 10 * second        // time constant of the threads asked for
	demandSamples                    = 100.0              // jobs that the means of demand go by
	maxShedSlowdown                  = 2.0                // of a type's slowdown, allowed for in a job's end

	tenantBurstSeconds, tenantBurstJobs = 2.0, 4.0 // of its quota, and beside it, that a tenant may save up

	overloadWait, overloadEndWait  = 0.15, 0.05 // of its objective, waited by a head: the price rises, falls
	priceChangePerSecond, maxPrice = 0.5, 2.0   // of a second of work, in mean values for it
)

// newJobType has a type thought to take half its latency objective until jobs tell.
func newJobType(s typeSettings) *jobType {
	t := &jobType{typeSettings: s, TypeStats: TypeStats{bestSlowdown: 1, slowdown: 1}}
	t.meanWork = math.Max(float64(t.latencyObjective)*t.threads/2, float64(ms))
	return t
}

// admit takes in a job: it is dispatched, parked in its bucket, or rejected at once.
func (c *Controller) admit(ev Event) {
	if int(ev.Type) >= len(c.types) || c.jobs[ev.Job] != nil {
		return
	}
	j := c.newJob(ev)
	c.addJob(j)
	c.fundBudgets()
	c.demand.observe(j, demandSamples)
	if !c.withinTenantQuota(ev.Tenant) {
		j.value *= c.settings.overQuotaValueFactor
	}
	j.bucket = c.bucketFor(j.jobType, ev.Tenant)
	shed := c.shouldShed(j)
	if !shed && len(j.bucket.queue) == 0 && c.tryDispatch(j) {
		return
	}
	if shed || len(j.bucket.queue) >= maxBucketQueue || j.jobType.parkedJobs >= maxParkedPerType {
		c.finishUnserved(j)
		return
	}
	c.park(j, len(j.bucket.queue))
}

// newJob estimates the work, memory and deadline of a job.
func (c *Controller) newJob(ev Event) *job {
	t := c.types[ev.Type]
	j := &job{id: ev.Job, jobType: t, key: ev.Key, tables: ev.Tables, requiredProtocols: ev.RequiredProtocols,
		expiresAt: c.now + max(0, ev.TimeLeft), work: t.meanWork, value: t.value}
	if ev.CostKnown && ev.Cost > 0 {
		j.work = min(float64(ev.Cost)*math.Exp(t.costBias), float64(maxWork))
		t.observeWork(j.work)
	}
	if ev.MemoryMB > 0 && ev.MemoryMB < maxMemoryMB {
		j.memoryMB = ev.MemoryMB
	}
	c.offeredThreads += j.work / float64(offeredWindow)
	objective := t.latencyObjective + Nanos(t.objectivePerWork*j.work/t.threads)
	j.deadline = min(c.now+objective, j.expiresAt)
	return j
}

// fundBudgets adds what an admitted job pays for: retries, gossip and probes.
func (c *Controller) fundBudgets() {
	c.retryBudget.admit(c.now)
	c.retryBudget.tokens = min(maxRetryTokens, c.retryBudget.tokens+retryTokensPerJob)
	c.gossip.messageTokens = min(maxMessageTokens, c.gossip.messageTokens+gossipPointsPerJob)
	c.gossip.unreportedJobs++
	probes := min(maxProbesPerJob, probePointsPerJob/max(minPrice, c.settings.probePrice))
	c.probeBudget.tokens = min(maxProbeTokens, c.probeBudget.tokens+probes)
}

// withinTenantQuota counts a job against our share of its tenant's quota, which may be under a job a second.
func (c *Controller) withinTenantQuota(id TenantID) bool {
	rate := c.settings.tenantQuota(id) * c.quota.tenantShare(id, c.now, c.fleet.share)
	burst := tenantBurstSeconds*rate + tenantBurstJobs
	return c.tenantTokens(id, burst).take(c.now, rate, burst)
}

// shouldShed tells whether a job cannot end before it expires or we stop, or whether its value for its work
// (the late value, once past its deadline) is under the price of an overload: bursts, costly jobs, slowness.
func (c *Controller) shouldShed(j *job) bool {
	t, value := j.jobType, j.value
	ends := c.now + Nanos(j.work/t.threads*min(max(1, t.slowdown), maxShedSlowdown))
	if c.nearExpiry(j) || ends > min(j.expiresAt, c.stopsAt) {
		return true
	}
	late := ends > j.deadline
	if late {
		value *= t.lateValueFactor
	}
	return (late && value == 0) || value/j.work < t.price*c.demand.meanValue/c.demand.meanWork
}

// nearExpiry tells that a job's final answer is due: the next sweep would come after it expired.
func (c *Controller) nearExpiry(j *job) bool {
	return c.now+sweepInterval+2*c.settings.batchStep >= j.expiresAt
}

// finishUnserved gives the final answer without a result: throttled where a repeat by the client is harmless.
func (c *Controller) finishUnserved(j *job) {
	if j.finished || j.streaming {
		return
	}
	t := j.jobType
	neverRan := !j.mayHaveRun && j.attempt == nil
	dropsRepeats := t.repeatableByKey && t.keyScope == "all" && c.now < j.firstAttemptAt+t.repeatWindow
	if neverRan || t.repeatable || dropsRepeats {
		c.emit(Action{Kind: Throttle, Job: j.id, Duration: c.settings.retryAfter})
	} else {
		c.emit(Action{Kind: CancelPermanently, Job: j.id})
	}
	c.closeJob(j)
}

// updatePrices moves the price of a second of work by how long heads of queues wait: for each type by those
// of types that may go wherever it may, so that a type bound to full engines costs only types bound likewise.
func (c *Controller) updatePrices() {
	step := float64(sweepInterval) / float64(second)
	highest, longestWait := 0.0, 0.0
	for _, t := range c.types {
		wait := c.longestHeadWait(t)
		if wait > overloadWait {
			t.price = min(maxPrice, t.price+priceChangePerSecond*step)
		} else if wait < overloadEndWait {
			t.price = max(0, t.price-priceChangePerSecond*step)
		}
		if c.now-t.lastLatencyAt >= latencyStaleAfter {
			t.slowdown += latencyDecay * (1 - t.slowdown) // or what is rejected for it would keep it
		}
		highest, longestWait = max(highest, t.price), max(longestWait, wait)
	}
	c.logOverload(highest, longestWait)
}
