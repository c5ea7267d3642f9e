package choice

import (
	"fmt"
	"hash/fnv"
	"math"
)

// digestOf folds the decisions of one event, in their order. Of a log line it has that there is one, not its text.
func digestOf(acts []Action) string {
	if len(acts) == 0 {
		return ""
	}
	h := fnv.New64a()
	for _, a := range acts {
		text := a.Payload
		if a.Kind != Log && a.Kind != Fault {
			text += a.Text
		}
		fmt.Fprintf(h, "%s job=%d engine=%d seq=%d span=%d until=%d priority=%d memory=%x mark=%d peer=%d on=%v text=%x\n",
			actionNames.name(a.Kind), a.Job, a.Engine, a.Seq, a.Duration, a.SendDeadline, a.Priority, a.MemoryMB, a.TimerID,
			a.Peer, a.Enabled, text)
		if a.Reason != "" {
			fmt.Fprintf(h, "reason=%s\n", a.Reason)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func logTexts(acts []Action) (texts []string) {
	for _, a := range acts {
		if a.Kind == Log || a.Kind == Fault {
			texts = append(texts, a.Text)
		}
	}
	return texts
}

// stateOf folds what a module believes, each mean to the bit, and where its chance stands: what differs here will be
// decided otherwise some day, also where this stream ends before.
func stateOf(c *Controller, now Nanos) string {
	h := fnv.New32a()
	put := func(values ...any) {
		for _, v := range values {
			if f, ok := v.(float64); ok {
				v = math.Float64bits(f)
			}
			fmt.Fprint(h, v, " ")
		}
	}
	put(uint64(c.random), len(c.liveJobs), len(c.jobs), len(c.buckets), len(c.orderings), len(c.tenants),
		len(c.retryBudget.admittedAt), len(c.retryBudget.retriedAt))
	put(c.fleet.cores, c.fleet.contention, c.fleet.share, c.fleet.estimatedShare, c.sampleSize, c.ownLoad.jobs,
		c.ownLoad.threads, c.ownLoad.memoryMB, c.durationError.mean, c.durationError.count)
	put(c.fleet.meanLatencyRatio, c.fleet.meanFailureRate, c.demand.jobs, c.demand.meanValue, c.demand.meanWork,
		c.demand.meanDuration, c.demand.meanMemoryTime)
	put(c.probeBudget.tokens, c.retryBudget.tokens, c.planWeight, c.offeredThreads, c.gossip.messageTokens,
		c.gossip.mapTokens, c.gossip.mapRound, c.gossip.unreportedJobs, c.gossip.nextEngine)
	put(c.overloadLogged, c.fleet.underPressure, c.watchingEngines)
	for _, t := range c.types {
		put(t.parkedJobs, int64(t.lastLatencyAt), t.price)
		for _, v := range t.figures() {
			put(*v)
		}
	}
	for _, e := range c.engines {
		put(uint32(e.Engine), len(e.attempts), e.ownThreads, e.ownMemoryMB, e.siblingThreads, e.gossipedThreads,
			e.newFailures, e.newSuccesses, e.siblingFailures, e.siblingSuccesses)
		put(e.concurrencyLimit, e.latencyRatio, e.failureRate, int64(e.ejectionTime), e.consecutiveFailures, e.probesPassed,
			e.index, len(e.slowStartWork), fmt.Sprintf("%d", e.lockedTables))
		put(e.refusing, e.underPressure, e.ejected, e.probePending, int64(e.fullUntil), int64(e.suspectedRestartAt),
			int64(e.lastSeenAt), int64(e.loadKnownAt))
	}
	for _, s := range c.EngineViews(now) {
		put(uint32(s.Engine), s.Jobs, s.Threads, s.SiblingThreads, int64(s.ReportAge), int64(s.LastSeenAge),
			s.UnavailableReason)
	}
	for _, s := range c.EngineHealth() {
		put(uint32(s.Engine), s.LatencyRatio, s.FailureRate, s.Ejected)
	}
	return fmt.Sprintf("%08x", h.Sum32())
}
