package choice

import (
	"fmt"
	"hash/fnv"
	"math"
)

// digestActions hashes the actions of one event in their order. Log and Fault texts are left out.
func digestActions(actions []Action) string {
	if len(actions) == 0 {
		return ""
	}
	h := fnv.New64a()
	for _, a := range actions {
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
		if a.Key != 0 {
			fmt.Fprintf(h, "key=%x\n", a.Key)
		}
		if a.ReceivedAfter != 0 || a.ReceivedBefore != 0 {
			fmt.Fprintf(h, "received=%d,%d\n", a.ReceivedAfter, a.ReceivedBefore)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func logTexts(actions []Action) (texts []string) {
	for _, a := range actions {
		if a.Kind == Log || a.Kind == Fault {
			texts = append(texts, a.Text)
		}
	}
	return texts
}

// digestState hashes the state of a controller, with exact floats and the state of its random generator. A difference
// here changes later decisions, even if the recorded stream ends before them.
func digestState(c *Controller, now Nanos) string {
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
	put(c.fleet.meanLatencyRatio, c.fleet.meanFailureRate, c.demand.sampleCount, c.demand.meanValue, c.demand.meanWork,
		c.demand.meanDuration, c.demand.meanMemoryTime)
	put(c.probeBudget.tokens, c.retryBudget.tokens, c.planWeight, c.offeredThreads, c.gossip.messagePoints,
		c.gossip.mapPoints, c.gossip.mapRound, c.gossip.unreportedJobs, c.gossip.nextEngine)
	put(c.overloadLogged, c.fleet.underPressure, c.watchingEngines)
	for _, t := range c.types {
		put(t.parkedJobs, int64(t.lastLatencyAt), t.price)
		for _, v := range t.fields() {
			put(*v)
		}
	}
	for _, e := range c.engines {
		put(uint32(e.Engine), len(e.attempts), e.ownThreads, e.ownMemoryMB, e.peerThreads, e.gossipedThreads,
			e.newFailures, e.newSuccesses, e.peerFailures, e.peerSuccesses)
		put(e.concurrencyLimit, e.latencyRatio, e.failureRate, int64(e.ejectionTime), e.consecutiveFailures, e.probesPassed,
			e.index, len(e.slowStartDispatches), fmt.Sprintf("%d", e.lockedTables))
		put(e.refusing, e.underPressure, e.ejected, e.probePending, int64(e.cooldownUntil), int64(e.suspectedRestartAt),
			int64(e.lastSeenAt), int64(e.loadKnownAt))
	}
	for _, s := range c.EngineViews(now) {
		put(uint32(s.Engine), s.Jobs, s.Threads, s.PeerThreads, int64(s.ReportAge), int64(s.LastSeenAge),
			s.UnavailableReason)
	}
	for _, s := range c.EngineHealth() {
		put(uint32(s.Engine), s.LatencyRatio, s.FailureRate, s.Ejected)
	}
	return fmt.Sprintf("%08x", h.Sum32())
}
