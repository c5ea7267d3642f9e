package main

import (
	"fmt"
	"math/rand/v2"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

const (
	controllerCount = 4
	arrivalDuration = choice.Nanos(60e9)
	answerDuration  = choice.Nanos(25e9) // time after the last arrival within which all answers are due
	networkDelay    = choice.Nanos(500e3)
	jobTimeout      = choice.Nanos(20e9)
	keyCount        = 1000
	lateValue       = 0.3 // fraction of a job's value that is billed for a late answer
	nanosPerMilli   = 1e6
	nanosPer1000S   = 1e12
	randomStream    = 8
)

// outcomes holds the results of a simulation's jobs.
type outcomes struct {
	value          float64 // billed
	crossingBytes  float64 // bytes of answers from engines in another zone
	arrived        int
	onTime         int
	throttled      int
	violations     int // violations of the rules of operation
	firstViolation string
}

func (o *outcomes) add(other outcomes) {
	o.value += other.value
	o.crossingBytes += other.crossingBytes
	o.arrived += other.arrived
	o.onTime += other.onTime
	o.throttled += other.throttled
	o.violations += other.violations
	if o.firstViolation == "" {
		o.firstViolation = other.firstViolation
	}
}

// recordViolation records a violation of a rule.
func (o *outcomes) recordViolation(rule string) {
	o.violations++
	if o.firstViolation == "" {
		o.firstViolation = rule
	}
}

// simulation simulates a fleet under load in virtual time. One seed determines all random draws.
type simulation struct {
	outcomes
	problem *solve.Problem
	clock   *virtualClock
	random  *rand.Rand
	servers []*simulatedServer
}

// simulate runs a fleet under load for arrivalDuration. Its controllers follow the plan; with nil, they have none.
func simulate(problem *solve.Problem, plan *solve.Step, seed uint64) outcomes {
	s := &simulation{
		problem: problem,
		clock:   &virtualClock{now: virtualStart},
		random:  rand.New(rand.NewPCG(seed, randomStream)),
	}
	var entries []choice.EngineEntry
	for i := range problem.Engines {
		zone := i % zoneCount
		server := &simulatedServer{clock: s.clock, zone: zone, cores: engineCores, settledAt: s.clock.now}
		s.servers = append(s.servers, server)
		entry := choice.EngineEntry{Engine: choice.EngineID(i), Zone: choice.ZoneID(zone), State: choice.Ready}
		entries = append(entries, entry)
	}
	for number := range controllerCount {
		c := &simulatedController{
			simulation: s,
			zone:       number % zoneCount,
			jobs:       map[choice.JobID]*simulatedJob{},
		}
		c.start(seed<<8|uint64(number), entries, plan)
		c.scheduleArrivals()
		s.clock.after(arrivalDuration+answerDuration, c.checkAllAnswered)
	}
	s.clock.runUntil(virtualStart + arrivalDuration + answerDuration + 1e9)
	return s.outcomes
}

// typeIndex returns the index of a job type in the problem.
func (s *simulation) typeIndex(name string) int {
	for i, jobType := range s.problem.Types {
		if jobType.Name == name {
			return i
		}
	}
	panic(fmt.Sprintf("the fleet has no type %q", name))
}

// tenantIndex returns the index of a tenant in the problem.
func (s *simulation) tenantIndex(name string) choice.TenantID {
	for i, tenant := range s.problem.Tenants {
		if tenant.Name == name {
			return choice.TenantID(i)
		}
	}
	panic(fmt.Sprintf("the fleet has no tenant %q", name))
}

// recordAnswer adds a server's answer to the outcomes.
func (s *simulation) recordAnswer(job *simulatedJob, serverZone int) {
	jobType := s.problem.Types[job.typeIndex]
	latency := s.clock.now - job.arrivedAt
	if latency <= choice.Nanos(jobType.SLATimeMS)*nanosPerMilli {
		s.onTime++
		s.value += float64(jobType.Value)
	} else {
		s.value += lateValue * float64(jobType.Value)
	}
	if serverZone != job.zone {
		s.crossingBytes += float64(jobType.AnswerBytes)
	}
}
