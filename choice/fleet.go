package choice

import (
	"cmp"
	"math"
)

const (
	latencyDecay        = 0.002      // step per sweep of slowdowns and latency ratios toward 1
	latencyStaleAfter   = 5 * second // a type's slowdown decays after this long without an answer
	failureDecay        = 0.999      // factor per sweep on an engine's failure rate
	peerThreadsStep     = 0.02       // step per sweep of unreported peer threads toward the fleet's mean
	ownLoadStep         = 0.005      // step per sweep of the means of own load and of contention
	shareStep           = 0.05       // step per sweep of the own share estimated from reports
	minMeanLatencyRatio = 0.1        // lower bound of the fleet's latency ratio
	minContentionCores  = 4.0        // lower bound of own cores: fewer say little about peers

	maxOwnLoadSpeedup, ownLoadJobs = 10.0, 4.0 // ownLoadStep is multiplied by own jobs / ownLoadJobs, capped
)

// updateEngines applies an endpoint list from discovery. A new start time means a restart, which resets the
// engine's statistics.
func (c *Controller) updateEngines(ev Event) {
	c.watchingEngines = ev.List != ListFailed && (c.watchingEngines || ev.List != CachedList)
	if ev.List == ListFailed {
		return
	}
	if ev.List != ListDelta {
		c.markEnginesRemoved()
	}
	for _, entry := range ev.Engines {
		if e, restarted := c.upsertEngine(entry); restarted {
			e.latencyRatio, e.failureRate = 1, 0
			e.underPressure, e.ejected, e.consecutiveFailures = false, false, 0
			e.concurrencyLimit = e.cores * c.fleet.share
			e.peerThreads = c.fleet.contention * c.warmCores(e)
		}
	}
	c.fleet.cores = c.indexEngines()
	c.sampleSize = max(minSampleSize, int(math.Ceil(c.fleet.cores*c.settings.evenShare)))
}

// updateFleet updates each engine, the means over the fleet and the means of this controller's load.
func (c *Controller) updateFleet() {
	var total fleetTotals
	for _, e := range c.engines {
		c.updateHealth(e)
		total.add(e, c.warmCores(e))
	}
	c.fleet.cores = cmp.Or(total.cores, c.fleet.cores) // kept if all engines are in slow start
	speedup := min(maxOwnLoadSpeedup, max(1, c.ownLoad.jobs/ownLoadJobs))
	c.ownLoad.approach(total.own, ownLoadStep*speedup)
	c.fleet.meanLatencyRatio = max(minMeanLatencyRatio, total.latencyRatio/max(1, total.active))
	c.fleet.meanFailureRate = total.failureRate / max(1, total.active)
	c.logPressure(total.enginesUnderPressure)
}

// updateHealth decays an engine's statistics and restores it after an ejection. Without a fresh report,
// peers are assumed to load it like the rest of the fleet.
func (c *Controller) updateHealth(e *engine) {
	if c.now-e.loadKnownAt >= reportTTL {
		expectedThreads := max(0, c.fleet.contention*c.warmCores(e)-e.ownThreads)
		e.peerThreads += peerThreadsStep * (expectedThreads - e.peerThreads)
	}
	e.latencyRatio += latencyDecay * (1 - e.latencyRatio)
	e.failureRate *= failureDecay
	c.updatePressure(e)
	c.restoreIfHealthy(e)
}

// updateShare estimates this controller's share of the fleet's load from reports, unless a share is assigned.
// Without reports, peers are assumed to have the same load as this controller.
func (c *Controller) updateShare() {
	if c.now-c.fleet.lastReportAt >= reportTTL {
		ownContention := c.ownLoad.threads / max(minContentionCores, c.settings.evenShare*c.fleet.cores)
		c.fleet.contention += ownLoadStep * (ownContention - c.fleet.contention)
	}
	if c.fleet.contention > 0 {
		ownShare := c.ownLoad.threads / max(1, c.fleet.contention*c.fleet.cores)
		c.fleet.estimatedShare += shareStep * (min(1, max(c.settings.evenShare, ownShare)) - c.fleet.estimatedShare)
	}
	if c.fleet.share = c.fleet.estimatedShare; c.now < c.quota.ExpiresAt {
		c.fleet.share = c.quota.FleetShare
	}
}
