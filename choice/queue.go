package choice

import (
	"cmp"
	"slices"
)

const bucketThreadsPerCore = 2 // threads per core that all buckets together may use before they borrow

// bucketLimit returns the threads that a bucket may use before it borrows: the same for all tenants, or their
// shares in the plan as far as it is followed. It is computed at each use.
func (c *Controller) bucketLimit(b *bucket) float64 {
	limit := c.fleet.cores * bucketThreadsPerCore * c.fleet.share / float64(max(1, len(c.tenants)))
	if c.planWeight > 0 {
		planned := c.fleet.cores * bucketThreadsPerCore * c.fleet.share * c.plan.tenantShares[b.tenant]
		limit += c.planWeight * (planned - limit)
	}
	return limit
}

// dispatchParked dispatches parked jobs: first from the bucket that an ended attempt freed (nil: none), then
// repeatedly the bucket head with the earliest deadline among those that fit on an engine.
func (c *Controller) dispatchParked(freed *bucket) {
	for freed != nil {
		if j := c.bucketHead(freed); j == nil || !c.tryDispatch(j) {
			break
		}
	}
	for {
		heads := c.bucketHeads()
		slices.SortStableFunc(heads, func(a, b *job) int { return cmp.Compare(a.deadline, b.deadline) })
		if !slices.ContainsFunc(heads, c.tryDispatch) {
			return
		}
	}
}

// bucketHead returns the first parked job of a bucket that its ordering key allows to run, or nil. It records
// when that job became the head.
func (c *Controller) bucketHead(b *bucket) *job {
	i := slices.IndexFunc(b.queue, c.orderingAllows)
	if i < 0 {
		return nil
	}
	if b.queue[i].headSince == 0 {
		b.queue[i].headSince = c.now
	}
	return b.queue[i]
}

// measureHeadWaits records how long the head of each bucket has waited for capacity. A head that waits only
// for a load on its tables does not indicate overload.
func (c *Controller) measureHeadWaits() {
	for _, b := range c.buckets {
		j := c.bucketHead(b)
		if b.headWaitRatio = 0; j != nil && !slices.ContainsFunc(j.candidates, func(e *engine) bool {
			return c.dispatchAllowed(j, e) && c.hasCapacity(j, e)
		}) {
			b.headWaitRatio = float64(c.now-j.headSince) / float64(max(b.jobType.latencyObjective, ms))
		}
	}
}
