package choice

import (
	"cmp"
	"math"
)

const (
	maxBucketQueue, maxParkedPerType = 96, 400            // parked jobs per bucket, per type over all tenants
	maxWork, maxMemoryMB             = 3600 * second, 1e9 // estimates: work is capped, more memory is ignored
	idleStateTTL                     = 10 * second        // idle buckets and tenants are dropped after this
	offeredWindow                    = 10 * second        // time constant of the demand in threads
	demandSamples                    = 100.0              // jobs that the moving means of demand cover

	tenantBurstSeconds, tenantBurstJobs = 2.0, 4.0 // a tenant's burst: seconds of its quota, plus jobs
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
	c.fundBudgets(c.arrivedAt(ev))
	c.demand.observe(j, demandSamples)
	if !c.withinTenantQuota(ev.Tenant) {
		j.value *= c.settings.overQuotaValueFactor
	}
	j.bucket = c.bucketFor(j.jobType, ev.Tenant)
	why := c.shedReason(j)
	if why == "" && len(j.bucket.queue) == 0 && c.tryDispatch(j) {
		return
	}
	if len(j.bucket.queue) >= maxBucketQueue || j.jobType.parkedJobs >= maxParkedPerType {
		why = cmp.Or(why, QueueFull)
	}
	if why != "" {
		c.finishUnserved(j, why)
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

// arrivedAt is when a job may have arrived, at the earliest.
func (c *Controller) arrivedAt(ev Event) Nanos {
	if ev.ArrivedAt == 0 {
		return c.now
	}
	return min(ev.ArrivedAt, c.now)
}

// fundBudgets credits what an admitted job earns for retries, gossip and probes. Retries it earns in the
// window in which it arrived, also where it lay unread since: a process that was stopped finds such jobs.
func (c *Controller) fundBudgets(arrivedAt Nanos) {
	c.retryBudget.admit(arrivedAt)
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
