package choice

import "math"

const (
	maxBucketQueue, maxParkedPerType = 96, 400            // parked jobs per bucket, per type over all tenants
	maxWork, maxMemoryMB             = 3600 * second, 1e9 // estimates: work is capped, more memory is ignored
	idleStateTTL                     = 10 * second        // idle buckets and tenants are dropped after this
	offeredWindow                    = 10 * second        // time constant of the demand in threads
	demandSamples                    = 100.0              // jobs that the moving means of demand cover
	maxShedSlowdown                  = 2.0                // largest slowdown assumed to predict a job's end

	tenantBurstSeconds, tenantBurstJobs = 2.0, 4.0 // a tenant's burst: seconds of its quota, plus jobs

	overloadWait, overloadEndWait  = 0.15, 0.05 // head wait in latency objectives: the price rises, falls
	priceChangePerSecond, maxPrice = 0.5, 2.0   // price of a second of work, in the mean value of one
)

// newJobType assumes that a job takes half its latency objective until answers show its work.
func newJobType(s typeSettings) *jobType {
	t := &jobType{typeSettings: s, TypeStats: TypeStats{bestSlowdown: 1, slowdown: 1}}
	t.meanWork = math.Max(float64(t.latencyObjective)*t.threads/2, float64(ms))
	return t
}

// admit accepts a job: it is dispatched, parked in its bucket, or rejected at once.
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

// fundBudgets credits what an admitted job earns for retries, gossip and probes.
func (c *Controller) fundBudgets() {
	c.retryBudget.admit(c.now)
	c.retryBudget.tokens = min(maxRetryTokens, c.retryBudget.tokens+retryTokensPerJob)
	c.gossip.messageTokens = min(maxMessageTokens, c.gossip.messageTokens+gossipPointsPerJob)
	c.gossip.unreportedJobs++
	probes := min(maxProbesPerJob, probePointsPerJob/max(minPrice, c.settings.probePrice))
	c.probeBudget.tokens = min(maxProbeTokens, c.probeBudget.tokens+probes)
}

// withinTenantQuota counts a job against our share of its tenant's quota, which may be below a job a second.
func (c *Controller) withinTenantQuota(id TenantID) bool {
	rate := c.settings.tenantQuota(id) * c.quota.tenantShare(id, c.now, c.fleet.share)
	burst := tenantBurstSeconds*rate + tenantBurstJobs
	return c.tenantTokens(id, burst).take(c.now, rate, burst)
}

// shouldShed reports whether a job cannot end before it expires or we stop, or whether its value per work
// (the late value past its deadline) is below the overload price.
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

// nearExpiry reports whether a job needs its final answer now: it expires before the next sweep.
func (c *Controller) nearExpiry(j *job) bool {
	return c.now+sweepInterval+2*c.settings.batchStep >= j.expiresAt
}

// finishUnserved gives a final answer without a result: Throttle where a repeat by the client is harmless.
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

// updatePrices adjusts the price of a second of work to how long queue heads wait. A type follows heads of
// types whose places include its own: full engines cost only the types bound to them.
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
