package main

import (
	"fmt"
	"slices"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/proof"
)

const (
	costEngines       = 40
	costJobs          = 40_000
	costRounds        = 15
	maxPlanCost       = 0.05 // as a fraction of the time of a decision without a plan
	jobsPerTimer      = 20
	costJobInterval   = choice.Nanos(time.Millisecond)
	costJobDuration   = choice.Nanos(50 * time.Millisecond)
	costJobTimeout    = choice.Nanos(4 * time.Second)
	costThreads       = 8 // planned threads per engine
	costPlannedTypes  = 3
	costArrivingTypes = 2
)

// checkDecisionCost compares the time of Decide with and without a plan, in alternating rounds. It uses the shortest
// time of each, because other load on the machine only adds to the times.
func checkDecisionCost(report *proof.Report) {
	var without, with []time.Duration
	for range costRounds {
		without = append(without, measureDecisions(nil))
		with = append(with, measureDecisions(costPlan()))
	}
	shortestWithout, shortestWith := slices.Min(without), slices.Min(with)
	increase := float64(shortestWith-shortestWithout) / float64(shortestWithout)
	fmt.Printf("\nDecide, a job in and out at %d engines: %v without, %v with a plan: %+.1f%% (at most %.0f%%)\n",
		costEngines, shortestWithout/costJobs, shortestWith/costJobs, 100*increase, 100*maxPlanCost)
	if increase > maxPlanCost {
		report.Failf("a plan makes Decide %.1f%% dearer", 100*increase)
	}
}

// costPlan returns a plan that spreads all types over all engines, with different weights.
func costPlan() *choice.Plan {
	plan := &choice.Plan{
		Tenants:        []choice.PlanTenant{{Tenant: 0, Share: 1}},
		DemandThreads:  costEngines,
		MaxDemandRatio: 1e9,
	}
	for engine := range choice.EngineID(costEngines) {
		plan.Engines = append(plan.Engines, choice.PlanEngine{Engine: engine, Threads: costThreads})
		for jobType := range choice.TypeID(costPlannedTypes) {
			weight := choice.PlanWeight{Type: jobType, Engine: engine, Weight: float64(engine%7) / 7}
			plan.Weights = append(plan.Weights, weight)
		}
	}
	return plan
}

// decisionLoop runs jobs through one controller, one at a time.
type decisionLoop struct {
	controller choice.Controller
	now        choice.Nanos
	timer      choice.TimerID // the timer set last
}

// decide passes an event to the controller and returns the engine to which a job was dispatched.
func (l *decisionLoop) decide(event choice.Event) choice.EngineID {
	var engine choice.EngineID
	for _, action := range l.controller.Decide(l.now, event) {
		switch action.Kind {
		case choice.Dispatch:
			engine = action.Engine
		case choice.SetTimer:
			l.timer = action.TimerID
		}
	}
	return engine
}

// runJob lets one job arrive and ends its attempt.
func (l *decisionLoop) runJob(job choice.JobID, jobType choice.TypeID) {
	l.now += costJobInterval
	engine := l.decide(choice.Event{
		Kind:      choice.JobArrived,
		Job:       job,
		Type:      jobType,
		TimeLeft:  costJobTimeout,
		Cost:      costJobDuration,
		CostKnown: true,
	})
	l.decide(choice.Event{
		Kind:    choice.AttemptEnded,
		Job:     job,
		Engine:  engine,
		Result:  choice.Done,
		IsFinal: true,
		Latency: costJobDuration,
	})
}

// measureDecisions returns how long a new controller takes for all jobs. With a nil plan, it follows none.
func measureDecisions(plan *choice.Plan) time.Duration {
	loop := decisionLoop{now: virtualStart}
	settings := choice.ParseSettings(rawSettings(0, 1))
	loop.decide(choice.Event{Kind: choice.Started, Seed: 3, Settings: settings})
	var engines []choice.EngineEntry
	for engine := range choice.EngineID(costEngines) {
		engines = append(engines, choice.EngineEntry{Engine: engine, State: choice.Ready})
	}
	loop.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: engines})
	if plan != nil {
		loop.decide(choice.Event{Kind: choice.PlanUpdated, Plan: plan})
	}
	startedAt := time.Now()
	for i := range costJobs {
		loop.runJob(choice.JobID(i+1), choice.TypeID(i%costArrivingTypes))
		if i%jobsPerTimer == 0 {
			loop.decide(choice.Event{Kind: choice.TimerFired, TimerID: loop.timer})
		}
	}
	return time.Since(startedAt)
}
