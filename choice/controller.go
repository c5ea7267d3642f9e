package choice

import "math"

// Controller makes the decisions of one controller of the fleet. Its zero value is ready for a Started event.
// It is not safe for concurrent use.
type Controller struct {
	settings Settings
	random   pcg
	now      Nanos // time of the current event
	actions  []Action
	timerID  TimerID // of the last timer set

	clockOffset        Nanos // wall clock minus now
	startedAt          Nanos
	lastSweepAt        Nanos
	stalledUntil       Nanos // end of the last stall of this process
	stopsAt            Nanos // when this process ends; math.MaxInt64: not stopping
	predecessorEndedAt Nanos // far in the future while the predecessor runs
	watchRequestedAt   Nanos
	watchingEngines    bool
	overloadLogged     bool

	types       []*jobType                // by TypeID
	engines     []*engine                 // by ID; removed ones until pruneEngines deletes them
	jobs        map[JobID]*job            // until finished with no attempt in flight
	liveJobs    []*job                    // in order of arrival; finished ones until the next sweep
	buckets     []*bucket                 // deleted once idle
	orderings   map[Key]*keyOrder         // by ordering key; deleted when empty and no longer paused
	handover    handover                  // of ordering keys between two processes of this controller
	tenants     map[TenantID]*tokenBucket // for their quotas; deleted once idle
	freedBucket *bucket                   // of the attempt that the current event ended; nil: none

	fleet          fleetState
	ownLoad        ownLoad
	demand         demand
	durationError  durationError
	retryBudget    retryBudget
	probeBudget    probeBudget
	outage         outage
	gossip         gossipState
	sampleSize     int     // engines to sample per job
	quota          Quota   // as last assigned; it may have expired
	plan           *Plan   // nil: none
	planWeight     float64 // how far the plan is followed, from 0 to 1
	offeredThreads float64 // demand of the jobs that arrived, decaying exponentially
}

// fleetState is the estimated state of the fleet.
type fleetState struct {
	cores            float64 // of ready engines that are neither ejected nor in slow start
	contention       float64 // threads per core, of all controllers
	share            float64 // part of the fleet's capacity that this controller uses, from 0 to 1
	estimatedShare   float64 // share as estimated from load reports; used while no share is assigned
	meanLatencyRatio float64 // of ready engines that are not ejected
	meanFailureRate  float64 // of ready engines that are not ejected
	underPressure    bool    // most engines were under pressure when this was last logged
	lastReportAt     Nanos   // when the load of any engine was last reported
}

// outage is a period in which dials to engines fail or are refused.
type outage struct{ startedAt, lastFailedDialAt Nanos }

func (c *Controller) start(ev Event) {
	c.random = pcg(ev.Seed)
	c.startedAt = c.now
	c.lastSweepAt = c.now
	c.stalledUntil = math.MinInt64 / 2
	c.stopsAt = math.MaxInt64
	c.predecessorEndedAt = math.MinInt64 / 2
	c.outage.lastFailedDialAt = c.now - outageTimeout
	c.gossip.lastMapReceivedAt = c.now
	c.jobs = map[JobID]*job{}
	c.orderings = map[Key]*keyOrder{}
	c.tenants = map[TenantID]*tokenBucket{}
	c.applySettings(ev.Settings)
	c.fleet.share = c.settings.evenShare
	c.fleet.estimatedShare = c.settings.evenShare
	c.fleet.meanLatencyRatio = 1
	c.probeBudget.tokens = maxProbeTokens
	c.sampleSize = minSampleSize
	c.demand.meanWork = 1 // ns, until the first job
	c.demand.meanDuration = 1
	c.durationError.mean = initialDurationError
	c.armTimer()
}

func (c *Controller) armTimer() {
	c.timerID++
	c.emit(Action{Kind: SetTimer, Duration: sweepInterval, TimerID: c.timerID})
}

// pruneState deletes expired state, so that memory use stays bounded.
func (c *Controller) pruneState() {
	c.pruneEngines(c.now - c.settings.slowStartBudgetWindow)
	c.pruneIdle(c.now - idleStateTTL)
	c.retryBudget.trim(c.now - c.settings.retryWindow)
}

// requestWatch subscribes to changes of the endpoint list if discovery requires it, until a current list
// arrives.
func (c *Controller) requestWatch() {
	if c.settings.subscribesToList && !c.watchingEngines && c.now-c.watchRequestedAt >= watchInterval {
		c.watchRequestedAt = c.now
		c.emit(Action{Kind: WatchEngines, Enabled: true})
	}
}

// handleTimer ignores a timer that is not the last one set: that timer would start a second series of sweeps.
func (c *Controller) handleTimer(ev Event) {
	if ev.TimerID == c.timerID {
		c.sweep()
	}
}

func (c *Controller) markStreaming(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && !j.finished {
		j.streaming = true
	}
}

func (c *Controller) handleDisconnect(ev Event) {
	if j := c.jobs[ev.Job]; j != nil && !j.finished {
		j.streaming = false
		c.finishJob(j)
	}
}

// markPredecessor records whether the predecessor still runs. Until the predecessor has ended, this process
// does not know what else is dispatched.
func (c *Controller) markPredecessor(ev Event) {
	c.predecessorEndedAt = c.now
	if ev.PredecessorRunning {
		c.predecessorEndedAt = math.MaxInt64 / 2
	}
	c.markUnlinked(ev.PredecessorRunning)
}
