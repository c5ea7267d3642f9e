package choice

import (
	"cmp"
	"slices"
)

const threadsPerCore = 2 // that all buckets together may use before they borrow

// bucketLimit is a bucket's limit in threads, computed at each use: even for all tenants, or as a plan says.
func (c *Controller) bucketLimit(b *bucket) float64 {
	limit := c.fleet.cores * threadsPerCore * c.fleet.share / float64(max(1, len(c.tenants)))
	if c.planWeight > 0 {
		planned := c.fleet.cores * threadsPerCore * c.fleet.share * c.plan.tenantShares[b.tenant]
		limit += c.planWeight * (planned - limit)
	}
	return limit
}

// dispatchParked dispatches parked jobs: first from the bucket that an ended attempt freed (nil: none), then
// the head with the earliest deadline that fits anywhere.
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

// bucketHead is the first parked job of a bucket that its ordering key allows to run, or nil.
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

// orderingAllows is rule 5: all earlier jobs of the key have ended, and the key has paused after an unknown
// outcome. Keys that a predecessor served pause after its end.
func (c *Controller) orderingAllows(j *job) bool {
	order := c.orderings[j.key]
	if !j.jobType.orderedByKey || j.key == 0 || order == nil {
		return true
	}
	pausedUntil := max(order.pausedUntil, c.predecessorEndedAt+c.settings.orderPause)
	return order.jobs[0] == j && c.now >= pausedUntil
}

// pauseOrdering pauses a key after an unknown outcome, as the attempt may still run.
func (c *Controller) pauseOrdering(j *job, r Result) {
	order := c.orderings[j.key]
	if order != nil && j.jobType.orderedByKey && (r == TimedOut || r == Reset || r == Canceled) {
		order.pausedUntil = max(order.pausedUntil, c.now+c.settings.orderPause)
	}
}

// measureHeadWaits records how long the head of each bucket waits for capacity. A head that only waits for a
// load on its tables is no sign of overload.
func (c *Controller) measureHeadWaits() {
	for _, b := range c.buckets {
		j := c.bucketHead(b)
		if b.headWait = 0; j != nil && !slices.ContainsFunc(j.candidates, func(e *engine) bool {
			return c.dispatchAllowed(j, e) && c.hasCapacity(j, e)
		}) {
			b.headWait = float64(c.now-j.headSince) / float64(max(b.jobType.latencyObjective, ms))
		}
	}
}
