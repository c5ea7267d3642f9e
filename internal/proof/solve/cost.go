package main

import (
	"fmt"
	"slices"
	"time"

	"swiftreel/choice"
)

const (
	maxPlanCost     = 0.05 // of the time of Decide
	costRounds      = 15
	costJobs        = 40_000
	costEngines     = 40
	costTypes       = 3
	jobsEachTimer   = 20
	costJobInterval = choice.Nanos(1e6)
)

// comparePlanCost holds Decide with a plan against Decide without, interleaved, the fastest round of each: what else
// the machine does comes on top of both.
func comparePlanCost() {
	var without, with []time.Duration
	for range costRounds {
		without = append(without, timeDecisions(nil))
		with = append(with, timeDecisions(costPlan()))
	}
	fastestWithout, fastestWith := slices.Min(without), slices.Min(with)
	more := float64(fastestWith-fastestWithout) / float64(fastestWithout)
	fmt.Printf("\nDecide, a job in and out at 40 engines: %v without, %v with a plan: %+.1f%% (at most %.0f%%)\n",
		fastestWithout/costJobs, fastestWith/costJobs, 100*more, 100*maxPlanCost)
	if more > maxPlanCost {
		fail("a plan makes Decide %.1f%% dearer", 100*more)
	}
}

// costPlan is a plan for all engines, with unlike weights.
func costPlan() *choice.Plan {
	plan := &choice.Plan{Tenants: []choice.PlanTenant{{Tenant: 0, Share: 1}}, DemandThreads: 40, MaxDemandRatio: 1e9}
	for i := range choice.EngineID(costEngines) {
		plan.Engines = append(plan.Engines, choice.PlanEngine{Engine: i, Threads: 8})
		for t := range choice.TypeID(costTypes) {
			plan.Weights = append(plan.Weights, choice.PlanWeight{Type: t, Engine: i, Weight: float64(i%7) / 7})
		}
	}
	return plan
}

// decider is a module with its time, and the last that it said.
type decider struct {
	module choice.Controller
	now    choice.Nanos
	timer  choice.TimerID
	engine choice.EngineID // of the last dispatch
}

func (d *decider) decide(ev choice.Event) {
	for _, action := range d.module.Decide(d.now, ev) {
		switch action.Kind {
		case choice.Dispatch:
			d.engine = action.Engine
		case choice.SetTimer:
			d.timer = action.TimerID
		}
	}
}

// timeDecisions times jobs that arrive and are done, with a plan or without one where that is nil.
func timeDecisions(plan *choice.Plan) time.Duration {
	d := &decider{now: 1e12}
	d.decide(choice.Event{Kind: choice.Started, Seed: 3, Settings: choice.ParseSettings(rawSettings(0, 1))})
	var list []choice.EngineEntry
	for i := range choice.EngineID(costEngines) {
		list = append(list, choice.EngineEntry{Engine: i, State: choice.Ready})
	}
	d.decide(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: list})
	if plan != nil {
		d.decide(choice.Event{Kind: choice.PlanUpdated, Plan: plan})
	}
	start := time.Now()
	for i := range costJobs {
		d.now += costJobInterval
		id := choice.JobID(i + 1)
		d.engine = 0
		d.decide(choice.Event{Kind: choice.JobArrived, Job: id, Type: choice.TypeID(i % 2), TimeLeft: 4e9, Cost: 5e7,
			CostKnown: true})
		d.decide(choice.Event{Kind: choice.AttemptEnded, Job: id, Engine: d.engine, Result: choice.Done, IsFinal: true,
			Latency: 5e7})
		if i%jobsEachTimer == 0 {
			d.decide(choice.Event{Kind: choice.TimerFired, TimerID: d.timer})
		}
	}
	return time.Since(start)
}
