// Package choice holds every decision of a swiftreel controller, one Controller an instance. Decide is told
// each event in order, Started first, and gives the actions to carry out until its next call (types.go).
//
// The file follows a job: start, list of engines, arrival, bucket and queue, look, engine bound and choice,
// gates for dispatches and replies, notes, answer, reports, words, sweep, health. docs/design.md says why.
package choice

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const ms, second = Nanos(1e6), Nanos(1e9)

// Tuned values; one set for every deployment.
const (
	sweepInterval, stallThreshold    = 20 * ms, 100 * ms // a sweep that comes so late shows that we stood still
	idleStateTTL, tenantBurstJobs    = 10 * second, 4.0  // jobs of a tenant's share, beside two seconds' worth
	maxBucketQueue, maxParkedPerType = 96, 400           // parked jobs a bucket; a reservation type over all

	// Latency over best: up to which a bound widens by a thread; from which it binds; from which it halves.
	limitRaiseRatio, pressureRatio, limitHalveRatio = 1.5, 2.0, 3.0
	highContention, lowContention                   = 1.75, 1.4 // threads a core that also count as pressure; under which it ends
	limitRaiseInterval, limitHalveInterval          = 250 * ms, 2 * second

	overloadWait                   = 0.15     // of the SLA time, waited by a head: from here the price of a thread rises
	priceChangePerSecond, maxPrice = 0.5, 2.0 // a second, up or down, in mean billed values for a second of work

	overdueFactor, badPlanFactor           = 4.0, 3.0  // times its expected time, and more where estimates scatter
	durationErrorFactor, failureRateStep   = 2.5, 0.05 // mean errors of that time that are chance; of the part that fails
	retryTokensPerJob, maxRetryTokens      = 0.2, 10.0 // further dispatches of what may have run, a job taken; at once
	ejectAfterFailures, restoreAfterProbes = 3.0, 2    // failures in a row that set an engine aside; probes that lead back
	minEjectionTime, maxEjectionTime       = second, 8 * second

	minSampleSize, maxProbeTokens           = 4, 12.0             // engines that a job looks at, at the least; probes saved up
	resampleInterval, probeWait             = 300 * ms, 60 * ms   // a parked head looks anew; it waits so long for its probes
	probeInterval, reportTTL                = 400 * ms, 1500 * ms // an engine; a report so young shows what siblings hold
	probeValueShare, probePointsPerJob      = 0.05, 0.008         // of billed value for a look's probes; points for a job's
	unreportedFillShare, shortTypeFillShare = 0.6, 1.25           // of an engine filled without a fresh report; by quick types
	ownLoadStep, maxOwnLoadSpeedup          = 0.005, 10.0         // of means, a sweep; times that with many jobs out
	probeExhaustedAfter, latencyStaleAfter  = second, 5 * second  // no probe is paid for: the mean must do; no answer of a type
	latencyDecay                            = 0.002               // of slowness, a sweep: an engine, or a type untaught

	planPreference, planMaxMissing, planResumeFactor, offeredWindow = 1.0, 0.2, 0.5, 10 * second // threads a core; part gone, back

	slowStartSafety, slowStartTurnShare, swapFillShare = 0.51, 0.75, 0.8  // of what a cold engine stands; in turns; of paged memory
	restartSuspectShare, outageDuration                = 0.15, 5 * second // of jobs usual: fewer, it just started; after a refusal
	priorJobs, minContentionCores, engineGrantFactor   = 2.0, 4.0, 1.25   // jobs, cores: fewer tell little; granted over an estimate

	gossipCollectors, gossipPointsPerJob, maxMapTokens       = 3, 0.01, 20.0           // of words; points for a job's, and maps; saved up
	gossipRepeatInterval, gossipTTL                          = 4 * second, 10 * second // a word is said anew; a sibling's is forgotten
	minSiblingOutcomes, tablesEveryRounds                    = 4, 3                    // ends told; rounds of maps for tables held
	mapInterval, collectorTakeoverDelay, siblingOutcomeDecay = 100 * ms, second, 0.95  // at most; the next steps in; of ends told, a map
)

// meanOf moves the usual work: a plain mean at first, which a fresh controller needs, then a moving one.
func (t *jobType) observeWork(work float64) {
	t.workCount = min(t.workCount+1, 50)
	t.meanWork += (work - t.meanWork) / (t.workCount + 1)
}

// Decide is told what happened and returns what to do.
func (c *Controller) Decide(now Nanos, ev Event) []Action {
	c.now, c.actions = now, c.actions[:0]
	own := emptyBucket
	switch ev.Kind {
	case Started:
		c.start(ev)
	case EnginesListed:
		c.updateEngines(ev)
	case JobArrived:
		c.admit(ev)
	case ProgressReported:
		c.handleProgress(ev)
	case AttemptEnded:
		own = c.handleAttemptEnd(ev)
	case StreamStarted, ClientDisconnected:
		if j := c.jobs[ev.Job]; j != nil && !j.finished {
			if j.streaming = ev.Kind == StreamStarted; !j.streaming {
				c.closeJob(j)
			}
		}
	case ProbeCompleted:
		c.handleProbe(ev)
	case GossipReceived:
		c.receiveGossip(int(ev.Peer), ev.Payload)
	case Stopping:
		c.stopsAt = c.now + ev.TimeLeft
	case PlanUpdated:
		c.setPlan(ev.Plan)
	case Reconfigured:
		c.applySettings(ev.Settings)
	case StateTransferred: // by an elder, whose jobs told more than the settings do
		for i := range min(len(ev.TypeStats), len(c.types)) {
			if ev.TypeStats[i].plausible() {
				c.types[i].TypeStats = ev.TypeStats[i]
			}
		}
		for _, h := range ev.EngineHealth {
			if i, known := c.findEngine(h.Engine); known && h.plausible() {
				e := c.engines[i]
				if e.latencyRatio, e.failureRate = h.LatencyRatio, h.FailureRate; h.Ejected { // its own rest begins now
					c.eject(e, false)
				}
			}
		}
	case QuotaAssigned: // by who knows what all were asked: until it ends it stands in for our own guess
		c.quota = ev.Quota
	case PredecessorChanged: // until it has ended, nobody here knows what it sent
		if c.predecessorEndedAt = c.now; ev.PredecessorRunning {
			c.predecessorEndedAt = math.MaxInt64 / 2
		}
	case TimerFired:
		if ev.TimerID == c.timerID { // a timer that is not the last one set would start a second chain of them
			c.sweep()
		}
	}
	c.dispatchParked(own)
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) logf(text string, v ...any) {
	c.emit(Action{Kind: Log, Text: fmt.Sprintf(text, v...)})
}

func (c *Controller) start(ev Event) {
	c.random = pcg(ev.Seed)
	c.startedAt, c.lastSweepAt, c.mapAt, c.refused = c.now, c.now, c.now, c.now-outageDuration
	c.stopsAt, c.predecessorEndedAt = math.MaxInt64, math.MinInt64/2
	c.jobs, c.orderings, c.tenants = map[JobID]*job{}, map[Key]*keyOrder{}, map[TenantID]*tenantCredit{}
	c.applySettings(ev.Settings)
	c.share, c.guess, c.slowMean, c.probesLeft, c.sampleSize = c.even, c.even, 1, maxProbeTokens, minSampleSize
	c.workMean, c.spanMean, c.off = 1, 1, 0.4 // until the first job
	c.armTimer()
}

// read takes the settings. What jobs taught a type stays; one that is no longer named keeps its settings.
func (c *Controller) applySettings(f RawSettings) {
	c.facts = f
	c.controllers, c.me = max(1, int(f.number("balancers", 1))), int(f.number("me", 0))
	c.even, c.mostTries = 1/float64(c.controllers), max(1, int(f.number("limits.most_tries", 1)))
	if c.words = nil; f.flag("limits.peer_messages") {
		c.words = make([]peerMessage, c.controllers)
	}
	c.zone, c.crossing = ZoneID(f.number("locality", 0)), f.number("tariffs.cross_zone", 0)
	c.probes, c.cancels = f.flag("limits.probes"), f.flag("limits.cancel")
	c.warmWithin, c.grace = f.nanos("invariants.warm_within_ns"), Nanos(f.number("invariants.drain_grace_ns", 1e18))
	c.swaps, c.step = f.text("domain.memory_short") == "swap", f.nanos("step_ns")
	c.period, c.grantMost = f.nanos("domain.note_period_ns"), f.number("domain.max_grant_share", 1)
	c.concurrentAt = slices.Index(f.list("telemetry.fields"), any("concurrent"))
	c.grantedAt, c.grants = slices.Index(f.list("telemetry.fields"), any("x0")), f.flag("domain.grants_count")
	if c.retryAfter = 0; f.flag("limits.retry_after") {
		c.retryAfter = f.nanos("limits.max_retry_after_ns")
	}
	for i := range f.list("classes") {
		at := func(name string) string { return fmt.Sprintf("classes.%d.%s", i, name) }
		of := func(name string) string { return fmt.Sprintf("domain.%s.%d", name, i) }
		terms := typeSettings{
			id: TypeID(i), threads: math.Max(1, f.number(of("class_threads"), 1)), latencyObjective: f.nanos(at("aim_ns")),
			objectivePerWork: f.number(at("aim_stretch"), 0), value: f.number(at("gain"), 1), lateValueFactor: f.number(at("late_worth"), 0),
			repeatable: f.text(at("idempotency")) == "repeatable", repeatableByKey: f.text(at("idempotency")) == "by_key",
			keyScope: f.text(at("key_scope")), repeatWindow: f.nanos(at("repeat_window_ns")),
			orderedByKey: f.flag(at("fifo_by_key")), locksTables: f.flag(of("writes_tables")),
			waitsForTables: f.flag(of("waits_for_loads")), allowedZones: f.list(at("allowed_in")), allowedKinds: f.list(at("kinds_only")),
		}
		if i < len(c.types) {
			c.types[i].typeSettings = terms
			continue
		}
		t := &jobType{typeSettings: terms, TypeStats: TypeStats{bestSlowdown: 1, slowdown: 1}}
		t.meanWork = math.Max(float64(t.latencyObjective)*t.threads/2, float64(ms)) // until jobs tell better
		c.types = append(c.types, t)
	}
}

func (c *Controller) armTimer() {
	c.timerID++
	c.emit(Action{Kind: SetTimer, Duration: sweepInterval, TimerID: c.timerID})
}

// list takes discovery's view. A start time that changes is a restart: what was learned there is void.
func (c *Controller) updateEngines(ev Event) {
	c.watchingEngines = ev.List != ListFailed && (c.watchingEngines || ev.List != CachedList)
	if ev.List == ListFailed {
		return
	} else if ev.List != ListDelta {
		for _, e := range c.engines {
			e.State = Removed
		}
	}
	for _, l := range ev.Engines {
		i, known := c.findEngine(l.Engine)
		if !known {
			c.engines = slices.Insert(c.engines, i, &engine{latencyRatio: 1, EngineEntry: l})
		}
		e := c.engines[i]
		restarted := !known || e.StartedAt != l.StartedAt
		e.EngineEntry, e.cores = l, math.Max(1, c.facts.number(fmt.Sprintf("domain.cpu_of_kind.%d", l.Kind), 1))
		e.memoryMB = c.facts.number(fmt.Sprintf("domain.size_mb.%d", l.Kind), 0)
		if restarted {
			e.latencyRatio, e.failureRate, e.underPressure, e.ejected, e.consecutiveFailures, e.concurrencyLimit = 1, 0, false, false, 0, e.cores*c.share
			e.siblingThreads = c.crowd * e.cores * math.Floor(c.slowStartFraction(e)) // a cold one is held all but empty
		}
	}
	c.cores = 0
	for i, e := range c.engines {
		if e.index = i; e.State == Ready {
			c.cores += e.cores
		}
	}
	c.sampleSize = max(minSampleSize, int(math.Ceil(c.cores*c.even)))
}

func (c *Controller) findEngine(id EngineID) (int, bool) {
	return slices.BinarySearchFunc(c.engines, id, func(e *engine, id EngineID) int {
		return cmp.Compare(e.Engine, id)
	})
}

// arrive takes a job: it is priced, sent, parked in its bucket or throttled at once.
func (c *Controller) admit(ev Event) {
	if int(ev.Type) >= len(c.types) || c.jobs[ev.Job] != nil {
		return
	}
	t := c.types[ev.Type]
	j := &job{id: ev.Job, jobType: t, key: ev.Key, tables: ev.Tables, arrivedAt: c.now, requiredProtocols: ev.RequiredProtocols,
		expiresAt: c.now + max(0, ev.TimeLeft), work: t.meanWork, value: t.value}
	if ev.CostKnown && ev.Cost > 0 {
		j.work = min(float64(ev.Cost)*math.Exp(t.costBias), float64(3600*second))
		t.observeWork(j.work)
	}
	if ev.MemoryMB > 0 && ev.MemoryMB < 1e9 {
		j.memoryMB = ev.MemoryMB
	}
	c.offeredThreads += j.work / float64(offeredWindow)
	j.deadline = min(c.now+t.latencyObjective+Nanos(t.objectivePerWork*j.work/t.threads), j.expiresAt)
	c.jobs[j.id], c.liveJobs = j, append(c.liveJobs, j)
	if t.orderedByKey && j.key != 0 {
		if c.orderings[j.key] == nil {
			c.orderings[j.key] = &keyOrder{}
		}
		c.orderings[j.key].jobs = append(c.orderings[j.key].jobs, j)
	}
	c.taken = append(c.taken, c.now)
	c.spare = min(maxRetryTokens, c.spare+retryTokensPerJob)
	c.wordsLeft, c.untold = min(10*gossipPointsPerJob, c.wordsLeft+gossipPointsPerJob), c.untold+1
	c.probesLeft = min(maxProbeTokens, c.probesLeft+min(2, probePointsPerJob/max(1e-9, c.facts.number("tariffs.probe", 0))))
	c.arrivals = min(100, c.arrivals+1)
	c.worthMean += (j.value - c.worthMean) / c.arrivals
	c.workMean += (j.work - c.workMean) / c.arrivals
	c.spanMean += (j.work/t.threads - c.spanMean) / c.arrivals
	c.holdMean += (j.memoryMB*math.Exp(t.memoryBias)*j.work/t.threads - c.holdMean) / c.arrivals
	if !c.withinTenantQuota(ev.Tenant) {
		j.value *= c.facts.number("over_share_worth", 1)
	}
	j.bucket = c.bucketFor(t, ev.Tenant)
	if poor := c.shouldShed(j); poor || len(j.bucket.queue) > 0 || !c.tryDispatch(j) {
		if poor || len(j.bucket.queue) >= maxBucketQueue || t.parkedJobs >= maxParkedPerType {
			c.finishUnserved(j)
		} else {
			c.park(j, len(j.bucket.queue))
		}
	}
}

// withinShare counts a tenant's jobs against our part of its quota, which may be under a job a second.
func (c *Controller) withinTenantQuota(id TenantID) bool {
	s, quota := c.tenants[id], c.facts.number(fmt.Sprintf("tenants.%d.quota_per_s", id), 1e9)
	quota *= c.quota.tenantShare(id, c.now, c.share)
	saved := 2*quota + tenantBurstJobs
	if s == nil {
		s = &tenantCredit{updatedAt: c.now, tokens: saved}
		c.tenants[id] = s
	}
	s.tokens, s.updatedAt = min(s.tokens+quota*float64(c.now-s.updatedAt)/float64(second), saved), c.now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// notWorth tells whether a job cannot end before its job timeout, or before we stop, or its billed value for
// its work (late, once past its SLA time) is under the price of an overload: bursts, costly jobs, slowness.
func (c *Controller) shouldShed(j *job) bool {
	t, worth := j.jobType, j.value
	ends := c.now + Nanos(j.work/t.threads*min(max(1, t.slowdown), 2))
	if c.nearExpiry(j) || ends > min(j.expiresAt, c.stopsAt) {
		return true
	}
	if ends > j.deadline {
		worth *= t.lateValueFactor
	}
	return (worth == 0 && ends > j.deadline) || worth/j.work < t.price*c.worthMean/c.workMean
}

func (c *Controller) bucketFor(t *jobType, tenant TenantID) *bucket {
	i := slices.IndexFunc(c.buckets, func(b *bucket) bool { return b.jobType == t && b.tenant == tenant })
	if i < 0 {
		i, c.buckets = len(c.buckets), append(c.buckets, &bucket{jobType: t, tenant: tenant})
	}
	c.buckets[i].lastUsedAt = c.now
	return c.buckets[i]
}

// limit is a bucket's limit in threads, read anew at each use: even for all tenants, or as a plan says.
func (c *Controller) bucketLimit(b *bucket) float64 {
	even := c.cores * 2 * c.share / float64(max(1, len(c.tenants)))
	if c.planWeight > 0 {
		even += c.planWeight * (c.cores*2*c.share*c.plan.tenantShares[b.tenant] - even)
	}
	return even
}

// takePlan follows a plan, or none. What is asked is thought to be as planned until it is known.
func (c *Controller) setPlan(p *Plan) {
	if c.plan, c.planWeight = p.indexed(c.now), 0; p != nil {
		c.planWeight, c.offeredThreads = 1, p.DemandThreads*c.share
		c.updatePlanWeight()
	}
}

// follow says how far the plan still holds: less the more of its threads are out, or engines come that it
// does not know; not at all from planMissing on, or where demand is off by its factor. It comes back at half.
func (c *Controller) updatePlanWeight() {
	there, strange := 0.0, 0.0
	for _, e := range c.engines {
		if _, threads, unknown := c.plan.engine(e.Engine); e.State == Ready && unknown {
			strange += e.cores
		} else if e.State == Ready && !e.ejected {
			there += threads
		}
	}
	gone, off := max(1-there/c.plan.totalThreads, strange/max(1, c.cores)), c.plan.MaxDemandRatio
	ratio, out := max(c.offeredThreads, 1e-9)/max(1e-9, c.plan.DemandThreads*c.share), planMaxMissing
	if c.planWeight == 0 {
		out, off = planResumeFactor*planMaxMissing, 1+planResumeFactor*(off-1)
	}
	hold := max(0, 1-gone/planMaxMissing)
	if gone >= out || (c.now-c.plan.followedSince >= 2*offeredWindow && max(ratio, 1/ratio) > off) {
		hold = 0
	}
	if on := hold > 0; on != (c.planWeight > 0) {
		c.logf("plan followed=%v threads gone=%.2f asked/planned=%.2f", on, gone, ratio)
	}
	c.planWeight = hold
}

// drain sends what is parked: the freed bucket first, then the earliest-due head that fits anywhere.
func (c *Controller) dispatchParked(own *bucket) {
	for j := c.bucketHead(own); j != nil && c.tryDispatch(j); j = c.bucketHead(own) {
	}
	for {
		var heads []*job
		for _, b := range c.buckets {
			if j := c.bucketHead(b); j != nil {
				heads = append(heads, j)
			}
		}
		slices.SortStableFunc(heads, func(a, b *job) int { return cmp.Compare(a.deadline, b.deadline) })
		if !slices.ContainsFunc(heads, c.tryDispatch) {
			return
		}
	}
}

// head is the first parked job whose key lets it go.
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

// turn tells whether a job's key lets it go: all earlier ones are over with every outcome in, and it rested.
func (c *Controller) orderingAllows(j *job) bool {
	l := c.orderings[j.key]
	rest := c.predecessorEndedAt + c.facts.nanos("invariants.order_pause_ns") // of keys that an elder served
	return !j.jobType.orderedByKey || j.key == 0 || l == nil || (l.jobs[0] == j && c.now >= max(l.pausedUntil, rest))
}

// send dispatches a job if its bucket and an engine let it, once the probes of its look are in.
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

// look draws the engines that a job may go to: all where our share is many threads, else a few by chance, as
// hundreds would all choose the same. Those unheard are probed where it pays; else those heard go first.
func (c *Controller) sampleEngines(j *job) {
	if j.candidates != nil && c.now-j.sampledAt < resampleInterval {
		return
	}
	j.sampledAt, j.candidates = c.now, j.candidates[:0]
	bears := 0.0
	if c.probes && max(c.concurrentAt, c.grantedAt) >= 0 {
		bears = probeValueShare * j.jobType.value / max(1e-9, c.facts.number("tariffs.probe", 0)*c.worthMean)
	}
	add := func(e *engine) {
		if e.State == Ready && !e.ejected && !slices.Contains(j.candidates, e) {
			j.candidates = append(j.candidates, e)
		}
	}
	for _, e := range c.engines {
		if c.sampleSize >= len(c.engines) || (!c.probes && c.now-e.lastReportAt < reportTTL) ||
			(c.slowStartFraction(e) < 1 && c.slowStartAllows(j, e)) { // our turn there comes seldom
			add(e)
		}
	}
	for tries := 2 * c.sampleSize; tries > 0 && len(j.candidates) < min(c.sampleSize, len(c.engines)); tries-- {
		add(c.engines[int(c.random.unit()*float64(len(c.engines)))])
	}
	kept := 1.0 // quick jobs leave half of the probes saved up to long ones, which an engine feels for longer
	if c.isShortType(j.jobType) {
		kept = maxProbeTokens / 2
	}
	for _, e := range j.candidates {
		old := c.now-max(e.loadKnownAt, e.lastProbeAt) >= probeInterval
		if old && !e.probePending && bears >= 1 && c.probesLeft >= kept {
			bears, c.probesLeft = bears-1, c.probesLeft-1
			c.sendProbe(e)
		}
	}
}

func (c *Controller) sendProbe(e *engine) {
	e.lastProbeAt, e.probePending = c.now, true
	c.emit(Action{Kind: SendProbe, Engine: e.Engine})
}

// quick tells types of short jobs: at the highest priority, and over an engine's bound by half its start.
func (c *Controller) isShortType(t *jobType) bool { return t.meanWork*4 <= c.longestMeanWork() }

func (c *Controller) longestMeanWork() (most float64) {
	for _, t := range c.types {
		most = max(most, t.meanWork)
	}
	return most
}

// room tells whether an engine takes a job: by its bound under pressure or for a borrower, and its memory.
func (c *Controller) hasCapacity(j *job, e *engine) bool {
	if e.ejected || c.now < e.fullUntil {
		return false
	}
	start, memory := e.cores*c.share, max(e.memoryMB*c.share, e.memoryMB-e.siblingThreads*c.meanMemoryPerThread())
	most := 2 * start
	if b := j.bucket; e.underPressure || (b.threadsInUse > 0 && b.threadsInUse+j.jobType.threads > c.bucketLimit(b)) { // past it, it borrows
		most, memory = e.concurrencyLimit, e.memoryMB*c.share
	}
	if c.isShortType(j.jobType) {
		most += start / 2
	}
	most *= c.slowStartFraction(e)
	// A job fits if half of it does: small shares of small engines would else shut out jobs of many threads.
	// Where none of ours runs, or a share holds no job, what all controllers are known to hold counts instead.
	need, half := c.memoryNeed(j, e), j.jobType.threads/2
	if len(e.attempts) == 0 || most < half {
		part, fill := 1.0, 1.0
		if c.isShortType(j.jobType) {
			part = shortTypeFillShare
		} else if c.now-e.loadKnownAt >= reportTTL && (c.now-c.saved < probeExhaustedAfter || c.reportedLast == 0) {
			part = unreportedFillShare
		}
		if c.swaps {
			fill = swapFillShare
		}
		return e.ownThreads+e.siblingThreads+half <= highContention*part*e.cores*c.slowStartFraction(e) &&
			(e.memoryMB == 0 || c.knownMemoryMB(e)+need <= fill*part*e.memoryMB)
	}
	return e.ownThreads+half <= most && (e.memoryMB == 0 || e.ownMemoryMB+need <= memory)
}

// held is the memory of an engine that all controllers' jobs hold, as far as is known.
func (c *Controller) knownMemoryMB(e *engine) float64 {
	return e.ownMemoryMB + e.siblingThreads*c.meanMemoryPerThread()
}

// threadsEach and grantEach are our means of threads a job and memory a thread, taken for siblings' too.
func (c *Controller) meanThreadsPerJob() float64 {
	return (c.outThreads + priorJobs*c.workMean/c.spanMean) / (c.outJobs + priorJobs)
}
func (c *Controller) meanMemoryPerThread() float64 {
	return (c.outGrants + priorJobs*c.holdMean/c.workMean) / (c.outThreads + priorJobs)
}

// need is the memory that a job is thought to use on an engine.
func (c *Controller) memoryNeed(j *job, e *engine) float64 {
	return min(j.memoryMB*math.Exp(j.jobType.memoryBias), e.memoryMB*c.grantMost)
}

// started is when an engine last started, as far as known or feared: in an outage any not heard of since.
func (c *Controller) effectiveStart(e *engine) Nanos {
	if e.refusing { // it refused, and was not heard since: it starts now at the earliest
		return c.now
	} else if c.now-c.refused < outageDuration && e.lastSeenAt < c.outage {
		return max(e.StartedAt, e.suspectedRestartAt, c.outage)
	}
	return max(e.StartedAt, e.suspectedRestartAt)
}

// warmth is the part of its capacity that a started engine is sure to have.
func (c *Controller) slowStartFraction(e *engine) float64 {
	started := c.effectiveStart(e)
	if started == 0 || c.now-started >= c.warmWithin {
		return 1
	}
	from := c.facts.number("invariants.start_capacity", 1)
	return from + (1-from)*float64(max(0, c.now-started))/float64(c.warmWithin)
}

// pick is the engine with most room: fewest known threads for its cores, weighed by how slow it answers.
func (c *Controller) pickEngine(j *job) *engine {
	var best *engine
	least := math.Inf(1)
	for _, e := range j.candidates {
		if !c.dispatchAllowed(j, e) || !c.hasCapacity(j, e) {
			continue
		}
		told := c.now-e.lockedTablesAt < reportTTL && slices.Contains(e.lockedTables, j.tables.hash())
		if (j.jobType.locksTables || j.jobType.waitsForTables) && (told || slices.ContainsFunc(e.attempts, func(f *attempt) bool {
			return f.job.jobType.locksTables && f.job.tables == j.tables
		})) {
			continue // it would stand still behind the load, and hold its memory
		}
		load := (e.ownThreads + e.siblingThreads + j.jobType.threads) / (e.cores * c.slowStartFraction(e))
		load = load*min(3, max(0.5, e.latencyRatio/c.slowMean)) + 4*e.failureRate
		if e.Zone != c.zone {
			// The price is one a job: it weighs on jobs of little billed value, so that those stay near.
			load += min(2, 10*c.crossing*c.worthMean/max(0.01, j.jobType.value))
		}
		if e == j.lastEngine {
			load += 4
		}
		if j.jobType.locksTables && (e.index+int(j.tables))%c.controllers != c.me {
			load += 3 // each controller has engines of its own for a group's loads, as they stand still behind others
		}
		if meant, _, _ := c.plan.engine(e.Engine); c.planWeight > 0 && int(j.jobType.id) < len(meant) {
			load -= c.planWeight * planPreference * meant[j.jobType.id]
		}
		if load += 0.02 * c.random.unit(); load < least {
			best, least = e, load
		}
	}
	return best
}

// allowed is the gate of the rules for a dispatch; nothing is sent past it.
func (c *Controller) dispatchAllowed(j *job, e *engine) bool {
	t := j.jobType
	switch {
	case j.finished || j.attempt != nil || j.attemptCount >= c.mostTries || c.now >= j.expiresAt, // rule 1
		j.mayHaveRun && !c.repeatAllowed(j, e),                 // rule 2
		e.State != Ready,                                       // rule 3, with no use of the grace
		c.slowStartFraction(e) < 1 && !c.slowStartAllows(j, e), // rule 4
		!c.orderingAllows(j),                                   // rule 5
		j.requiredProtocols&e.Unsupported != 0,                 // rule 6, here and below
		t.allowedZones != nil && !slices.Contains(t.allowedZones, any(float64(e.Zone))),
		t.allowedKinds != nil && !slices.Contains(t.allowedKinds, any(float64(e.Kind))):
		return false
	}
	return j.attemptCount == 0 || c.retryBudgetAllows() // rule 7
}

// mayRepeat is rule 2 for a job that may have run.
func (c *Controller) repeatAllowed(j *job, e *engine) bool {
	t := j.jobType
	inGroup := t.keyScope == "all" || (t.keyScope == "zone" && e.Zone == j.firstEngine.Zone) ||
		(t.keyScope == "cell" && e.Cell == j.firstEngine.Cell)
	return t.repeatable || (t.repeatableByKey && inGroup && c.now < j.firstAttemptAt+t.repeatWindow-2*c.step)
}

// coldRoom is rule 4: our part of what a just-started engine stands in any window, even where that holds a
// job, else by turns. Who just started, or lost an elder, waits a window: what it sent before is not known.
func (c *Controller) slowStartAllows(j *job, e *engine) bool {
	window, sum := c.facts.nanos("invariants.fall_ns"), max(j.work, j.jobType.meanWork)
	stands := c.facts.number("invariants.fall_multiple", 1) * c.facts.number("invariants.start_capacity", 0)
	budget := slowStartSafety * stands * e.cores * float64(window)
	for _, s := range e.slowStartWork {
		sum += max(s.work, slowStartSafety*c.workMean) // many short ones are no more calls than stand
	}
	turns, ours := max(1, int(budget/max(1, c.longestMeanWork()))), true
	if turns < c.controllers { // by the clock, which all share: who thinks of more turns adds few others to them
		ours = (c.me+int(c.now/max(window, 1))+int(e.Engine))%c.controllers < turns
		budget *= slowStartTurnShare // two turns may meet in a window
	}
	return ours && c.now-max(c.startedAt, c.predecessorEndedAt) >= window && sum <= budget/float64(min(turns, c.controllers))
}

// rationed is rule 7: whether one more dispatch beyond a job's first keeps within the stated budget.
func (c *Controller) retryBudgetAllows() bool {
	window, free := c.facts.nanos("invariants.extra_window_ns"), c.facts.number("invariants.budget_free", 0)
	past := func(at Nanos) bool { return at <= c.now-window }
	c.taken, c.further = slices.DeleteFunc(c.taken, past), slices.DeleteFunc(c.further, past)
	ratio := c.facts.number("invariants.further_ratio", math.Inf(1))
	if c.now-c.predecessorEndedAt < window {
		free = 0 // an elder may have used it
	}
	return math.IsInf(ratio, 1) || float64(len(c.further)+1) <= free+ratio*float64(len(c.taken))
}

// dispatch sends a job, with its memory grant and priority where they are heeded.
func (c *Controller) dispatch(j *job, e *engine) bool {
	if !c.dispatchAllowed(j, e) {
		return false
	}
	t := j.jobType
	c.unpark(j)
	priority := uint8(1)
	if c.isShortType(t) {
		priority = 3
	} else if t.locksTables {
		priority = 2 // others stand still behind it
	}
	grant, held := 0.0, c.memoryNeed(j, e)
	if c.grants && j.memoryMB > 0 {
		// Spare memory buys safety from a low estimate; where only what is used counts, safety is free.
		safety := min(2.2, max(0.6, 2.5*(1-max(c.knownMemoryMB(e), e.ownMemoryMB/c.share)/max(1, e.memoryMB))))
		if c.swaps {
			grant = min(held*math.Exp(2.5*t.memoryDeviation), e.memoryMB*c.grantMost)
		} else {
			grant = min(held*math.Exp(safety*t.memoryDeviation), e.memoryMB*c.grantMost)
			held = grant
		}
	}
	if c.grants || c.facts.flag("domain.takes_priority") {
		c.emit(Action{Kind: SetDispatchOptions, Job: j.id, Priority: priority, MemoryMB: grant})
	}
	until := c.now + c.grace // later it may be told to be draining for too long
	if j.mayHaveRun && !t.repeatable {
		until = min(until, j.firstAttemptAt+t.repeatWindow-2*c.step)
	}
	c.emit(Action{Kind: Dispatch, Job: j.id, Engine: e.Engine, SendDeadline: until})
	f := &attempt{job: j, engine: e, seq: AttemptSeq(j.attemptCount), sentAt: c.now, lastProgressAt: c.now, reservedMB: held,
		expectedNanos: j.work / t.threads * t.slowdown}
	if j.attemptCount > 0 {
		c.further = append(c.further, c.now)
	}
	if c.slowStartFraction(e) < 1 {
		e.slowStartWork = append(e.slowStartWork, timedWork{c.now, max(j.work, t.meanWork)})
	}
	if !j.mayHaveRun {
		j.firstAttemptAt, j.firstEngine = c.now, e
	}
	j.attempt, j.lastEngine = f, e
	j.attemptCount++
	j.bucket.threadsInUse += t.threads
	e.ownThreads, e.ownMemoryMB, e.attempts = e.ownThreads+t.threads, e.ownMemoryMB+f.reservedMB, append(e.attempts, f)
	return true
}

func (c *Controller) park(j *job, at int) {
	j.parked, j.headSince = true, 0
	j.jobType.parkedJobs++
	j.bucket.queue = slices.Insert(j.bucket.queue, at, j)
}

func (c *Controller) unpark(j *job) {
	if j.parked {
		j.parked = false
		j.jobType.parkedJobs--
		j.bucket.queue = slices.DeleteFunc(j.bucket.queue, func(o *job) bool { return o == j })
	}
}

// giveUp is the gate for replies: the final answer goes at once, throttled where a repeat is harmless.
func (c *Controller) finishUnserved(j *job) {
	if j.finished || j.streaming {
		return
	}
	t, unsure := j.jobType, j.mayHaveRun || j.attempt != nil
	if !unsure || t.repeatable || (t.repeatableByKey && t.keyScope == "all" && c.now < j.firstAttemptAt+t.repeatWindow) {
		c.emit(Action{Kind: Throttle, Job: j.id, Duration: c.retryAfter})
	} else {
		c.emit(Action{Kind: CancelPermanently, Job: j.id})
	}
	c.closeJob(j)
}

// end closes a job that was answered; its entry stays until nothing of it is out.
func (c *Controller) closeJob(j *job) {
	c.unpark(j)
	j.finished = true
	c.cancelAttempt(j.attempt)
	c.removeFinished(j)
}

func (c *Controller) cancelAttempt(f *attempt) {
	if f != nil && !f.cancelRequested && c.cancels {
		f.cancelRequested = true
		c.emit(Action{Kind: CancelAttempt, Job: f.job.id, Seq: f.seq})
	}
}

// forget drops a job that is over with every outcome in, and lets the next of its key go.
func (c *Controller) removeFinished(j *job) {
	if !j.finished || j.attempt != nil {
		return
	}
	delete(c.jobs, j.id)
	if l := c.orderings[j.key]; l != nil && j.jobType.orderedByKey {
		l.jobs = slices.DeleteFunc(l.jobs, func(o *job) bool { return o == j })
	}
}

// note reads how far a dispatch is. One whose pace shows a bad plan, or that is overdue, is called back.
func (c *Controller) handleProgress(ev Event) {
	j := c.jobs[ev.Job]
	if j == nil || j.attempt == nil || j.attempt.seq != ev.Seq {
		return
	}
	f, took := j.attempt, float64(c.now-j.attempt.sentAt-j.attempt.stalled)
	if f.lastProgressAt, f.engine.lastSeenAt = c.now, c.now; ev.Progress == ProgressFraction {
		whole := took / max(ev.Amount, 0.01)
		if whole > badPlanFactor*c.durationSpread()*f.expectedNanos && whole-took > 1.5*f.expectedNanos {
			c.cancelToRetry(f)
		}
	}
}

// scatter is how far over those times a good dispatch may run because its estimate was low, as answers show.
func (c *Controller) durationSpread() float64 {
	return max(1, math.Exp(durationErrorFactor*c.off)/badPlanFactor)
}

// silent tells that a dispatch's notes stopped, though they should come.
func (c *Controller) progressStopped(f *attempt) bool {
	return c.period > 0 && c.now-f.lastProgressAt > 5*c.period/2
}

// again tells whether a job may be called back to be sent again: keyed ones well inside their window.
func (c *Controller) mayCancelToRetry(j *job) bool {
	t := j.jobType
	return !j.finished && !j.streaming && j.attemptCount < c.mostTries && c.cancels &&
		(t.repeatable || (t.repeatableByKey && c.now+second < j.firstAttemptAt+t.repeatWindow))
}

// callBack retracts a dispatch to send its job again, within the spare dispatches.
func (c *Controller) cancelToRetry(f *attempt) {
	j, ends := f.job, c.now+Nanos(f.expectedNanos)
	if j.jobType.repeatable && !f.cancelRequested && c.mayCancelToRetry(j) && c.spare >= 1 && ends <= j.expiresAt && c.retryBudgetAllows() {
		c.spare--
		c.cancelAttempt(f)
	}
}

// answer takes the outcome of a dispatch and returns the bucket that it freed.
func (c *Controller) handleAttemptEnd(ev Event) *bucket {
	j := c.jobs[ev.Job]
	if j == nil || j.attempt == nil || j.attempt.seq != ev.Seq {
		return emptyBucket
	}
	f, e, t := j.attempt, j.attempt.engine, j.jobType
	j.attempt = nil
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == f })
	e.ownThreads, e.ownMemoryMB = e.ownThreads-t.threads, e.ownMemoryMB-f.reservedMB
	j.bucket.threadsInUse -= t.threads
	j.mayHaveRun = j.mayHaveRun || !ev.Result.NeverRan()
	if l := c.orderings[j.key]; l != nil && t.orderedByKey &&
		(ev.Result == TimedOut || ev.Result == Reset || ev.Result == Canceled) {
		l.pausedUntil = max(l.pausedUntil, c.now+c.facts.nanos("invariants.order_pause_ns"))
	}
	c.applyLoadReport(e, ev.Load)
	c.recordOutcome(e, ev.Result)
	if ev.Result == Done {
		c.observeSuccess(j, f, ev)
	}
	if j.finished = j.finished || ev.IsFinal; j.finished {
		c.removeFinished(j)
		return j.bucket
	}
	again := !j.mayHaveRun || t.repeatable || t.repeatableByKey
	if !f.cancelRequested && !ev.Result.NeverRan() {
		again, c.spare = again && c.spare >= 1, max(0, c.spare-1)
	}
	if !again || j.attemptCount >= c.mostTries || c.shouldShed(j) {
		c.finishUnserved(j)
	} else {
		c.park(j, 0)
	}
	return j.bucket
}

// learn takes what an answer tells: the true work and memory, the latency beside the best, the bound.
func (c *Controller) observeSuccess(j *job, f *attempt, ev Event) {
	t, e, work := j.jobType, f.engine, j.work
	if c.facts.flag("domain.says_cost") && ev.Usage > 0 {
		work = math.Max(float64(ev.Usage>>12)*float64(ms), float64(ms))
		t.costCount = min(t.costCount+1, 100)
		t.costBias += min(3, max(-3, math.Log(work/j.work))) / max(t.costCount, 10)
		if used := float64(ev.Usage&4095) * 4; used > 0 && j.memoryMB > 0 {
			t.memoryCount = min(t.memoryCount+1, 100)
			off := math.Log(used/j.memoryMB) - t.memoryBias
			t.memoryBias += off / t.memoryCount
			t.memoryDeviation += (math.Abs(off) - t.memoryDeviation) / max(t.memoryCount, 5)
		}
		t.observeWork(work)
	}
	if f.stalled > 0 {
		return // its latency tells of us, not of the engine
	}
	c.offN = min(c.offN+1, 100)
	c.off += (min(2, math.Abs(math.Log(max(1, float64(ev.Latency))/f.expectedNanos))) - c.off) / max(c.offN, 10)
	took := float64(ev.Latency) / (work / t.threads)
	rate := 0.0005
	if took < t.bestSlowdown {
		rate = 0.1
	}
	t.bestSlowdown += rate * (min(took, 2*t.bestSlowdown) - t.bestSlowdown)
	t.lastLatencyAt, t.slowdown = c.now, t.slowdown+0.05*(min(took, 10)-t.slowdown)
	ratio := min(took/t.bestSlowdown, 10)
	e.latencyRatio += min(0.25, max(0.02, work/float64(4*second))) * (ratio - e.latencyRatio)
	if ratio < limitRaiseRatio && c.now-e.limitRaisedAt >= limitRaiseInterval {
		e.limitRaisedAt, e.concurrencyLimit = c.now, min(2*e.cores*c.share, e.concurrencyLimit+1)
	}
	c.updatePressure(e)
}

// pressure sets whether a bound binds, and halves it (to its start at least) when latency grows, cores full.
func (c *Controller) updatePressure(e *engine) {
	busy, full := (e.ownThreads+e.siblingThreads)/e.cores, c.now < e.fullUntil
	if full || busy > highContention || (busy > 1 && e.latencyRatio > pressureRatio) {
		e.underPressure = true
	} else if busy < 1 || (e.latencyRatio < limitRaiseRatio && busy < lowContention) {
		e.underPressure = false
	}
	if (full || (busy > 1 && e.latencyRatio > limitHalveRatio)) && c.now-e.limitHalvedAt >= limitHalveInterval {
		e.limitHalvedAt, e.limitRaisedAt = c.now, c.now
		e.concurrencyLimit = max(e.cores*c.share, e.concurrencyLimit/2)
	}
}

// report reads an engine's load report: jobs in hand beyond ours, in threads by our own mean. Where it counts
// no jobs, the memory granted beyond ours tells: jobs that stand still hold it too, and keep no core busy.
func (c *Controller) applyLoadReport(e *engine, load []float64) {
	told := func(at int) bool { return at >= 0 && at < len(load) && load[at] >= 0 }
	if told(c.concurrentAt) {
		holds, usual := min(load[c.concurrentAt], 1e6), c.crowd*e.cores/c.meanThreadsPerJob()
		long := c.effectiveStart(e) == 0 || c.now-c.effectiveStart(e) >= 2*c.warmWithin // one just warm is empty by our restraint
		if holds < restartSuspectShare*usual && usual > e.cores/4 && !e.ejected && long {
			c.suspectRestart(e, fmt.Sprintf("holds %.0f jobs where %.0f are usual", holds, usual))
		}
		c.setSiblingThreads(e, (holds-float64(len(e.attempts)))*c.meanThreadsPerJob())
		e.lastReportAt = c.now
	} else if each := c.meanMemoryPerThread(); told(c.grantedAt) && each*e.memoryMB > 0 {
		held := min(load[c.grantedAt], 1e3) * e.memoryMB
		if !c.grants {
			held /= engineGrantFactor
		}
		c.setSiblingThreads(e, (held-e.ownMemoryMB)/each)
		e.lastReportAt = c.now
	}
}

// others notes the threads of siblings at an engine, as just told by it or by them.
func (c *Controller) setSiblingThreads(e *engine, threads float64) {
	e.siblingThreads, e.loadKnownAt, c.reportedLast = max(0, threads), c.now, c.now
	c.crowd += 0.2 * ((e.ownThreads+e.siblingThreads)/e.cores - c.crowd)
}

// say tells those who gather where our jobs are out and how dispatches ended, as it changes. One sends a map
// of all that was told to all, as often as the jobs taken pay for; the next steps in where none comes. What
// is lost is said anew, and without maps all goes on as without words.
func (c *Controller) sendGossip() {
	text, some, byteCost := c.ownMessage(), min(gossipCollectors, c.controllers), c.facts.number("tariffs.peer", 0)/256
	cost := byteCost * float64((messageOverhead+len(text))*some)
	if c.wordsLeft >= cost && (text[1:] != c.said || c.now-c.saidAt >= gossipRepeatInterval) {
		c.said, c.saidAt, c.wordsLeft, c.untold = text[1:], c.now, c.wordsLeft-cost, 0
		for _, e := range c.engines {
			e.gossipedThreads, e.newFailures, e.newSuccesses = e.ownThreads, 0, 0
		}
		for rank := range some {
			if to := rank * c.controllers / some; to == c.me {
				c.receiveGossip(to, []byte(text))
			} else {
				c.emit(Action{Kind: SendGossip, Peer: PeerID(to), Text: text})
			}
		}
	}
	rank := slices.Index([]int{0, c.controllers / some, 2 * c.controllers / some}[:some], c.me)
	cost = byteCost * float64((messageOverhead+min(maxMessageSize, entrySize*len(c.engines)))*(c.controllers-1))
	if c.mapsLeft = min(c.mapsLeft, maxMapTokens*cost); rank >= 0 && c.mapsLeft >= cost && len(c.engines) > 0 &&
		c.now-c.mapAt >= Nanos(rank)*collectorTakeoverDelay && c.now-c.mapped >= mapInterval {
		c.mapped, c.mapsLeft, text = c.now, c.mapsLeft-cost, c.fleetMap(c.now-gossipTTL)
		c.receiveGossip(c.me, []byte(text))
		c.emit(Action{Kind: SendGossip, Peer: math.MaxUint32, Text: text})
	}
}

// hear takes a word, or a map, which stands in for reports that lack and for our own few outcomes.
func (c *Controller) receiveGossip(peer int, text []byte) {
	first, entries, ok := decodeGossip(text)
	if !ok || peer >= len(c.words) {
		return
	}
	if first == mapMarker && peer != c.me {
		c.mapAt = c.now
	} else if first != mapMarker {
		pays := gossipPointsPerJob * min(1, max(0.25, c.crowd/lowContention)) // a job: little in a calm fleet, all have room
		c.words[peer], c.mapsLeft = peerMessage{entries, c.now}, c.mapsLeft+pays*float64(first)
	}
	for _, e := range c.engines {
		if n, told := entryFor(e, entries); told && first != mapMarker {
			e.siblingFailures, e.siblingSuccesses = e.siblingFailures+float64(n.outcomes>>2), e.siblingSuccesses+float64(n.outcomes&3)
		} else if told {
			if n.hasTables {
				e.lockedTables, e.lockedTablesAt = n.tables, c.now
			}
			if e.siblingFailures, e.siblingSuccesses = siblingOutcomeDecay*e.siblingFailures, siblingOutcomeDecay*e.siblingSuccesses; n.outcomes != unknownFailures {
				e.failureRate = float64(n.outcomes) / 14
			}
			if c.now-e.lastReportAt >= reportTTL {
				c.setSiblingThreads(e, float64(n.threads)-e.gossipedThreads)
			}
		}
	}
}

// fresh takes an engine for just started though the list does not say so: it refused connections and now
// answers, or is all but empty in a busy fleet. It may slow the use of one empty by chance, for the warm-up.
func (c *Controller) suspectRestart(e *engine, why string) {
	if e.refusing = false; c.slowStartFraction(e) >= 1 {
		e.suspectedRestartAt = c.now
		c.logf("engine %d taken for just started: %s", e.Engine, why)
	}
}

func (c *Controller) markSeen(e *engine) {
	if e.lastSeenAt = c.now; e.refusing {
		c.suspectRestart(e, "answers after it refused connections")
	}
}

// sweep drops what has given up, calls back what is overdue, moves the price and watches the engines.
func (c *Controller) sweep() {
	c.armTimer()
	if c.probesLeft >= 1 {
		c.saved = c.now
	}
	c.liveJobs = slices.DeleteFunc(c.liveJobs, func(j *job) bool { return j.finished && j.attempt == nil })
	c.excuseStall(c.now - c.lastSweepAt - sweepInterval)
	for _, j := range c.liveJobs {
		switch f := j.attempt; {
		case j.finished || j.streaming:
		case c.nearExpiry(j) || (f == nil && c.shouldShed(j)):
			c.finishUnserved(j)
		case f != nil && j.jobType.locksTables: // loads may rightly stand still
			if c.progressStopped(f) && !j.jobType.repeatableByKey && !j.jobType.repeatable {
				c.finishUnserved(j) // its answer will not come, and its key's next jobs wait for it
			}
		case f != nil && !f.cancelRequested && (c.progressStopped(f) || float64(c.now-f.sentAt-f.stalled) > // its notes stopped, or it is
			max(overdueFactor*c.durationSpread()*f.expectedNanos, float64(j.jobType.latencyObjective)/2)): // far over its time: an engine's error
			if !f.countedAsTimeout {
				f.countedAsTimeout = true
				c.recordOutcome(f.engine, TimedOut)
			}
			c.cancelToRetry(f)
		}
	}
	for _, b := range c.buckets {
		b.headWait = 0
		if j := c.bucketHead(b); j != nil && !slices.ContainsFunc(j.candidates, func(e *engine) bool {
			return c.dispatchAllowed(j, e) && c.hasCapacity(j, e)
		}) { // what has room but waits for a load on its tables is no sign of overload
			b.headWait = float64(c.now-j.headSince) / float64(max(b.jobType.latencyObjective, ms))
		}
	}
	if c.words != nil {
		c.sendGossip()
	}
	jobs, threads, grants, cores, slow, bad, n, pressed := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0
	for _, e := range c.engines {
		jobs, threads, grants = jobs+float64(len(e.attempts)), threads+e.ownThreads, grants+e.ownMemoryMB
		if c.now-e.loadKnownAt >= reportTTL { // what is not known is thought like the rest of the fleet, not empty
			e.siblingThreads += 0.02 * (max(0, c.crowd*e.cores*math.Floor(c.slowStartFraction(e))-e.ownThreads) - e.siblingThreads)
		}
		e.latencyRatio, e.failureRate = e.latencyRatio+latencyDecay*(1-e.latencyRatio), 0.999*e.failureRate
		c.updatePressure(e)
		c.restoreIfHealthy(e)
		if e.State == Ready && !e.ejected {
			slow, bad, n, cores = slow+e.latencyRatio, bad+e.failureRate, n+1, cores+e.cores*math.Floor(c.slowStartFraction(e))
		}
		if e.underPressure {
			pressed++
		}
	}
	c.cores = cmp.Or(cores, c.cores)                                  // of those that take jobs; where all are cold, of all
	step := ownLoadStep * min(maxOwnLoadSpeedup, max(1, c.outJobs/4)) // the more jobs, the less of a change is chance
	c.outJobs += step * (jobs - c.outJobs)
	c.outThreads, c.outGrants = c.outThreads+step*(threads-c.outThreads), c.outGrants+step*(grants-c.outGrants)
	c.slowMean, c.badMean = max(0.1, slow/max(1, n)), bad/max(1, n)
	if on := 2*pressed > len(c.engines); on != c.pressed && (on || 4*pressed < len(c.engines)) {
		c.pressed = on
		c.logf("pressure=%v on %d of %d engines, latency/best=%.2f", on, pressed, len(c.engines), c.slowMean)
	}
	if c.now-c.reportedLast >= reportTTL { // no word: siblings are thought to hold what we hold
		c.crowd += ownLoadStep * (c.outThreads/max(minContentionCores, c.even*c.cores) - c.crowd)
	}
	if c.crowd > 0 {
		c.guess += 0.05 * (min(1, max(c.even, c.outThreads/max(1, c.crowd*c.cores))) - c.guess)
	}
	if c.share = c.guess; c.now < c.quota.ExpiresAt {
		c.share = c.quota.FleetShare
	}
	c.updatePrices()
	c.offeredThreads -= c.offeredThreads * float64(sweepInterval) / float64(offeredWindow)
	if c.plan != nil {
		c.updatePlanWeight()
	}
	c.collectGarbage()
}

// stood excuses the time that this controller stood still, seen from its own timer: answers lie behind it.
func (c *Controller) excuseStall(still Nanos) {
	if c.lastSweepAt = c.now; still < stallThreshold {
		return
	}
	for _, j := range c.liveJobs {
		if j.attempt != nil {
			j.attempt.stalled, j.attempt.lastProgressAt = j.attempt.stalled+still, c.now
		} else if j.headSince > 0 { // a head has waited; others have no time yet that could be moved
			j.headSince = min(c.now, j.headSince+still)
		}
	}
}

// late tells that a job's final answer is due: the next sweep would come after its job timeout.
func (c *Controller) nearExpiry(j *job) bool { return c.now+sweepInterval+2*c.step >= j.expiresAt }

// reprice moves the price of a second of work by how long heads wait: for each type by those of all types
// that may go wherever it may, so that a type bound to full engines costs none that others have room for.
func (c *Controller) updatePrices() {
	step, most, waited := float64(sweepInterval)/float64(second), 0.0, 0.0
	for _, t := range c.types {
		wait := 0.0
		for _, b := range c.buckets {
			if within(t.allowedZones, b.jobType.allowedZones) && within(t.allowedKinds, b.jobType.allowedKinds) {
				wait = max(wait, b.headWait)
			}
		}
		if wait > overloadWait {
			t.price = min(maxPrice, t.price+priceChangePerSecond*step)
		} else if wait < overloadWait/3 {
			t.price = max(0, t.price-priceChangePerSecond*step)
		}
		if most, waited = max(most, t.price), max(waited, wait); c.now-t.lastLatencyAt >= latencyStaleAfter {
			t.slowdown += latencyDecay * (1 - t.slowdown) // or what is refused for it would keep it
		}
	}
	if on := most > 0; on != c.overloadLogged {
		c.overloadLogged = on
		c.logf("overload=%v price=%.2f head waited=%.2f of SLA time", on, most, waited)
	}
}

// within tells whether all places that a type is bound to (nil: none) are open to one bound to others.
func within(places, others []any) bool {
	return others == nil || (places != nil && !slices.ContainsFunc(places, func(p any) bool {
		return !slices.Contains(others, p)
	}))
}

func (c *Controller) collectGarbage() {
	window := c.facts.nanos("invariants.fall_ns")
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool { // one that flaps keeps its cold budget
		e.slowStartWork = slices.DeleteFunc(e.slowStartWork, func(s timedWork) bool { return s.at < c.now-window })
		return e.State == Removed && len(e.attempts) == 0 && len(e.slowStartWork) == 0
	})
	c.buckets = slices.DeleteFunc(c.buckets, func(b *bucket) bool {
		return len(b.queue) == 0 && b.threadsInUse == 0 && c.now-b.lastUsedAt > idleStateTTL
	})
	maps.DeleteFunc(c.tenants, func(_ TenantID, s *tenantCredit) bool { return c.now-s.updatedAt > idleStateTTL })
	maps.DeleteFunc(c.orderings, func(_ Key, l *keyOrder) bool { return len(l.jobs) == 0 && c.now >= l.pausedUntil })
	c.retryBudgetAllows()
	if c.facts.text("discovery") == "subscribe" && !c.watchingEngines && c.now-c.watchRequestedAt >= second {
		c.watchRequestedAt = c.now
		c.emit(Action{Kind: WatchEngines, Enabled: true})
	}
}

// judge counts an outcome for or against an engine.
func (c *Controller) recordOutcome(e *engine, r Result) {
	switch r {
	case Done:
		c.markSeen(e)
		e.newSuccesses++
		if e.failureRate *= 1 - failureRateStep; !e.ejected { // what was out when it was set aside does not lead it back
			e.consecutiveFailures, e.ejectionTime = 0, 0
		}
	case Full:
		e.fullUntil = c.now + second/5
		c.updatePressure(e)
	case Failed, Reset, Unreachable, TimedOut:
		if r == Unreachable {
			if c.now-c.refused >= outageDuration {
				c.outage = c.now
				c.logf("outage: engine %d refused a connection", e.Engine)
			}
			c.refused, e.refusing = c.now, true
		}
		e.failureRate, e.newFailures = e.failureRate+failureRateStep*(1-e.failureRate), e.newFailures+1
		// Where all engines lose a part (the way to them does, say), a few in a row are chance and no silence.
		out := max(ejectAfterFailures, math.Log(0.001)/math.Log(min(0.9, c.badMean)))
		if e.consecutiveFailures++; !e.ejected && float64(e.consecutiveFailures) >= out {
			c.eject(e, r == Unreachable)
		}
	}
}

// setAside takes an engine out; never more than a third of the fleet, since what strikes most is no fault of
// theirs, but for one that refuses connections: it fails so fast that it looks emptiest.
func (c *Controller) eject(e *engine, down bool) {
	out, ready := 1, 0
	for _, o := range c.engines {
		if o.State == Ready {
			ready++
			if o.ejected {
				out++
			}
		}
	}
	if !down && out > max(1, ready/3) {
		return
	}
	e.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*e.ejectionTime))
	e.ejected, e.ejectedAt, e.probesPassed = true, c.now, 0
	c.logf("engine %d aside: %d failed or lost in a row, latency/best=%.2f out=%d", e.Engine, e.consecutiveFailures, e.latencyRatio,
		len(e.attempts))
	for _, f := range slices.Clone(e.attempts) {
		if c.mayCancelToRetry(f.job) {
			c.cancelAttempt(f)
		}
	}
}

// watch leads back an engine that answered probes, or rested; one failure more doubles its time aside.
func (c *Controller) restoreIfHealthy(e *engine) {
	if e.State != Ready || !e.ejected {
		return
	}
	if c.now-e.ejectedAt >= e.ejectionTime && (e.probesPassed >= restoreAfterProbes || !c.probes) {
		e.ejected, e.consecutiveFailures = false, int(ejectAfterFailures)-1
		c.logf("engine %d open: %d probes answered after %.1f s", e.Engine, e.probesPassed, float64(c.now-e.ejectedAt)/1e9)
	} else if c.probes && c.now-e.lastProbeAt >= max(probeInterval, e.ejectionTime/2) {
		c.sendProbe(e)
	}
}

func (c *Controller) handleProbe(ev Event) {
	i, known := c.findEngine(ev.Engine)
	if !known {
		return
	}
	e := c.engines[i]
	e.probePending = false
	c.applyLoadReport(e, ev.Load)
	if e.probesPassed++; ev.Result == Done {
		c.markSeen(e)
	} else {
		e.probesPassed, e.fullUntil = 0, c.now+second
		c.recordOutcome(e, ev.Result)
	}
}
