package main

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

const (
	simulatedControllers = 4
	zones                = 2
	simulatedCores       = 16
	startNS              = int64(1e12)
	arrivalsNS           = int64(60e9) // in which jobs arrive
	answerNS             = int64(25e9) // after that, every job must have its answer
	endNS                = startNS + arrivalsNS + int64(26e9)
	networkNS            = int64(500e3) // one way
	lateValue            = 0.3          // part of a job's value past its latency objective
)

// counts are those of a simulation.
type counts struct {
	value, crossingBytes                float64
	jobs, onTime, throttled, ruleFaults int
	firstFault                          string
}

func (c *counts) add(other counts) {
	c.value += other.value
	c.crossingBytes += other.crossingBytes
	c.jobs += other.jobs
	c.onTime += other.onTime
	c.throttled += other.throttled
	c.ruleFaults += other.ruleFaults
	if c.firstFault == "" {
		c.firstFault = other.firstFault
	}
}

// fault counts a broken rule.
func (c *counts) fault(text string) {
	if c.ruleFaults++; c.ruleFaults == 1 {
		c.firstFault = text
	}
}

// simulation is a minute of a fleet in virtual time. It belongs to one goroutine.
type simulation struct {
	counts
	queue   eventQueue
	random  *rand.Rand
	problem *solve.Problem
	engines []*simulatedEngine
}

// simulate plays a fleet with a plan, or without one where that is nil.
func simulate(problem *solve.Problem, plan *solve.Step, seed uint64) counts {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 8)), problem: problem, queue: eventQueue{now: startNS}}
	var list []choice.EngineEntry
	for i := range problem.Engines {
		zone := i % zones
		s.engines = append(s.engines,
			&simulatedEngine{queue: &s.queue, zone: zone, cores: simulatedCores, updated: startNS})
		list = append(list,
			choice.EngineEntry{Engine: choice.EngineID(i), Zone: choice.ZoneID(zone), State: choice.Ready})
	}
	for index := range simulatedControllers {
		c := &simulatedController{simulation: s, zone: index % zones, jobs: map[choice.JobID]*simulatedJob{}}
		raw := rawSettings(c.zone, simulatedControllers)
		c.decide(choice.Event{Kind: choice.Started, Seed: seed<<8 | uint64(index), Settings: choice.ParseSettings(raw)})
		c.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: list})
		if plan != nil {
			c.decide(choice.Event{Kind: choice.PlanUpdated, Plan: planForZone(problem, plan, c.zone)})
		}
		c.startArrivals()
		s.queue.after(arrivalsNS+answerNS, c.checkAnswers)
	}
	s.queue.runUntil(endNS)
	return s.counts
}

// simulatedJob is a job at a controller.
type simulatedJob struct {
	jobType   int // index
	arrived   int64
	answered  bool
	attempt   choice.AttemptSeq // of the next attempt
	attempted bool              // an attempt is under way
}

// simulatedController is the module with what it needs of a gateway.
type simulatedController struct {
	*simulation
	module  choice.Controller
	zone    int
	jobs    map[choice.JobID]*simulatedJob
	lastJob choice.JobID
}

// decide has the module decide, and does what it says.
func (c *simulatedController) decide(ev choice.Event) {
	for _, action := range append([]choice.Action(nil), c.module.Decide(choice.Nanos(c.queue.now), ev)...) {
		switch action.Kind {
		case choice.Dispatch:
			c.dispatch(action.Job, action.Engine)
		case choice.Throttle, choice.CancelPermanently:
			c.reject(action)
		case choice.CancelAttempt: // these engines end what they began
		case choice.SetTimer:
			c.queue.after(int64(action.Duration), func() {
				c.decide(choice.Event{Kind: choice.TimerFired, TimerID: action.TimerID})
			})
		case choice.SendProbe:
			c.queue.after(2*networkNS, func() {
				c.decide(choice.Event{Kind: choice.ProbeCompleted, Engine: action.Engine, Result: choice.Done,
					Load: c.load(action.Engine)})
			})
		}
	}
}

// load is what an engine reports.
func (c *simulatedController) load(id choice.EngineID) []float64 {
	return []float64{float64(len(c.engines[id].running))}
}

// reject answers a job that is not done.
func (c *simulatedController) reject(action choice.Action) {
	job := c.jobs[action.Job]
	if job.answered {
		c.fault("rule 1: a second answer")
	}
	if action.Kind == choice.Throttle && job.attempt > 0 && job.jobType == runOnceType {
		c.fault("rule 2: a run-once job that may have run is throttled")
	}
	job.answered = true
	c.throttled++
}

// dispatch sends an attempt to an engine, and has the module hear of its end.
func (c *simulatedController) dispatch(id choice.JobID, to choice.EngineID) {
	job := c.jobs[id]
	engine := c.engines[to]
	if job.answered || job.attempted {
		c.fault("rule 1: job sent after its answer, or twice at once")
	}
	attempt, dispatched := job.attempt, c.queue.now
	job.attempt++
	job.attempted = true
	jobType := c.problem.Types[job.jobType]
	ended := func() {
		job.attempted = false
		c.answer(job, engine)
		usage := uint32(jobType.WorkMS)<<12 | uint32(jobType.MemoryMB/4)
		c.decide(choice.Event{Kind: choice.AttemptEnded, Job: id, Seq: attempt, Engine: to, Result: choice.Done,
			IsFinal: true, Latency: choice.Nanos(c.queue.now - dispatched), Usage: usage, Load: c.load(to)})
	}
	c.queue.after(networkNS, func() {
		engine.execute(&execution{work: float64(jobType.WorkMS) * 1e6, threads: float64(jobType.Threads),
			finished: func() { c.queue.after(networkNS, ended) }})
	})
}

// answer counts a job that is done, unless it has its answer.
func (c *simulatedController) answer(job *simulatedJob, from *simulatedEngine) {
	if job.answered {
		return
	}
	job.answered = true
	jobType := c.problem.Types[job.jobType]
	if c.queue.now-job.arrived <= jobType.SLATimeMS*1e6 {
		c.onTime++
		c.value += float64(jobType.Value)
	} else {
		c.value += lateValue * float64(jobType.Value)
	}
	if from.zone != c.zone {
		c.crossingBytes += float64(jobType.AnswerBytes)
	}
}

// checkAnswers counts jobs without their answer.
func (c *simulatedController) checkAnswers() {
	for _, job := range c.jobs {
		if !job.answered {
			c.fault("rule 1: a job without its answer")
		}
	}
}

// startArrivals has jobs arrive as the problem's demand of the controller's zone says.
func (c *simulatedController) startArrivals() {
	for _, demand := range c.problem.Demand {
		if demand.Zone != c.problem.Zones[c.zone].Name || demand.JobsPer1000S == 0 {
			continue
		}
		a := &arrivals{controller: c, jobType: c.typeIndex(demand.Type), tenant: c.tenantID(demand.Tenant),
			meanGap: 1e12 / float64(demand.JobsPer1000S) * simulatedControllers / zones}
		c.queue.after(a.nextGap(), a.arrive)
	}
}

func (c *simulatedController) typeIndex(name string) int {
	for i := range c.problem.Types {
		if c.problem.Types[i].Name == name {
			return i
		}
	}
	panic(fmt.Sprintf("no type %s", name)) // the problem is this program's own
}

func (c *simulatedController) tenantID(name string) choice.TenantID {
	for i := range c.problem.Tenants {
		if c.problem.Tenants[i].Name == name {
			return choice.TenantID(i)
		}
	}
	panic(fmt.Sprintf("no tenant %s", name)) // likewise
}

// arrivals are the jobs of one demand at a controller.
type arrivals struct {
	controller *simulatedController
	jobType    int
	tenant     choice.TenantID
	meanGap    float64 // ns
}

func (a *arrivals) nextGap() int64 { return int64(a.controller.random.ExpFloat64() * a.meanGap) }

// arrive has a job arrive, and sets the next.
func (a *arrivals) arrive() {
	c := a.controller
	if c.queue.now-startNS > arrivalsNS {
		return
	}
	c.queue.after(a.nextGap(), a.arrive)
	c.lastJob++
	c.counts.jobs++
	c.jobs[c.lastJob] = &simulatedJob{jobType: a.jobType, arrived: c.queue.now}
	jobType := c.problem.Types[a.jobType]
	c.decide(choice.Event{Kind: choice.JobArrived, Job: c.lastJob, Type: choice.TypeID(a.jobType), Tenant: a.tenant,
		Key: choice.Key(c.random.Uint64()%1000 + 1), TimeLeft: 20e9, Cost: choice.Nanos(jobType.WorkMS) * 1e6,
		CostKnown: true, MemoryMB: float64(jobType.MemoryMB)})
}
