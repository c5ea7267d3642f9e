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
	sweepEvery, stoodStill   = 20 * ms, 100 * ms // a sweep that comes so late shows that we stood still
	tenantMemory, quotaSaved = 10 * second, 4.0  // jobs of a tenant's share, beside two seconds' worth
	bucketDepth, typeCeiling = 96, 400           // parked jobs a bucket; a reservation type over all

	// Latency over best: up to which a bound widens by a thread; from which it binds; from which it halves.
	nearBest, wellAbove, grown = 1.5, 2.0, 3.0
	crowded, relaxed           = 1.75, 1.4 // threads a core that also count as pressure; under which it ends
	widenEvery, halveEvery     = 250 * ms, 2 * second

	waitShare            = 0.15     // of the SLA time, waited by a head: from here the price of a thread rises
	priceStep, priceMost = 0.5, 2.0 // a second, up or down, in mean billed values for a second of work

	overdueTimes, badPlanTimes = 4.0, 3.0  // times its expected time, and more where estimates scatter
	offWide, badStep           = 2.5, 0.05 // mean errors of that time that are chance; of the part that fails
	spareShare, spareMost      = 0.2, 10.0 // further dispatches of what may have run, a job taken; at once
	strikesOut, probesBack     = 3.0, 2    // failures in a row that set an engine aside; probes that lead back
	restFirst, restMost        = second, 8 * second

	looksLeast, probesMost  = 4, 12.0             // engines that a job looks at, at the least; probes saved up
	lookAgain, lookWait     = 300 * ms, 60 * ms   // a parked head looks anew; it waits so long for its probes
	probeEvery, reportFresh = 400 * ms, 1500 * ms // an engine; a report so young shows what siblings hold
	probeBears, probePoints = 0.05, 0.008         // of billed value for a look's probes; points for a job's
	blindPart, quickPart    = 0.6, 1.25           // of an engine filled without a fresh report; by quick types
	outStep, outFaster      = 0.005, 10.0         // of means, a sweep; times that with many jobs out
	dryAfter, untaught      = second, 5 * second  // no probe is paid for: the mean must do; no answer of a type
	forgets                 = 0.002               // of slowness, a sweep: an engine, or a type untaught

	planPull, planMissing, planBack, offeredOver = 1.0, 0.2, 0.5, 10 * second // threads a core; part gone, back

	coldSafety, turnPart, swapPart = 0.51, 0.75, 0.8  // of what a cold engine stands; in turns; of paged memory
	emptied, outageLasts           = 0.15, 5 * second // of jobs usual: fewer, it just started; after a refusal
	fewOut, fewCores, ownGrant     = 2.0, 4.0, 1.25   // jobs, cores: fewer tell little; granted over an estimate

	gatherers, wordPoints, mapsMost = 3, 0.01, 20.0           // of words; points for a job's, and maps; saved up
	wordAgain, wordLasts            = 4 * second, 10 * second // a word is said anew; a sibling's is forgotten
	fewOutcomes, heldEvery          = 4, 3                    // ends told; rounds of maps for tables held
	mapEvery, mapLate, endsFade     = 100 * ms, second, 0.95  // at most; the next steps in; of ends told, a map
)

// meanOf moves the usual work: a plain mean at first, which a fresh controller needs, then a moving one.
func (t *jobType) meanOf(work float64) {
	t.usualN = min(t.usualN+1, 50)
	t.usual += (work - t.usual) / (t.usualN + 1)
}

// Decide is told what happened and returns what to do.
func (c *Controller) Decide(now Nanos, ev Event) []Action {
	c.now, c.acts = now, c.acts[:0]
	own := none
	switch ev.Kind {
	case Started:
		c.start(ev)
	case EnginesListed:
		c.list(ev)
	case JobArrived:
		c.arrive(ev)
	case ProgressReported:
		c.note(ev)
	case AttemptEnded:
		own = c.answer(ev)
	case StreamStarted, ClientDisconnected:
		if j := c.jobs[ev.Job]; j != nil && !j.over {
			if j.streaming = ev.Kind == StreamStarted; !j.streaming {
				c.end(j)
			}
		}
	case ProbeCompleted:
		c.probed(ev)
	case GossipReceived:
		c.hear(int(ev.Peer), ev.Payload)
	case Stopping:
		c.until = c.now + ev.TimeLeft
	case PlanUpdated:
		c.takePlan(ev.Plan)
	case Reconfigured:
		c.read(ev.Settings)
	case StateTransferred: // by an elder, whose jobs told more than the settings do
		for i := range min(len(ev.TypeStats), len(c.types)) {
			if ev.TypeStats[i].sound() {
				c.types[i].TypeStats = ev.TypeStats[i]
			}
		}
		for _, h := range ev.EngineHealth {
			if i, known := c.find(h.Engine); known && h.sound() {
				e := c.engines[i]
				if e.slow, e.bad = h.LatencyRatio, h.FailureRate; h.Ejected { // its own rest begins now
					c.setAside(e, false)
				}
			}
		}
	case QuotaAssigned: // by who knows what all were asked: until it ends it stands in for our own guess
		c.part = ev.Quota
	case PredecessorChanged: // until it has ended, nobody here knows what it sent
		if c.alone = c.now; ev.PredecessorRunning {
			c.alone = math.MaxInt64 / 2
		}
	case TimerFired:
		if ev.TimerID == c.tick { // a timer that is not the last one set would start a second chain of them
			c.sweep()
		}
	}
	c.drain(own)
	return c.acts
}

func (c *Controller) do(a Action) { c.acts = append(c.acts, a) }

func (c *Controller) log(text string, v ...any) {
	c.do(Action{Kind: Log, Text: fmt.Sprintf(text, v...)})
}

func (c *Controller) start(ev Event) {
	c.chance = pcg(ev.Seed)
	c.booted, c.swept, c.mapAt, c.refused = c.now, c.now, c.now, c.now-outageLasts
	c.until, c.alone = math.MaxInt64, math.MinInt64/2
	c.jobs, c.lines, c.tenants = map[JobID]*job{}, map[Key]*keyLine{}, map[TenantID]*tenantSeen{}
	c.read(ev.Settings)
	c.share, c.guess, c.slowMean, c.probesLeft, c.reach = c.even, c.even, 1, probesMost, looksLeast
	c.workMean, c.spanMean, c.off = 1, 1, 0.4 // until the first job
	c.arm()
}

// read takes the settings. What jobs taught a type stays; one that is no longer named keeps its settings.
func (c *Controller) read(f RawSettings) {
	c.facts = f
	c.controllers, c.me = max(1, int(f.num("balancers", 1))), int(f.num("me", 0))
	c.even, c.mostTries = 1/float64(c.controllers), max(1, int(f.num("limits.most_tries", 1)))
	if c.words = nil; f.flag("limits.peer_messages") {
		c.words = make([]word, c.controllers)
	}
	c.zone, c.crossing = ZoneID(f.num("locality", 0)), f.num("tariffs.cross_zone", 0)
	c.probes, c.cancels = f.flag("limits.probes"), f.flag("limits.cancel")
	c.warmWithin, c.grace = f.span("invariants.warm_within_ns"), Nanos(f.num("invariants.drain_grace_ns", 1e18))
	c.swaps, c.step = f.text("domain.memory_short") == "swap", f.span("step_ns")
	c.period, c.grantMost = f.span("domain.note_period_ns"), f.num("domain.max_grant_share", 1)
	c.concurrentAt = slices.Index(f.list("telemetry.fields"), any("concurrent"))
	c.grantedAt, c.grants = slices.Index(f.list("telemetry.fields"), any("x0")), f.flag("domain.grants_count")
	if c.retryAfter = 0; f.flag("limits.retry_after") {
		c.retryAfter = f.span("limits.max_retry_after_ns")
	}
	for i := range f.list("classes") {
		at := func(name string) string { return fmt.Sprintf("classes.%d.%s", i, name) }
		of := func(name string) string { return fmt.Sprintf("domain.%s.%d", name, i) }
		terms := typeTerms{
			id: TypeID(i), threads: math.Max(1, f.num(of("class_threads"), 1)), aim: f.span(at("aim_ns")),
			stretch: f.num(at("aim_stretch"), 0), worth: f.num(at("gain"), 1), late: f.num(at("late_worth"), 0),
			repeatable: f.text(at("idempotency")) == "repeatable", keyed: f.text(at("idempotency")) == "by_key",
			scope: f.text(at("key_scope")), window: f.span(at("repeat_window_ns")),
			ordered: f.flag(at("fifo_by_key")), holds: f.flag(of("writes_tables")),
			waits: f.flag(of("waits_for_loads")), zones: f.list(at("allowed_in")), kinds: f.list(at("kinds_only")),
		}
		if i < len(c.types) {
			c.types[i].typeTerms = terms
			continue
		}
		t := &jobType{typeTerms: terms, TypeStats: TypeStats{best: 1, slow: 1}}
		t.usual = math.Max(float64(t.aim)*t.threads/2, float64(ms)) // until jobs tell better
		c.types = append(c.types, t)
	}
}

func (c *Controller) arm() {
	c.tick++
	c.do(Action{Kind: SetTimer, Duration: sweepEvery, TimerID: c.tick})
}

// list takes discovery's view. A start time that changes is a restart: what was learned there is void.
func (c *Controller) list(ev Event) {
	c.tracked = ev.List != ListFailed && (c.tracked || ev.List != CachedList)
	if ev.List == ListFailed {
		return
	} else if ev.List != ListDelta {
		for _, e := range c.engines {
			e.State = Removed
		}
	}
	for _, l := range ev.Engines {
		i, known := c.find(l.Engine)
		if !known {
			c.engines = slices.Insert(c.engines, i, &engine{slow: 1, EngineEntry: l})
		}
		e := c.engines[i]
		restarted := !known || e.StartedAt != l.StartedAt
		e.EngineEntry, e.cores = l, math.Max(1, c.facts.num(fmt.Sprintf("domain.cpu_of_kind.%d", l.Kind), 1))
		e.memory = c.facts.num(fmt.Sprintf("domain.size_mb.%d", l.Kind), 0)
		if restarted {
			e.slow, e.bad, e.pressed, e.aside, e.strikes, e.bound = 1, 0, false, false, 0, e.cores*c.share
			e.others = c.crowd * e.cores * math.Floor(c.warmth(e)) // a cold one is held all but empty
		}
	}
	c.cores = 0
	for i, e := range c.engines {
		if e.place = i; e.State == Ready {
			c.cores += e.cores
		}
	}
	c.reach = max(looksLeast, int(math.Ceil(c.cores*c.even)))
}

func (c *Controller) find(id EngineID) (int, bool) {
	return slices.BinarySearchFunc(c.engines, id, func(e *engine, id EngineID) int {
		return cmp.Compare(e.Engine, id)
	})
}

// arrive takes a job: it is priced, sent, parked in its bucket or throttled at once.
func (c *Controller) arrive(ev Event) {
	if int(ev.Type) >= len(c.types) || c.jobs[ev.Job] != nil {
		return
	}
	t := c.types[ev.Type]
	j := &job{id: ev.Job, typ: t, key: ev.Key, tables: ev.Tables, arrived: c.now, needs: ev.RequiredProtocols,
		lost: c.now + max(0, ev.TimeLeft), work: t.usual, worth: t.worth}
	if ev.CostKnown && ev.Cost > 0 {
		j.work = min(float64(ev.Cost)*math.Exp(t.costBias), float64(3600*second))
		t.meanOf(j.work)
	}
	if ev.MemoryMB > 0 && ev.MemoryMB < 1e9 {
		j.memory = ev.MemoryMB
	}
	c.offered += j.work / float64(offeredOver)
	j.due = min(c.now+t.aim+Nanos(t.stretch*j.work/t.threads), j.lost)
	c.jobs[j.id], c.live = j, append(c.live, j)
	if t.ordered && j.key != 0 {
		if c.lines[j.key] == nil {
			c.lines[j.key] = &keyLine{}
		}
		c.lines[j.key].jobs = append(c.lines[j.key].jobs, j)
	}
	c.taken = append(c.taken, c.now)
	c.spare = min(spareMost, c.spare+spareShare)
	c.wordsLeft, c.untold = min(10*wordPoints, c.wordsLeft+wordPoints), c.untold+1
	c.probesLeft = min(probesMost, c.probesLeft+min(2, probePoints/max(1e-9, c.facts.num("tariffs.probe", 0))))
	c.arrivals = min(100, c.arrivals+1)
	c.worthMean += (j.worth - c.worthMean) / c.arrivals
	c.workMean += (j.work - c.workMean) / c.arrivals
	c.spanMean += (j.work/t.threads - c.spanMean) / c.arrivals
	c.holdMean += (j.memory*math.Exp(t.memBias)*j.work/t.threads - c.holdMean) / c.arrivals
	if !c.withinShare(ev.Tenant) {
		j.worth *= c.facts.num("over_share_worth", 1)
	}
	j.bucket = c.bucketOf(t, ev.Tenant)
	if poor := c.notWorth(j); poor || len(j.bucket.fifo) > 0 || !c.send(j) {
		if poor || len(j.bucket.fifo) >= bucketDepth || t.parked >= typeCeiling {
			c.giveUp(j)
		} else {
			c.park(j, len(j.bucket.fifo))
		}
	}
}

// withinShare counts a tenant's jobs against our part of its quota, which may be under a job a second.
func (c *Controller) withinShare(id TenantID) bool {
	s, quota := c.tenants[id], c.facts.num(fmt.Sprintf("tenants.%d.quota_per_s", id), 1e9)
	quota *= c.part.of(id, c.now, c.share)
	saved := 2*quota + quotaSaved
	if s == nil {
		s = &tenantSeen{at: c.now, credit: saved}
		c.tenants[id] = s
	}
	s.credit, s.at = min(s.credit+quota*float64(c.now-s.at)/float64(second), saved), c.now
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// notWorth tells whether a job cannot end before its job timeout, or before we stop, or its billed value for
// its work (late, once past its SLA time) is under the price of an overload: bursts, costly jobs, slowness.
func (c *Controller) notWorth(j *job) bool {
	t, worth := j.typ, j.worth
	ends := c.now + Nanos(j.work/t.threads*min(max(1, t.slow), 2))
	if c.late(j) || ends > min(j.lost, c.until) {
		return true
	}
	if ends > j.due {
		worth *= t.late
	}
	return (worth == 0 && ends > j.due) || worth/j.work < t.price*c.worthMean/c.workMean
}

func (c *Controller) bucketOf(t *jobType, tenant TenantID) *bucket {
	i := slices.IndexFunc(c.buckets, func(b *bucket) bool { return b.typ == t && b.tenant == tenant })
	if i < 0 {
		i, c.buckets = len(c.buckets), append(c.buckets, &bucket{typ: t, tenant: tenant})
	}
	c.buckets[i].seen = c.now
	return c.buckets[i]
}

// limit is a bucket's limit in threads, read anew at each use: even for all tenants, or as a plan says.
func (c *Controller) limit(b *bucket) float64 {
	even := c.cores * 2 * c.share / float64(max(1, len(c.tenants)))
	if c.hold > 0 {
		even += c.hold * (c.cores*2*c.share*c.plan.parts[b.tenant] - even)
	}
	return even
}

// takePlan follows a plan, or none. What is asked is thought to be as planned until it is known.
func (c *Controller) takePlan(p *Plan) {
	if c.plan, c.hold = p.indexed(c.now), 0; p != nil {
		c.hold, c.offered = 1, p.DemandThreads*c.share
		c.follow()
	}
}

// follow says how far the plan still holds: less the more of its threads are out, or engines come that it
// does not know; not at all from planMissing on, or where demand is off by its factor. It comes back at half.
func (c *Controller) follow() {
	there, strange := 0.0, 0.0
	for _, e := range c.engines {
		if _, threads, unknown := c.plan.of(e.Engine); e.State == Ready && unknown {
			strange += e.cores
		} else if e.State == Ready && !e.aside {
			there += threads
		}
	}
	gone, off := max(1-there/c.plan.all, strange/max(1, c.cores)), c.plan.MaxDemandRatio
	ratio, out := max(c.offered, 1e-9)/max(1e-9, c.plan.DemandThreads*c.share), planMissing
	if c.hold == 0 {
		out, off = planBack*planMissing, 1+planBack*(off-1)
	}
	hold := max(0, 1-gone/planMissing)
	if gone >= out || (c.now-c.plan.since >= 2*offeredOver && max(ratio, 1/ratio) > off) {
		hold = 0
	}
	if on := hold > 0; on != (c.hold > 0) {
		c.log("plan followed=%v threads gone=%.2f asked/planned=%.2f", on, gone, ratio)
	}
	c.hold = hold
}

// drain sends what is parked: the freed bucket first, then the earliest-due head that fits anywhere.
func (c *Controller) drain(own *bucket) {
	for j := c.head(own); j != nil && c.send(j); j = c.head(own) {
	}
	for {
		var heads []*job
		for _, b := range c.buckets {
			if j := c.head(b); j != nil {
				heads = append(heads, j)
			}
		}
		slices.SortStableFunc(heads, func(a, b *job) int { return cmp.Compare(a.due, b.due) })
		if !slices.ContainsFunc(heads, c.send) {
			return
		}
	}
}

// head is the first parked job whose key lets it go.
func (c *Controller) head(b *bucket) *job {
	i := slices.IndexFunc(b.fifo, c.turn)
	if i < 0 {
		return nil
	}
	if b.fifo[i].ready == 0 {
		b.fifo[i].ready = c.now
	}
	return b.fifo[i]
}

// turn tells whether a job's key lets it go: all earlier ones are over with every outcome in, and it rested.
func (c *Controller) turn(j *job) bool {
	l := c.lines[j.key]
	rest := c.alone + c.facts.span("invariants.order_pause_ns") // of keys that an elder served
	return !j.typ.ordered || j.key == 0 || l == nil || (l.jobs[0] == j && c.now >= max(l.rest, rest))
}

// send dispatches a job if its bucket and an engine let it, once the probes of its look are in.
func (c *Controller) send(j *job) bool {
	if !c.turn(j) {
		return false
	}
	c.look(j)
	if c.now-j.looked < lookWait && slices.ContainsFunc(j.looks, func(e *engine) bool {
		return e.asked && !e.aside && c.now-e.reported >= reportFresh
	}) {
		return false
	}
	e := c.pick(j)
	return e != nil && c.dispatch(j, e)
}

// look draws the engines that a job may go to: all where our share is many threads, else a few by chance, as
// hundreds would all choose the same. Those unheard are probed where it pays; else those heard go first.
func (c *Controller) look(j *job) {
	if j.looks != nil && c.now-j.looked < lookAgain {
		return
	}
	j.looked, j.looks = c.now, j.looks[:0]
	bears := 0.0
	if c.probes && max(c.concurrentAt, c.grantedAt) >= 0 {
		bears = probeBears * j.typ.worth / max(1e-9, c.facts.num("tariffs.probe", 0)*c.worthMean)
	}
	add := func(e *engine) {
		if e.State == Ready && !e.aside && !slices.Contains(j.looks, e) {
			j.looks = append(j.looks, e)
		}
	}
	for _, e := range c.engines {
		if c.reach >= len(c.engines) || (!c.probes && c.now-e.loaded < reportFresh) ||
			(c.warmth(e) < 1 && c.coldRoom(j, e)) { // our turn there comes seldom
			add(e)
		}
	}
	for tries := 2 * c.reach; tries > 0 && len(j.looks) < min(c.reach, len(c.engines)); tries-- {
		add(c.engines[int(c.chance.unit()*float64(len(c.engines)))])
	}
	kept := 1.0 // quick jobs leave half of the probes saved up to long ones, which an engine feels for longer
	if c.quick(j.typ) {
		kept = probesMost / 2
	}
	for _, e := range j.looks {
		old := c.now-max(e.reported, e.probed) >= probeEvery
		if old && !e.asked && bears >= 1 && c.probesLeft >= kept {
			bears, c.probesLeft = bears-1, c.probesLeft-1
			c.probe(e)
		}
	}
}

func (c *Controller) probe(e *engine) {
	e.probed, e.asked = c.now, true
	c.do(Action{Kind: SendProbe, Engine: e.Engine})
}

// quick tells types of short jobs: at the highest priority, and over an engine's bound by half its start.
func (c *Controller) quick(t *jobType) bool { return t.usual*4 <= c.longest() }

func (c *Controller) longest() (most float64) {
	for _, t := range c.types {
		most = max(most, t.usual)
	}
	return most
}

// room tells whether an engine takes a job: by its bound under pressure or for a borrower, and its memory.
func (c *Controller) room(j *job, e *engine) bool {
	if e.aside || c.now < e.fullUntil {
		return false
	}
	start, memory := e.cores*c.share, max(e.memory*c.share, e.memory-e.others*c.grantEach())
	most := 2 * start
	if b := j.bucket; e.pressed || (b.used > 0 && b.used+j.typ.threads > c.limit(b)) { // past it, it borrows
		most, memory = e.bound, e.memory*c.share
	}
	if c.quick(j.typ) {
		most += start / 2
	}
	most *= c.warmth(e)
	// A job fits if half of it does: small shares of small engines would else shut out jobs of many threads.
	// Where none of ours runs, or a share holds no job, what all controllers are known to hold counts instead.
	need, half := c.need(j, e), j.typ.threads/2
	if len(e.flights) == 0 || most < half {
		part, fill := 1.0, 1.0
		if c.quick(j.typ) {
			part = quickPart
		} else if c.now-e.reported >= reportFresh && (c.now-c.saved < dryAfter || c.reportedLast == 0) {
			part = blindPart
		}
		if c.swaps {
			fill = swapPart
		}
		return e.threads+e.others+half <= crowded*part*e.cores*c.warmth(e) &&
			(e.memory == 0 || c.held(e)+need <= fill*part*e.memory)
	}
	return e.threads+half <= most && (e.memory == 0 || e.grants+need <= memory)
}

// held is the memory of an engine that all controllers' jobs hold, as far as is known.
func (c *Controller) held(e *engine) float64 { return e.grants + e.others*c.grantEach() }

// threadsEach and grantEach are our means of threads a job and memory a thread, taken for siblings' too.
func (c *Controller) threadsEach() float64 {
	return (c.outThreads + fewOut*c.workMean/c.spanMean) / (c.outJobs + fewOut)
}
func (c *Controller) grantEach() float64 {
	return (c.outGrants + fewOut*c.holdMean/c.workMean) / (c.outThreads + fewOut)
}

// need is the memory that a job is thought to use on an engine.
func (c *Controller) need(j *job, e *engine) float64 {
	return min(j.memory*math.Exp(j.typ.memBias), e.memory*c.grantMost)
}

// started is when an engine last started, as far as known or feared: in an outage any not heard of since.
func (c *Controller) started(e *engine) Nanos {
	if e.down { // it refused, and was not heard since: it starts now at the earliest
		return c.now
	} else if c.now-c.refused < outageLasts && e.heard < c.outage {
		return max(e.StartedAt, e.back, c.outage)
	}
	return max(e.StartedAt, e.back)
}

// warmth is the part of its capacity that a started engine is sure to have.
func (c *Controller) warmth(e *engine) float64 {
	started := c.started(e)
	if started == 0 || c.now-started >= c.warmWithin {
		return 1
	}
	from := c.facts.num("invariants.start_capacity", 1)
	return from + (1-from)*float64(max(0, c.now-started))/float64(c.warmWithin)
}

// pick is the engine with most room: fewest known threads for its cores, weighed by how slow it answers.
func (c *Controller) pick(j *job) *engine {
	var best *engine
	least := math.Inf(1)
	for _, e := range j.looks {
		if !c.allowed(j, e) || !c.room(j, e) {
			continue
		}
		told := c.now-e.heldAt < reportFresh && slices.Contains(e.held, j.tables.mark())
		if (j.typ.holds || j.typ.waits) && (told || slices.ContainsFunc(e.flights, func(f *flight) bool {
			return f.job.typ.holds && f.job.tables == j.tables
		})) {
			continue // it would stand still behind the load, and hold its memory
		}
		load := (e.threads + e.others + j.typ.threads) / (e.cores * c.warmth(e))
		load = load*min(3, max(0.5, e.slow/c.slowMean)) + 4*e.bad
		if e.Zone != c.zone {
			// The price is one a job: it weighs on jobs of little billed value, so that those stay near.
			load += min(2, 10*c.crossing*c.worthMean/max(0.01, j.typ.worth))
		}
		if e == j.last {
			load += 4
		}
		if j.typ.holds && (e.place+int(j.tables))%c.controllers != c.me {
			load += 3 // each controller has engines of its own for a group's loads, as they stand still behind others
		}
		if meant, _, _ := c.plan.of(e.Engine); c.hold > 0 && int(j.typ.id) < len(meant) {
			load -= c.hold * planPull * meant[j.typ.id]
		}
		if load += 0.02 * c.chance.unit(); load < least {
			best, least = e, load
		}
	}
	return best
}

// allowed is the gate of the rules for a dispatch; nothing is sent past it.
func (c *Controller) allowed(j *job, e *engine) bool {
	t := j.typ
	switch {
	case j.over || j.flight != nil || j.dispatches >= c.mostTries || c.now >= j.lost, // rule 1
		j.mayHaveRun && !c.mayRepeat(j, e),   // rule 2
		e.State != Ready,                     // rule 3, with no use of the grace
		c.warmth(e) < 1 && !c.coldRoom(j, e), // rule 4
		!c.turn(j),                           // rule 5
		j.needs&e.Unsupported != 0,           // rule 6, here and below
		t.zones != nil && !slices.Contains(t.zones, any(float64(e.Zone))),
		t.kinds != nil && !slices.Contains(t.kinds, any(float64(e.Kind))):
		return false
	}
	return j.dispatches == 0 || c.rationed() // rule 7
}

// mayRepeat is rule 2 for a job that may have run.
func (c *Controller) mayRepeat(j *job, e *engine) bool {
	t := j.typ
	inGroup := t.scope == "all" || (t.scope == "zone" && e.Zone == j.first.Zone) ||
		(t.scope == "cell" && e.Cell == j.first.Cell)
	return t.repeatable || (t.keyed && inGroup && c.now < j.firstAt+t.window-2*c.step)
}

// coldRoom is rule 4: our part of what a just-started engine stands in any window, even where that holds a
// job, else by turns. Who just started, or lost an elder, waits a window: what it sent before is not known.
func (c *Controller) coldRoom(j *job, e *engine) bool {
	window, sum := c.facts.span("invariants.fall_ns"), max(j.work, j.typ.usual)
	stands := c.facts.num("invariants.fall_multiple", 1) * c.facts.num("invariants.start_capacity", 0)
	budget := coldSafety * stands * e.cores * float64(window)
	for _, s := range e.sent {
		sum += max(s.work, coldSafety*c.workMean) // many short ones are no more calls than stand
	}
	turns, ours := max(1, int(budget/max(1, c.longest()))), true
	if turns < c.controllers { // by the clock, which all share: who thinks of more turns adds few others to them
		ours = (c.me+int(c.now/max(window, 1))+int(e.Engine))%c.controllers < turns
		budget *= turnPart // two turns may meet in a window
	}
	return ours && c.now-max(c.booted, c.alone) >= window && sum <= budget/float64(min(turns, c.controllers))
}

// rationed is rule 7: whether one more dispatch beyond a job's first keeps within the stated budget.
func (c *Controller) rationed() bool {
	window, free := c.facts.span("invariants.extra_window_ns"), c.facts.num("invariants.budget_free", 0)
	past := func(at Nanos) bool { return at <= c.now-window }
	c.taken, c.further = slices.DeleteFunc(c.taken, past), slices.DeleteFunc(c.further, past)
	ratio := c.facts.num("invariants.further_ratio", math.Inf(1))
	if c.now-c.alone < window {
		free = 0 // an elder may have used it
	}
	return math.IsInf(ratio, 1) || float64(len(c.further)+1) <= free+ratio*float64(len(c.taken))
}

// dispatch sends a job, with its memory grant and priority where they are heeded.
func (c *Controller) dispatch(j *job, e *engine) bool {
	if !c.allowed(j, e) {
		return false
	}
	t := j.typ
	c.unpark(j)
	priority := uint8(1)
	if c.quick(t) {
		priority = 3
	} else if t.holds {
		priority = 2 // others stand still behind it
	}
	grant, held := 0.0, c.need(j, e)
	if c.grants && j.memory > 0 {
		// Spare memory buys safety from a low estimate; where only what is used counts, safety is free.
		safety := min(2.2, max(0.6, 2.5*(1-max(c.held(e), e.grants/c.share)/max(1, e.memory))))
		if c.swaps {
			grant = min(held*math.Exp(2.5*t.memDev), e.memory*c.grantMost)
		} else {
			grant = min(held*math.Exp(safety*t.memDev), e.memory*c.grantMost)
			held = grant
		}
	}
	if c.grants || c.facts.flag("domain.takes_priority") {
		c.do(Action{Kind: SetDispatchOptions, Job: j.id, Priority: priority, MemoryMB: grant})
	}
	until := c.now + c.grace // later it may be told to be draining for too long
	if j.mayHaveRun && !t.repeatable {
		until = min(until, j.firstAt+t.window-2*c.step)
	}
	c.do(Action{Kind: Dispatch, Job: j.id, Engine: e.Engine, SendDeadline: until})
	f := &flight{job: j, engine: e, seq: AttemptSeq(j.dispatches), sent: c.now, noted: c.now, memory: held,
		expect: j.work / t.threads * t.slow}
	if j.dispatches > 0 {
		c.further = append(c.further, c.now)
	}
	if c.warmth(e) < 1 {
		e.sent = append(e.sent, sentWork{c.now, max(j.work, t.usual)})
	}
	if !j.mayHaveRun {
		j.firstAt, j.first = c.now, e
	}
	j.flight, j.last = f, e
	j.dispatches++
	j.bucket.used += t.threads
	e.threads, e.grants, e.flights = e.threads+t.threads, e.grants+f.memory, append(e.flights, f)
	return true
}

func (c *Controller) park(j *job, at int) {
	j.parked, j.ready = true, 0
	j.typ.parked++
	j.bucket.fifo = slices.Insert(j.bucket.fifo, at, j)
}

func (c *Controller) unpark(j *job) {
	if j.parked {
		j.parked = false
		j.typ.parked--
		j.bucket.fifo = slices.DeleteFunc(j.bucket.fifo, func(o *job) bool { return o == j })
	}
}

// giveUp is the gate for replies: the final answer goes at once, throttled where a repeat is harmless.
func (c *Controller) giveUp(j *job) {
	if j.over || j.streaming {
		return
	}
	t, unsure := j.typ, j.mayHaveRun || j.flight != nil
	if !unsure || t.repeatable || (t.keyed && t.scope == "all" && c.now < j.firstAt+t.window) {
		c.do(Action{Kind: Throttle, Job: j.id, Duration: c.retryAfter})
	} else {
		c.do(Action{Kind: CancelPermanently, Job: j.id})
	}
	c.end(j)
}

// end closes a job that was answered; its entry stays until nothing of it is out.
func (c *Controller) end(j *job) {
	c.unpark(j)
	j.over = true
	c.retract(j.flight)
	c.forget(j)
}

func (c *Controller) retract(f *flight) {
	if f != nil && !f.called && c.cancels {
		f.called = true
		c.do(Action{Kind: CancelAttempt, Job: f.job.id, Seq: f.seq})
	}
}

// forget drops a job that is over with every outcome in, and lets the next of its key go.
func (c *Controller) forget(j *job) {
	if !j.over || j.flight != nil {
		return
	}
	delete(c.jobs, j.id)
	if l := c.lines[j.key]; l != nil && j.typ.ordered {
		l.jobs = slices.DeleteFunc(l.jobs, func(o *job) bool { return o == j })
	}
}

// note reads how far a dispatch is. One whose pace shows a bad plan, or that is overdue, is called back.
func (c *Controller) note(ev Event) {
	j := c.jobs[ev.Job]
	if j == nil || j.flight == nil || j.flight.seq != ev.Seq {
		return
	}
	f, took := j.flight, float64(c.now-j.flight.sent-j.flight.still)
	if f.noted, f.engine.heard = c.now, c.now; ev.Progress == ProgressFraction {
		whole := took / max(ev.Amount, 0.01)
		if whole > badPlanTimes*c.scatter()*f.expect && whole-took > 1.5*f.expect {
			c.callBack(f)
		}
	}
}

// scatter is how far over those times a good dispatch may run because its estimate was low, as answers show.
func (c *Controller) scatter() float64 { return max(1, math.Exp(offWide*c.off)/badPlanTimes) }

// silent tells that a dispatch's notes stopped, though they should come.
func (c *Controller) silent(f *flight) bool { return c.period > 0 && c.now-f.noted > 5*c.period/2 }

// again tells whether a job may be called back to be sent again: keyed ones well inside their window.
func (c *Controller) again(j *job) bool {
	t := j.typ
	return !j.over && !j.streaming && j.dispatches < c.mostTries && c.cancels &&
		(t.repeatable || (t.keyed && c.now+second < j.firstAt+t.window))
}

// callBack retracts a dispatch to send its job again, within the spare dispatches.
func (c *Controller) callBack(f *flight) {
	j, ends := f.job, c.now+Nanos(f.expect)
	if j.typ.repeatable && !f.called && c.again(j) && c.spare >= 1 && ends <= j.lost && c.rationed() {
		c.spare--
		c.retract(f)
	}
}

// answer takes the outcome of a dispatch and returns the bucket that it freed.
func (c *Controller) answer(ev Event) *bucket {
	j := c.jobs[ev.Job]
	if j == nil || j.flight == nil || j.flight.seq != ev.Seq {
		return none
	}
	f, e, t := j.flight, j.flight.engine, j.typ
	j.flight = nil
	e.flights = slices.DeleteFunc(e.flights, func(o *flight) bool { return o == f })
	e.threads, e.grants = e.threads-t.threads, e.grants-f.memory
	j.bucket.used -= t.threads
	j.mayHaveRun = j.mayHaveRun || !ev.Result.NeverRan()
	if l := c.lines[j.key]; l != nil && t.ordered &&
		(ev.Result == TimedOut || ev.Result == Reset || ev.Result == Canceled) {
		l.rest = max(l.rest, c.now+c.facts.span("invariants.order_pause_ns"))
	}
	c.report(e, ev.Load)
	c.judge(e, ev.Result)
	if ev.Result == Done {
		c.learn(j, f, ev)
	}
	if j.over = j.over || ev.IsFinal; j.over {
		c.forget(j)
		return j.bucket
	}
	again := !j.mayHaveRun || t.repeatable || t.keyed
	if !f.called && !ev.Result.NeverRan() {
		again, c.spare = again && c.spare >= 1, max(0, c.spare-1)
	}
	if !again || j.dispatches >= c.mostTries || c.notWorth(j) {
		c.giveUp(j)
	} else {
		c.park(j, 0)
	}
	return j.bucket
}

// learn takes what an answer tells: the true work and memory, the latency beside the best, the bound.
func (c *Controller) learn(j *job, f *flight, ev Event) {
	t, e, work := j.typ, f.engine, j.work
	if c.facts.flag("domain.says_cost") && ev.Usage > 0 {
		work = math.Max(float64(ev.Usage>>12)*float64(ms), float64(ms))
		t.costN = min(t.costN+1, 100)
		t.costBias += min(3, max(-3, math.Log(work/j.work))) / max(t.costN, 10)
		if used := float64(ev.Usage&4095) * 4; used > 0 && j.memory > 0 {
			t.memN = min(t.memN+1, 100)
			off := math.Log(used/j.memory) - t.memBias
			t.memBias += off / t.memN
			t.memDev += (math.Abs(off) - t.memDev) / max(t.memN, 5)
		}
		t.meanOf(work)
	}
	if f.still > 0 {
		return // its latency tells of us, not of the engine
	}
	c.offN = min(c.offN+1, 100)
	c.off += (min(2, math.Abs(math.Log(max(1, float64(ev.Latency))/f.expect))) - c.off) / max(c.offN, 10)
	took := float64(ev.Latency) / (work / t.threads)
	rate := 0.0005
	if took < t.best {
		rate = 0.1
	}
	t.best += rate * (min(took, 2*t.best) - t.best)
	t.taught, t.slow = c.now, t.slow+0.05*(min(took, 10)-t.slow)
	ratio := min(took/t.best, 10)
	e.slow += min(0.25, max(0.02, work/float64(4*second))) * (ratio - e.slow)
	if ratio < nearBest && c.now-e.stepped >= widenEvery {
		e.stepped, e.bound = c.now, min(2*e.cores*c.share, e.bound+1)
	}
	c.pressure(e)
}

// pressure sets whether a bound binds, and halves it (to its start at least) when latency grows, cores full.
func (c *Controller) pressure(e *engine) {
	busy, full := (e.threads+e.others)/e.cores, c.now < e.fullUntil
	if full || busy > crowded || (busy > 1 && e.slow > wellAbove) {
		e.pressed = true
	} else if busy < 1 || (e.slow < nearBest && busy < relaxed) {
		e.pressed = false
	}
	if (full || (busy > 1 && e.slow > grown)) && c.now-e.halved >= halveEvery {
		e.halved, e.stepped = c.now, c.now
		e.bound = max(e.cores*c.share, e.bound/2)
	}
}

// report reads an engine's load report: jobs in hand beyond ours, in threads by our own mean. Where it counts
// no jobs, the memory granted beyond ours tells: jobs that stand still hold it too, and keep no core busy.
func (c *Controller) report(e *engine, load []float64) {
	told := func(at int) bool { return at >= 0 && at < len(load) && load[at] >= 0 }
	if told(c.concurrentAt) {
		holds, usual := min(load[c.concurrentAt], 1e6), c.crowd*e.cores/c.threadsEach()
		long := c.started(e) == 0 || c.now-c.started(e) >= 2*c.warmWithin // one just warm is empty by our restraint
		if holds < emptied*usual && usual > e.cores/4 && !e.aside && long {
			c.fresh(e, fmt.Sprintf("holds %.0f jobs where %.0f are usual", holds, usual))
		}
		c.others(e, (holds-float64(len(e.flights)))*c.threadsEach())
		e.loaded = c.now
	} else if each := c.grantEach(); told(c.grantedAt) && each*e.memory > 0 {
		held := min(load[c.grantedAt], 1e3) * e.memory
		if !c.grants {
			held /= ownGrant
		}
		c.others(e, (held-e.grants)/each)
		e.loaded = c.now
	}
}

// others notes the threads of siblings at an engine, as just told by it or by them.
func (c *Controller) others(e *engine, threads float64) {
	e.others, e.reported, c.reportedLast = max(0, threads), c.now, c.now
	c.crowd += 0.2 * ((e.threads+e.others)/e.cores - c.crowd)
}

// say tells those who gather where our jobs are out and how dispatches ended, as it changes. One sends a map
// of all that was told to all, as often as the jobs taken pay for; the next steps in where none comes. What
// is lost is said anew, and without maps all goes on as without words.
func (c *Controller) say() {
	text, some, byteCost := c.ourWord(), min(gatherers, c.controllers), c.facts.num("tariffs.peer", 0)/256
	cost := byteCost * float64((wordHead+len(text))*some)
	if c.wordsLeft >= cost && (text[1:] != c.said || c.now-c.saidAt >= wordAgain) {
		c.said, c.saidAt, c.wordsLeft, c.untold = text[1:], c.now, c.wordsLeft-cost, 0
		for _, e := range c.engines {
			e.said, e.failed, e.done = e.threads, 0, 0
		}
		for rank := range some {
			if to := rank * c.controllers / some; to == c.me {
				c.hear(to, []byte(text))
			} else {
				c.do(Action{Kind: SendGossip, Peer: PeerID(to), Text: text})
			}
		}
	}
	rank := slices.Index([]int{0, c.controllers / some, 2 * c.controllers / some}[:some], c.me)
	cost = byteCost * float64((wordHead+min(wordMost, wordEach*len(c.engines)))*(c.controllers-1))
	if c.mapsLeft = min(c.mapsLeft, mapsMost*cost); rank >= 0 && c.mapsLeft >= cost && len(c.engines) > 0 &&
		c.now-c.mapAt >= Nanos(rank)*mapLate && c.now-c.mapped >= mapEvery {
		c.mapped, c.mapsLeft, text = c.now, c.mapsLeft-cost, c.fleetMap(c.now-wordLasts)
		c.hear(c.me, []byte(text))
		c.do(Action{Kind: SendGossip, Peer: math.MaxUint32, Text: text})
	}
}

// hear takes a word, or a map, which stands in for reports that lack and for our own few outcomes.
func (c *Controller) hear(peer int, text []byte) {
	first, entries, ok := decode(text)
	if !ok || peer >= len(c.words) {
		return
	}
	if first == mapText && peer != c.me {
		c.mapAt = c.now
	} else if first != mapText {
		pays := wordPoints * min(1, max(0.25, c.crowd/relaxed)) // a job: little in a calm fleet, all have room
		c.words[peer], c.mapsLeft = word{entries, c.now}, c.mapsLeft+pays*float64(first)
	}
	for _, e := range c.engines {
		if n, told := about(e, entries); told && first != mapText {
			e.toldFailed, e.toldDone = e.toldFailed+float64(n.ends>>2), e.toldDone+float64(n.ends&3)
		} else if told {
			if n.says {
				e.held, e.heldAt = n.held, c.now
			}
			if e.toldFailed, e.toldDone = endsFade*e.toldFailed, endsFade*e.toldDone; n.ends != unknown {
				e.bad = float64(n.ends) / 14
			}
			if c.now-e.loaded >= reportFresh {
				c.others(e, float64(n.threads)-e.said)
			}
		}
	}
}

// fresh takes an engine for just started though the list does not say so: it refused connections and now
// answers, or is all but empty in a busy fleet. It may slow the use of one empty by chance, for the warm-up.
func (c *Controller) fresh(e *engine, why string) {
	if e.down = false; c.warmth(e) >= 1 {
		e.back = c.now
		c.log("engine %d taken for just started: %s", e.Engine, why)
	}
}

func (c *Controller) heard(e *engine) {
	if e.heard = c.now; e.down {
		c.fresh(e, "answers after it refused connections")
	}
}

// sweep drops what has given up, calls back what is overdue, moves the price and watches the engines.
func (c *Controller) sweep() {
	c.arm()
	if c.probesLeft >= 1 {
		c.saved = c.now
	}
	c.live = slices.DeleteFunc(c.live, func(j *job) bool { return j.over && j.flight == nil })
	c.stood(c.now - c.swept - sweepEvery)
	for _, j := range c.live {
		switch f := j.flight; {
		case j.over || j.streaming:
		case c.late(j) || (f == nil && c.notWorth(j)):
			c.giveUp(j)
		case f != nil && j.typ.holds: // loads may rightly stand still
			if c.silent(f) && !j.typ.keyed && !j.typ.repeatable {
				c.giveUp(j) // its answer will not come, and its key's next jobs wait for it
			}
		case f != nil && !f.called && (c.silent(f) || float64(c.now-f.sent-f.still) > // its notes stopped, or it is
			max(overdueTimes*c.scatter()*f.expect, float64(j.typ.aim)/2)): // far over its time: an engine's error
			if !f.blamed {
				f.blamed = true
				c.judge(f.engine, TimedOut)
			}
			c.callBack(f)
		}
	}
	for _, b := range c.buckets {
		b.waited = 0
		if j := c.head(b); j != nil && !slices.ContainsFunc(j.looks, func(e *engine) bool {
			return c.allowed(j, e) && c.room(j, e)
		}) { // what has room but waits for a load on its tables is no sign of overload
			b.waited = float64(c.now-j.ready) / float64(max(b.typ.aim, ms))
		}
	}
	if c.words != nil {
		c.say()
	}
	jobs, threads, grants, cores, slow, bad, n, pressed := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0
	for _, e := range c.engines {
		jobs, threads, grants = jobs+float64(len(e.flights)), threads+e.threads, grants+e.grants
		if c.now-e.reported >= reportFresh { // what is not known is thought like the rest of the fleet, not empty
			e.others += 0.02 * (max(0, c.crowd*e.cores*math.Floor(c.warmth(e))-e.threads) - e.others)
		}
		e.slow, e.bad = e.slow+forgets*(1-e.slow), 0.999*e.bad
		c.pressure(e)
		c.watch(e)
		if e.State == Ready && !e.aside {
			slow, bad, n, cores = slow+e.slow, bad+e.bad, n+1, cores+e.cores*math.Floor(c.warmth(e))
		}
		if e.pressed {
			pressed++
		}
	}
	c.cores = cmp.Or(cores, c.cores)                      // of those that take jobs; where all are cold, of all
	step := outStep * min(outFaster, max(1, c.outJobs/4)) // the more jobs, the less of a change is chance
	c.outJobs += step * (jobs - c.outJobs)
	c.outThreads, c.outGrants = c.outThreads+step*(threads-c.outThreads), c.outGrants+step*(grants-c.outGrants)
	c.slowMean, c.badMean = max(0.1, slow/max(1, n)), bad/max(1, n)
	if on := 2*pressed > len(c.engines); on != c.pressed && (on || 4*pressed < len(c.engines)) {
		c.pressed = on
		c.log("pressure=%v on %d of %d engines, latency/best=%.2f", on, pressed, len(c.engines), c.slowMean)
	}
	if c.now-c.reportedLast >= reportFresh { // no word: siblings are thought to hold what we hold
		c.crowd += outStep * (c.outThreads/max(fewCores, c.even*c.cores) - c.crowd)
	}
	if c.crowd > 0 {
		c.guess += 0.05 * (min(1, max(c.even, c.outThreads/max(1, c.crowd*c.cores))) - c.guess)
	}
	if c.share = c.guess; c.now < c.part.ExpiresAt {
		c.share = c.part.FleetShare
	}
	c.reprice()
	c.offered -= c.offered * float64(sweepEvery) / float64(offeredOver)
	if c.plan != nil {
		c.follow()
	}
	c.tidy()
}

// stood excuses the time that this controller stood still, seen from its own timer: answers lie behind it.
func (c *Controller) stood(still Nanos) {
	if c.swept = c.now; still < stoodStill {
		return
	}
	for _, j := range c.live {
		if j.flight != nil {
			j.flight.still, j.flight.noted = j.flight.still+still, c.now
		} else if j.ready > 0 { // a head has waited; others have no time yet that could be moved
			j.ready = min(c.now, j.ready+still)
		}
	}
}

// late tells that a job's final answer is due: the next sweep would come after its job timeout.
func (c *Controller) late(j *job) bool { return c.now+sweepEvery+2*c.step >= j.lost }

// reprice moves the price of a second of work by how long heads wait: for each type by those of all types
// that may go wherever it may, so that a type bound to full engines costs none that others have room for.
func (c *Controller) reprice() {
	step, most, waited := float64(sweepEvery)/float64(second), 0.0, 0.0
	for _, t := range c.types {
		wait := 0.0
		for _, b := range c.buckets {
			if within(t.zones, b.typ.zones) && within(t.kinds, b.typ.kinds) {
				wait = max(wait, b.waited)
			}
		}
		if wait > waitShare {
			t.price = min(priceMost, t.price+priceStep*step)
		} else if wait < waitShare/3 {
			t.price = max(0, t.price-priceStep*step)
		}
		if most, waited = max(most, t.price), max(waited, wait); c.now-t.taught >= untaught {
			t.slow += forgets * (1 - t.slow) // or what is refused for it would keep it
		}
	}
	if on := most > 0; on != c.priced {
		c.priced = on
		c.log("overload=%v price=%.2f head waited=%.2f of SLA time", on, most, waited)
	}
}

// within tells whether all places that a type is bound to (nil: none) are open to one bound to others.
func within(places, others []any) bool {
	return others == nil || (places != nil && !slices.ContainsFunc(places, func(p any) bool {
		return !slices.Contains(others, p)
	}))
}

func (c *Controller) tidy() {
	window := c.facts.span("invariants.fall_ns")
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool { // one that flaps keeps its cold budget
		e.sent = slices.DeleteFunc(e.sent, func(s sentWork) bool { return s.at < c.now-window })
		return e.State == Removed && len(e.flights) == 0 && len(e.sent) == 0
	})
	c.buckets = slices.DeleteFunc(c.buckets, func(b *bucket) bool {
		return len(b.fifo) == 0 && b.used == 0 && c.now-b.seen > tenantMemory
	})
	maps.DeleteFunc(c.tenants, func(_ TenantID, s *tenantSeen) bool { return c.now-s.at > tenantMemory })
	maps.DeleteFunc(c.lines, func(_ Key, l *keyLine) bool { return len(l.jobs) == 0 && c.now >= l.rest })
	c.rationed()
	if c.facts.text("discovery") == "subscribe" && !c.tracked && c.now-c.asked >= second {
		c.asked = c.now
		c.do(Action{Kind: WatchEngines, Enabled: true})
	}
}

// judge counts an outcome for or against an engine.
func (c *Controller) judge(e *engine, r Result) {
	switch r {
	case Done:
		c.heard(e)
		e.done++
		if e.bad *= 1 - badStep; !e.aside { // what was out when it was set aside does not lead it back
			e.strikes, e.rest = 0, 0
		}
	case Full:
		e.fullUntil = c.now + second/5
		c.pressure(e)
	case Failed, Reset, Unreachable, TimedOut:
		if r == Unreachable {
			if c.now-c.refused >= outageLasts {
				c.outage = c.now
				c.log("outage: engine %d refused a connection", e.Engine)
			}
			c.refused, e.down = c.now, true
		}
		e.bad, e.failed = e.bad+badStep*(1-e.bad), e.failed+1
		// Where all engines lose a part (the way to them does, say), a few in a row are chance and no silence.
		out := max(strikesOut, math.Log(0.001)/math.Log(min(0.9, c.badMean)))
		if e.strikes++; !e.aside && float64(e.strikes) >= out {
			c.setAside(e, r == Unreachable)
		}
	}
}

// setAside takes an engine out; never more than a third of the fleet, since what strikes most is no fault of
// theirs, but for one that refuses connections: it fails so fast that it looks emptiest.
func (c *Controller) setAside(e *engine, down bool) {
	out, ready := 1, 0
	for _, o := range c.engines {
		if o.State == Ready {
			ready++
			if o.aside {
				out++
			}
		}
	}
	if !down && out > max(1, ready/3) {
		return
	}
	e.rest = min(restMost, max(restFirst, 2*e.rest))
	e.aside, e.since, e.passed = true, c.now, 0
	c.log("engine %d aside: %d failed or lost in a row, latency/best=%.2f out=%d", e.Engine, e.strikes, e.slow,
		len(e.flights))
	for _, f := range slices.Clone(e.flights) {
		if c.again(f.job) {
			c.retract(f)
		}
	}
}

// watch leads back an engine that answered probes, or rested; one failure more doubles its time aside.
func (c *Controller) watch(e *engine) {
	if e.State != Ready || !e.aside {
		return
	}
	if c.now-e.since >= e.rest && (e.passed >= probesBack || !c.probes) {
		e.aside, e.strikes = false, int(strikesOut)-1
		c.log("engine %d open: %d probes answered after %.1f s", e.Engine, e.passed, float64(c.now-e.since)/1e9)
	} else if c.probes && c.now-e.probed >= max(probeEvery, e.rest/2) {
		c.probe(e)
	}
}

func (c *Controller) probed(ev Event) {
	i, known := c.find(ev.Engine)
	if !known {
		return
	}
	e := c.engines[i]
	e.asked = false
	c.report(e, ev.Load)
	if e.passed++; ev.Result == Done {
		c.heard(e)
	} else {
		e.passed, e.fullUntil = 0, c.now+second
		c.judge(e, ev.Result)
	}
}
