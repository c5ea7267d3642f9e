package choice

import (
	"maps"
	"slices"
)

// bucket holds the parked jobs of one type of one tenant, and counts the threads of those in flight.
type bucket struct {
	jobType       *jobType
	tenant        TenantID
	threadsInUse  float64
	headWaitRatio float64 // time that the bucket's head has waited for capacity, over the latency objective
	queue         []*job  // parked jobs
	lastUsedAt    Nanos
}

func (c *Controller) bucketFor(t *jobType, tenant TenantID) *bucket {
	i := slices.IndexFunc(c.buckets, func(b *bucket) bool { return b.jobType == t && b.tenant == tenant })
	if i < 0 {
		i = len(c.buckets)
		c.buckets = append(c.buckets, &bucket{jobType: t, tenant: tenant})
	}
	c.buckets[i].lastUsedAt = c.now
	return c.buckets[i]
}

// bucketHeads returns the head of each bucket that has one.
func (c *Controller) bucketHeads() (heads []*job) {
	for _, b := range c.buckets {
		if j := c.bucketHead(b); j != nil {
			heads = append(heads, j)
		}
	}
	return heads
}

// park inserts a job into its bucket's queue at an index.
func (c *Controller) park(j *job, at int) {
	j.parked = true
	j.headSince = 0
	j.jobType.parkedJobs++
	j.bucket.queue = slices.Insert(j.bucket.queue, at, j)
}

func (c *Controller) unpark(j *job) {
	if !j.parked {
		return
	}
	j.parked = false
	j.jobType.parkedJobs--
	j.bucket.queue = slices.DeleteFunc(j.bucket.queue, func(o *job) bool { return o == j })
}

// longestHeadWait returns the highest headWaitRatio of the buckets whose types may use all zones and kinds of
// engine that t may use.
func (c *Controller) longestHeadWait(t *jobType) float64 {
	longest := 0.0
	for _, b := range c.buckets {
		if t.allowedZones.subsetOf(b.jobType.allowedZones) && t.allowedKinds.subsetOf(b.jobType.allowedKinds) {
			longest = max(longest, b.headWaitRatio)
		}
	}
	return longest
}

// tenantTokens returns a tenant's token bucket, creating a full one where there is none.
func (c *Controller) tenantTokens(id TenantID, burst float64) *tokenBucket {
	if c.tenants[id] == nil {
		c.tenants[id] = &tokenBucket{tokens: burst, updatedAt: c.now}
	}
	return c.tenants[id]
}

// pruneIdle removes buckets and tenants that have not been used since a time, and ordering keys that have no
// jobs and are no longer paused.
func (c *Controller) pruneIdle(since Nanos) {
	c.buckets = slices.DeleteFunc(c.buckets, func(b *bucket) bool {
		return len(b.queue) == 0 && b.threadsInUse == 0 && b.lastUsedAt < since
	})
	maps.DeleteFunc(c.tenants, func(_ TenantID, t *tokenBucket) bool { return t.updatedAt < since })
	maps.DeleteFunc(c.orderings, func(_ Key, o *keyOrder) bool {
		return len(o.locks) == 0 && c.now >= max(o.pausedUntil, o.retainedUntil) && c.handover.mode != ordersForBoth
	})
}
