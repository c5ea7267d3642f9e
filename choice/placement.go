package choice

import (
	"math"
	"slices"
)

const (
	minSampleSize    = 4        // engines that a job looks at
	resampleInterval = 300 * ms // after it a parked head looks anew
	probeWait        = 60 * ms  // a job waits so long for the probes of its sample
	probeInterval    = 400 * ms // of an engine
	probeValueShare  = 0.05     // of a job's value for the probes of its sample

	probePointsPerJob, maxProbesPerJob = 0.008, 2.0 // that an admitted job pays for probes; probes at the most
	maxProbeTokens, longProbeReserve   = 12.0, 6.0  // probes saved up; of them left to long jobs by short ones

	minPrice       = 1e-9 // points; what costs nothing is counted so
	shortTypeRatio = 4    // types of so many times less work than the longest type are short

	// Of the load that an engine is chosen by, in threads a core:
	minLatencyWeight, maxLatencyWeight = 0.5, 3.0  // its latency beside the fleet's
	failureLoad, repeatLoad            = 4.0, 4.0  // it fails all; it had the job's last attempt
	maxCrossZoneLoad, crossZoneFactor  = 2.0, 10.0 // another zone; for the price of crossing, in mean values
	minCrossZoneValue                  = 0.01      // a job of less value counts for so much
	foreignTablesLoad, tieBreakLoad    = 3.0, 0.02 // a group's loads beyond our own engines; drawn at random
)

// tryDispatch sends a job if its bucket and an engine let it, once the probes of its sample are in.
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

// sampleEngines draws the engines that a job may go to: all where our share is many threads, else a few at
// random, as hundreds of controllers would all choose the same. Without probes, fresh reports go first.
func (c *Controller) sampleEngines(j *job) {
	if j.candidates != nil && c.now-j.sampledAt < resampleInterval {
		return
	}
	j.sampledAt, j.candidates = c.now, j.candidates[:0]
	for _, e := range c.engines {
		if c.sampleSize >= len(c.engines) || (!c.settings.probesAllowed && c.now-e.lastReportAt < reportTTL) ||
			(c.inSlowStart(e) && c.slowStartAllows(j, e)) { // our turn there comes seldom
			j.addCandidate(e)
		}
	}
	for tries := 2 * c.sampleSize; tries > 0 && len(j.candidates) < min(c.sampleSize, len(c.engines)); tries-- {
		j.addCandidate(c.engines[int(c.random.unit()*float64(len(c.engines)))])
	}
	c.probeCandidates(j)
}

func (j *job) addCandidate(e *engine) {
	if e.State == Ready && !e.ejected && !slices.Contains(j.candidates, e) {
		j.candidates = append(j.candidates, e)
	}
}

// probeCandidates probes engines without a fresh report, as far as the job's value and the budget bear it.
func (c *Controller) probeCandidates(j *job) {
	affordable, reserve := 0.0, 1.0
	if c.settings.probesAllowed && c.settings.reportsLoad() {
		affordable = probeValueShare * j.jobType.value / max(minPrice, c.settings.probePrice*c.demand.meanValue)
	}
	if c.isShortType(j.jobType) {
		reserve = longProbeReserve
	}
	for _, e := range j.candidates {
		old := c.now-max(e.loadKnownAt, e.lastProbeAt) >= probeInterval
		if old && !e.probePending && affordable >= 1 && c.probeBudget.tokens >= reserve {
			affordable--
			c.probeBudget.tokens--
			c.sendProbe(e)
		}
	}
}

// isShortType tells types of short jobs: they have priority, and half their start over an engine's limit.
func (c *Controller) isShortType(t *jobType) bool {
	return t.meanWork*shortTypeRatio <= c.longestMeanWork()
}

// pickEngine is the candidate with the lowest load that takes the job, or nil.
func (c *Controller) pickEngine(j *job) *engine {
	var best *engine
	lowest := math.Inf(1)
	for _, e := range j.candidates {
		if !c.dispatchAllowed(j, e) || !c.hasCapacity(j, e) || c.tablesLocked(j, e) {
			continue
		}
		if load := c.placementLoad(j, e); load < lowest {
			best, lowest = e, load
		}
	}
	return best
}

// tablesLocked tells whether a job would stand still on an engine, and hold memory, behind a load.
func (c *Controller) tablesLocked(j *job, e *engine) bool {
	if !j.jobType.locksTables && !j.jobType.waitsForTables {
		return false
	}
	bySibling := c.now-e.lockedTablesAt < reportTTL && slices.Contains(e.lockedTables, j.tables.hash())
	return bySibling || slices.ContainsFunc(e.attempts, func(a *attempt) bool {
		return a.job.jobType.locksTables && a.job.tables == j.tables
	})
}

// placementLoad is what an engine would carry with a job, weighed by how slow it answers, with what else
// speaks for and against it. Each call draws a random number.
func (c *Controller) placementLoad(j *job, e *engine) float64 {
	t := j.jobType
	load := (e.ownThreads + e.siblingThreads + t.threads) / (e.cores * c.slowStartFraction(e))
	latency := e.latencyRatio / c.fleet.meanLatencyRatio
	load = load*min(maxLatencyWeight, max(minLatencyWeight, latency)) + failureLoad*e.failureRate
	if e.Zone != c.settings.zone { // the price is one a job: it keeps jobs of little value near
		price := crossZoneFactor * c.settings.crossZonePrice * c.demand.meanValue
		load += min(maxCrossZoneLoad, price/max(minCrossZoneValue, t.value))
	}
	if e == j.lastEngine {
		load += repeatLoad
	}
	if t.locksTables && (e.index+int(j.tables))%c.settings.controllers != c.settings.ownIndex {
		load += foreignTablesLoad // each controller has its own engines for a group's loads, which block each other
	}
	if weights := c.plan.engine(e.Engine).weights; c.planWeight > 0 && int(t.id) < len(weights) {
		load -= c.planWeight * planPreference * weights[t.id]
	}
	return load + tieBreakLoad*c.random.unit()
}

// dispatchAllowed holds the rules for a dispatch; nothing is sent past it.
func (c *Controller) dispatchAllowed(j *job, e *engine) bool {
	t := j.jobType
	switch {
	case j.finished, j.attempt != nil, j.attemptCount >= c.settings.maxAttempts, c.now >= j.expiresAt, // rule 1
		j.mayHaveRun && !c.repeatAllowed(j, e),       // rule 2
		e.State != Ready,                             // rule 3, with no use of the grace
		c.inSlowStart(e) && !c.slowStartAllows(j, e), // rule 4
		!c.orderingAllows(j),                         // rule 5
		j.requiredProtocols&e.Unsupported != 0,       // rule 6, here and below
		!t.allowedZones.contains(float64(e.Zone)), !t.allowedKinds.contains(float64(e.Kind)):
		return false
	}
	return j.attemptCount == 0 || c.retryBudgetAllows() // rule 7
}
