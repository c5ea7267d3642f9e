package main

import (
	"slices"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// simulatedJob is the state of a job that its client and the controller's gateway would keep.
type simulatedJob struct {
	typeIndex    int
	zone         int
	arrivedAt    choice.Nanos
	isAnswered   bool
	isDispatched bool // an attempt is in progress
	attempts     choice.AttemptSeq
}

// simulatedController is a decision module together with its jobs.
type simulatedController struct {
	*simulation
	module  choice.Controller
	zone    int
	jobs    map[choice.JobID]*simulatedJob
	lastJob choice.JobID
}

func (c *simulatedController) start(seed uint64, engines []choice.EngineEntry, plan *solve.Step) {
	settings := choice.ParseSettings(rawSettings(c.zone, controllerCount))
	c.decide(choice.Event{Kind: choice.Started, Seed: seed, Settings: settings})
	c.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: engines})
	if plan != nil {
		c.decide(choice.Event{Kind: choice.PlanUpdated, Plan: controllerPlan(c.problem, plan, c.zone)})
	}
}

// scheduleArrivals starts the job streams of the controller's zone.
func (c *simulatedController) scheduleArrivals() {
	for _, demand := range c.problem.Demand {
		if demand.Zone != c.problem.Zones[c.zone].Name || demand.JobsPer1000S == 0 {
			continue
		}
		stream := &jobStream{
			controller:   c,
			typeIndex:    c.typeIndex(demand.Type),
			tenant:       c.tenantIndex(demand.Tenant),
			meanInterval: nanosPer1000S / float64(demand.JobsPer1000S) * controllerCount / zoneCount,
		}
		stream.scheduleNext()
	}
}

// checkAllAnswered records a violation for each job without an answer. It is called after all answers are due.
func (c *simulatedController) checkAllAnswered() {
	for _, job := range c.jobs {
		if !job.isAnswered {
			c.recordViolation("rule 1: a job without its answer")
		}
	}
}

// jobStream generates the arrivals of one type and tenant at a controller, at random intervals.
type jobStream struct {
	controller   *simulatedController
	typeIndex    int
	tenant       choice.TenantID
	meanInterval float64 // nanoseconds
}

func (s *jobStream) scheduleNext() {
	c := s.controller
	c.clock.after(choice.Nanos(c.random.ExpFloat64()*s.meanInterval), s.arrive)
}

func (s *jobStream) arrive() {
	c := s.controller
	if c.clock.now-virtualStart > arrivalDuration {
		return
	}
	s.scheduleNext()
	c.lastJob++
	c.arrived++
	c.jobs[c.lastJob] = &simulatedJob{typeIndex: s.typeIndex, zone: c.zone, arrivedAt: c.clock.now}
	jobType := c.problem.Types[s.typeIndex]
	c.decide(choice.Event{
		Kind:      choice.JobArrived,
		Job:       c.lastJob,
		Type:      choice.TypeID(s.typeIndex),
		Tenant:    s.tenant,
		Key:       choice.Key(c.random.Uint64()%keyCount + 1),
		TimeLeft:  jobTimeout,
		Cost:      choice.Nanos(jobType.WorkMS) * nanosPerMilli,
		CostKnown: true,
		MemoryMB:  float64(jobType.MemoryMB),
	})
}

// decide passes an event to the module and carries out its actions.
func (c *simulatedController) decide(event choice.Event) {
	for _, action := range slices.Clone(c.module.Decide(c.clock.now, event)) {
		switch action.Kind {
		case choice.Dispatch:
			c.dispatch(action.Job, action.Engine)
		case choice.Throttle, choice.CancelPermanently:
			c.reject(action)
		case choice.CancelAttempt: // simulated servers always complete what they have started
		case choice.SetTimer:
			fired := choice.Event{Kind: choice.TimerFired, TimerID: action.TimerID}
			c.clock.after(action.Duration, func() { c.decide(fired) })
		case choice.SendProbe:
			c.clock.after(2*networkDelay, func() { c.completeProbe(action.Engine) })
		}
	}
}

func (c *simulatedController) completeProbe(engine choice.EngineID) {
	load := c.servers[engine].load()
	c.decide(choice.Event{Kind: choice.ProbeCompleted, Engine: engine, Result: choice.Done, Load: load})
}

// reject records an answer without a result: the job was throttled or cancelled permanently.
func (c *simulatedController) reject(action choice.Action) {
	job := c.jobs[action.Job]
	if job.isAnswered {
		c.recordViolation("rule 1: a second answer")
	}
	if action.Kind == choice.Throttle && job.attempts > 0 && job.typeIndex == importType {
		c.recordViolation("rule 2: a run-once job that may have run is throttled")
	}
	job.isAnswered = true
	c.throttled++
}

// attempt is one dispatch of a job to an engine.
type attempt struct {
	job          choice.JobID
	sequence     choice.AttemptSeq
	engine       choice.EngineID
	dispatchedAt choice.Nanos
}

func (c *simulatedController) dispatch(id choice.JobID, engine choice.EngineID) {
	job := c.jobs[id]
	if job.isAnswered || job.isDispatched {
		c.recordViolation("rule 1: job sent after its answer, or twice at once")
	}
	started := attempt{job: id, sequence: job.attempts, engine: engine, dispatchedAt: c.clock.now}
	job.attempts++
	job.isDispatched = true
	jobType := c.problem.Types[job.typeIndex]
	c.clock.after(networkDelay, func() {
		c.servers[engine].start(&execution{
			workLeft: float64(jobType.WorkMS) * nanosPerMilli,
			threads:  float64(jobType.Threads),
			onDone:   func() { c.clock.after(networkDelay, func() { c.endAttempt(started) }) },
		})
	})
}

// endAttempt processes a server's answer.
func (c *simulatedController) endAttempt(ended attempt) {
	job := c.jobs[ended.job]
	server := c.servers[ended.engine]
	job.isDispatched = false
	if !job.isAnswered {
		job.isAnswered = true
		c.recordAnswer(job, server.zone)
	}
	jobType := c.problem.Types[job.typeIndex]
	c.decide(choice.Event{
		Kind:    choice.AttemptEnded,
		Job:     ended.job,
		Seq:     ended.sequence,
		Engine:  ended.engine,
		Result:  choice.Done,
		IsFinal: true,
		Latency: c.clock.now - ended.dispatchedAt,
		Usage:   packUsage(jobType),
		Load:    server.load(),
	})
}

// packUsage returns the usage that an engine reports for a job: the CPU time in milliseconds in the upper 20 bits, the
// memory in units of 4 MB in the lower 12 bits.
func packUsage(jobType solve.Type) uint32 {
	return uint32(jobType.WorkMS)<<12 | uint32(jobType.MemoryMB/4)
}
