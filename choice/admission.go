package choice

import (
	"cmp"
	"math"
)

const (
	maxParkedPerBucket, maxParkedPerType = 96, 400            // parked per bucket; per type, over all tenants
	maxWork, maxMemoryMB                 = 3600 * second, 1e9 // cap on estimated work; larger memory is ignored
	idleStateTTL                         = 10 * second        // idle buckets and tenants are deleted after this
	offeredDecayTime                     = 10 * second        // time constant by which the offered load decays
	demandSamples                        = 100.0              // jobs that the moving means of demand cover

	tenantBurstSeconds, tenantBurstJobs = 2.0, 4.0 // a tenant's burst: seconds of its quota, plus jobs
)

// newJobType creates a job type. Until answers show its work, a job is assumed to take half its latency
// objective.
func newJobType(s typeSettings) *jobType {
	t := &jobType{typeSettings: s, TypeStats: TypeStats{bestSlowdown: 1, slowdown: 1}}
	t.meanWork = math.Max(float64(t.latencyObjective)*t.threads/2, float64(ms))
	return t
}

// admit handles a new job: it is dispatched, parked in its bucket, or rejected immediately.
func (c *Controller) admit(ev Event) {
	if int(ev.Type) >= len(c.types) || c.jobs[ev.Job] != nil {
		return
	}
	j := c.newJob(ev)
	c.addJob(j, ev)
	c.creditBudgets(c.earliestArrival(ev))
	c.demand.observe(j, demandSamples)
	if !c.takeTenantToken(ev.Tenant) {
		j.value *= c.settings.overQuotaValueFactor
	}
	j.bucket = c.bucketFor(j.jobType, ev.Tenant)
	reason := cmp.Or(c.orderingRefusal(j), c.shedReason(j))
	if reason == "" && len(j.bucket.queue) == 0 && c.tryDispatch(j) {
		return
	}
	if len(j.bucket.queue) >= maxParkedPerBucket || j.jobType.parkedJobs >= maxParkedPerType {
		reason = cmp.Or(reason, QueueFull)
	}
	if reason != "" {
		c.finishWithoutResult(j, reason)
		return
	}
	c.park(j, len(j.bucket.queue))
}

// newJob returns a job with its estimated work and memory, and its deadline.
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
	c.offeredThreads += j.work / float64(offeredDecayTime)
	objective := t.latencyObjective + Nanos(t.objectivePerWork*j.work/t.threads)
	j.deadline = min(c.now+objective, j.expiresAt)
	return j
}

// earliestArrival returns the earliest time at which a job may have arrived.
func (c *Controller) earliestArrival(ev Event) Nanos {
	if ev.ArrivedAt == 0 {
		return c.now
	}
	return min(ev.ArrivedAt, c.now)
}

// creditBudgets credits a job to the budgets for retries, gossip and probes. The retry budget counts the job
// at its arrival time even if it was read much later, as after a pause of the process.
func (c *Controller) creditBudgets(arrivedAt Nanos) {
	c.retryBudget.recordAdmission(arrivedAt)
	c.retryBudget.tokens = min(maxRetryTokens, c.retryBudget.tokens+retryTokensPerJob)
	c.gossip.messagePoints = min(maxMessagePoints, c.gossip.messagePoints+gossipPointsPerJob)
	c.gossip.unreportedJobs++
	earnedProbes := min(maxProbesPerJob, probePointsPerJob/max(minPrice, c.settings.probePrice))
	c.probeBudget.tokens = min(maxProbeTokens, c.probeBudget.tokens+earnedProbes)
}

// takeTenantToken reports whether a job is within this controller's share of its tenant's quota, and takes a
// token if it is. The burst has a fixed part because the share may be less than one job per second.
func (c *Controller) takeTenantToken(id TenantID) bool {
	rate := c.settings.tenantQuota(id) * c.quota.tenantShare(id, c.now, c.fleet.share)
	burst := tenantBurstSeconds*rate + tenantBurstJobs
	return c.tenantTokens(id, burst).take(c.now, rate, burst)
}
