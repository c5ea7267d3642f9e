package choice

import (
	"math"
	"slices"
)

const (
	minSampleSize    = 4        // minimum number of engines sampled per job
	resampleInterval = 300 * ms // engines are sampled again for a bucket head after this
	probeWait        = 60 * ms  // maximum wait of a job for the probes of its sample
	probeInterval    = 400 * ms // minimum time between two probes of an engine
	probeValueShare  = 0.05     // maximum part of a job's value spent on probes of its sample

	probePointsPerJob, maxProbesPerJob   = 0.008, 2.0 // points earned per admitted job; cap in probes
	maxProbeTokens, longTypeProbeReserve = 12.0, 6.0  // cap on saved probes; probes reserved for long types

	minPrice       = 1e-9 // points; avoids a division by zero
	shortTypeRatio = 4    // minimum ratio of the longest type's mean work to that of a short type

	// Weights and terms of the placement cost; terms are in threads per core.
	minLatencyWeight, maxLatencyWeight   = 0.5, 3.0  // bounds of the weight for latency relative to the fleet
	failurePenalty, sameEnginePenalty    = 4.0, 4.0  // at failure rate 1; for the engine of the last attempt
	maxCrossZonePenalty, crossZoneFactor = 2.0, 10.0 // for another zone: maximum; per price over job value
	minCrossZoneValue                    = 0.01      // lower bound of the job value in that ratio
	peerTablesPenalty, maxTieBreak       = 3.0, 0.02 // table loads on peers' engines; largest tie-break
)

// tryDispatch dispatches a job if its ordering key and an engine allow it. The job waits up to probeWait
// for pending probes of its sample.
func (c *Controller) tryDispatch(j *job) bool {
	if !c.orderingAllows(j) {
		return false
	}
	c.sampleEngines(j)
	if c.now-j.sampledAt < probeWait && slices.ContainsFunc(j.candidates, func(e *engine) bool {
		return e.probePending && !e.ejected && c.now-e.loadKnownAt >= reportTTL
	}) {
		return false
	}
	e := c.pickEngine(j)
	return e != nil && c.dispatch(j, e)
}

// sampleEngines picks a job's candidate engines: all if this controller's share of the cores is large, else a
// few at random, so that hundreds of controllers do not pick the same ones. Without probes, engines with
// fresh reports come first.
func (c *Controller) sampleEngines(j *job) {
	if j.candidates != nil && c.now-j.sampledAt < resampleInterval {
		return
	}
	j.sampledAt, j.candidates = c.now, j.candidates[:0]
	for _, e := range c.engines {
		if c.sampleSize >= len(c.engines) || (!c.settings.probesAllowed && c.now-e.lastReportAt < reportTTL) ||
			(c.inSlowStart(e) && c.slowStartAllows(j, e)) { // this controller's turns are rare
			j.addCandidate(e)
		}
	}
	for tries := 2 * c.sampleSize; tries > 0 && len(j.candidates) < min(c.sampleSize, len(c.engines)); tries-- {
		j.addCandidate(c.engines[int(c.random.float64()*float64(len(c.engines)))])
	}
	c.probeCandidates(j)
}

func (j *job) addCandidate(e *engine) {
	if e.State == Ready && !e.ejected && !slices.Contains(j.candidates, e) {
		j.candidates = append(j.candidates, e)
	}
}

// probeCandidates probes candidates without a recent report, as far as the job's value and the budget allow.
func (c *Controller) probeCandidates(j *job) {
	affordable, minTokens := 0.0, 1.0
	if c.settings.probesAllowed && c.settings.showsPeerLoad() {
		affordable = probeValueShare * j.jobType.value / max(minPrice, c.settings.probePrice*c.demand.meanValue)
	}
	if c.isShortType(j.jobType) {
		minTokens = longTypeProbeReserve
	}
	for _, e := range j.candidates {
		stale := c.now-max(e.loadKnownAt, e.lastProbeAt) >= probeInterval
		if stale && !e.probePending && affordable >= 1 && c.probeBudget.tokens >= minTokens {
			affordable--
			c.probeBudget.tokens--
			c.sendProbe(e)
		}
	}
}

// isShortType reports whether a type's jobs are short. Short jobs have priority and a higher concurrency
// limit.
func (c *Controller) isShortType(t *jobType) bool {
	return t.meanWork*shortTypeRatio <= c.longestMeanWork()
}

// pickEngine returns the allowed candidate with the lowest placement cost, or nil.
func (c *Controller) pickEngine(j *job) *engine {
	var best *engine
	lowestCost := math.Inf(1)
	for _, e := range j.candidates {
		if !c.dispatchAllowed(j, e) || !c.hasCapacity(j, e) || c.tablesLocked(j, e) {
			continue
		}
		if cost := c.placementCost(j, e); cost < lowestCost {
			best, lowestCost = e, cost
		}
	}
	return best
}

// tablesLocked reports whether a job would hold memory on an engine while a load blocks it.
func (c *Controller) tablesLocked(j *job, e *engine) bool {
	if !j.jobType.locksTables && !j.jobType.waitsForTables {
		return false
	}
	lockedByPeer := c.now-e.lockedTablesAt < reportTTL && slices.Contains(e.lockedTables, j.tables.hash())
	return lockedByPeer || slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.job.jobType.locksTables && a.job.tables == j.tables
	})
}

// placementCost returns the load of an engine with the job added, weighted by the engine's relative latency,
// plus penalties and minus the plan's preference. Each call draws a random number.
func (c *Controller) placementCost(j *job, e *engine) float64 {
	t := j.jobType
	cost := (e.ownThreads + e.peerThreads + t.threads) / (e.cores * c.slowStartFraction(e))
	latency := e.latencyRatio / c.fleet.meanLatencyRatio
	cost = cost*min(maxLatencyWeight, max(minLatencyWeight, latency)) + failurePenalty*e.failureRate
	if e.Zone != c.settings.zone { // the price is per job, so low-value jobs stay in the zone
		price := crossZoneFactor * c.settings.crossZonePrice * c.demand.meanValue
		cost += min(maxCrossZonePenalty, price/max(minCrossZoneValue, t.value))
	}
	if e == j.lastEngine {
		cost += sameEnginePenalty
	}
	if t.locksTables && (e.index+int(j.tables))%c.settings.controllers != c.settings.ownIndex {
		cost += peerTablesPenalty // loads of a group block each other: controllers use different engines
	}
	if weights := c.plan.forEngine(e.Engine).weights; c.planWeight > 0 && int(t.id) < len(weights) {
		cost -= c.planWeight * planPreference * weights[t.id]
	}
	return cost + maxTieBreak*c.random.float64()
}
