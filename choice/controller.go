package choice

import "math"

// Controller decides for one controller of the fleet. Its zero value is ready for a Started event. It is not safe for
// concurrent use.
type Controller struct {
	settings Settings
	random   pcg
	now      Nanos // of the present event
	actions  []Action
	timerID  TimerID // of the last timer set

	clockOffset        Nanos // of the wall clock over now
	startedAt          Nanos
	lastSweepAt        Nanos
	stopsAt            Nanos // math.MaxInt64: not stopping
	predecessorEndedAt Nanos // far ahead while an older process runs
	watchRequestedAt   Nanos
	watchingEngines    bool
	overloadLogged     bool

	types       []*jobType
	engines     []*engine                 // by ID; a removed one leaves once none of our attempts is there
	jobs        map[JobID]*job            // until finished with no attempt out
	liveJobs    []*job                    // the same, in order of arrival
	buckets     []*bucket                 // emptied by completions, dropped once idle
	orderings   map[Key]*keyOrder         // dropped when empty and no longer paused
	tenants     map[TenantID]*tokenBucket // dropped once idle
	freedBucket *bucket                   // by the attempt that the present event ended

	fleet          fleetState
	ownLoad        ownLoad
	demand         demand
	durationError  durationError
	retryBudget    retryBudget
	probeBudget    probeBudget
	outage         outage
	gossip         gossipState
	sampleSize     int     // engines that a job looks at
	quota          Quota   // assigned, or expired
	plan           *Plan   // to be followed; nil: none
	planWeight     float64 // how far the plan is followed, from 0 to 1
	offeredThreads float64 // asked of us, decaying
}

// fleetState is the estimated state of the fleet.
type fleetState struct {
	cores            float64 // of ready engines that are not ejected or in slow start
	contention       float64 // threads a core, ours and siblings'
	share            float64 // of the fleet's capacity that we use, from 0 to 1
	estimatedShare   float64 // the same by load reports, where none is assigned
	meanLatencyRatio float64 // of active engines
	meanFailureRate  float64 // likewise
	underPressure    bool    // most engines are
	lastReportAt     Nanos   // of any engine's load
}

// outage is a time in which engines refuse connections.
type outage struct{ startedAt, lastRefusalAt Nanos }

func (c *Controller) start(ev Event) {
	c.random = pcg(ev.Seed)
	c.startedAt = c.now
	c.lastSweepAt = c.now
	c.stopsAt = math.MaxInt64
	c.predecessorEndedAt = math.MinInt64 / 2
	c.outage.lastRefusalAt = c.now - outageDuration
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

// dropExpired drops what no longer counts, so that no table grows without end.
func (c *Controller) dropExpired() {
	c.dropEngines(c.now - c.settings.overloadWindow)
	c.dropIdle(c.now - idleStateTTL)
	c.retryBudget.trim(c.now - c.settings.retryWindow)
}

// requestWatch has discovery report changes of the engine list, if it does not yet.
func (c *Controller) requestWatch() {
	if c.settings.subscribesToList && !c.watchingEngines && c.now-c.watchRequestedAt >= watchInterval {
		c.watchRequestedAt = c.now
		c.emit(Action{Kind: WatchEngines, Enabled: true})
	}
}

// handleTimer ignores a timer that is not the last one set: it would start a second chain of sweeps.
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
		c.closeJob(j)
	}
}

// markPredecessor records whether an older process still runs. Until it has ended, its dispatches are unknown here.
func (c *Controller) markPredecessor(ev Event) {
	c.predecessorEndedAt = c.now
	if ev.PredecessorRunning {
		c.predecessorEndedAt = math.MaxInt64 / 2
	}
}
