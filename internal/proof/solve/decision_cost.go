package main

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"swiftreel/choice"
	"swiftreel/internal/proof"
)

const (
	costEngines       = 40
	costJobs          = 40_000
	costPairs         = 45
	costTurnJobs      = 500
	maxPlanCost       = 0.05 // as a fraction of the time of a decision without a plan
	jobsPerTimer      = 20
	costJobInterval   = choice.Nanos(time.Millisecond)
	costJobDuration   = choice.Nanos(50 * time.Millisecond)
	costJobTimeout    = choice.Nanos(4 * time.Second)
	costThreads       = 8 // planned threads per engine
	costPlannedTypes  = 3
	costArrivingTypes = 2
)

// checkDecisionCost compares the time of Decide with and without a plan. It uses the median of the pairs' ratios, as
// each controller has other map seeds and another heap.
func checkDecisionCost(report *proof.Report) {
	runtime.LockOSThread() // the CPU time is that of the thread
	defer runtime.UnlockOSThread()
	var without, with []time.Duration
	var increases []float64
	for range costPairs {
		pair := measurePair()
		without = append(without, pair.without)
		with = append(with, pair.with)
		increases = append(increases, pair.increase())
	}
	increase := median(increases)
	fmt.Printf("\nDecide, a job in and out at %d engines: %v without, %v with a plan: %+.1f%% (at most %.0f%%)\n",
		costEngines, median(without)/costJobs, median(with)/costJobs, 100*increase, 100*maxPlanCost)
	if increase > maxPlanCost {
		report.Failf("a plan makes Decide %.1f%% dearer", 100*increase)
	}
}

// costPair is the CPU time of all decisions without and with a plan.
type costPair struct {
	without time.Duration
	with    time.Duration
}

// measurePair runs all jobs through two controllers, one of which follows a plan. They take turns every few
// milliseconds, so that other load on the machine slows down both.
func measurePair() costPair {
	runtime.GC() // removes what earlier pairs left behind
	without, with := newDecisionLoop(nil), newDecisionLoop(costPlan())
	var pair costPair
	for range costJobs / costTurnJobs {
		pair.without += without.timeTurn()
		pair.with += with.timeTurn()
	}
	return pair
}

// increase returns how much more time the decisions take with a plan, as a fraction.
func (p costPair) increase() float64 { return float64(p.with)/float64(p.without) - 1 }

// median returns the middle one of an odd number of values.
func median[T cmp.Ordered](values []T) T { return slices.Sorted(slices.Values(values))[len(values)/2] }

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
	jobs       choice.JobID   // run so far
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

// newDecisionLoop returns a new controller that knows all engines. With a nil plan, it follows none.
func newDecisionLoop(plan *choice.Plan) *decisionLoop {
	loop := &decisionLoop{now: virtualStart}
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
	return loop
}

// timeTurn runs the next costTurnJobs jobs and returns the CPU time that they take.
func (l *decisionLoop) timeTurn() time.Duration {
	startedAt := threadCPUTime()
	for range costTurnJobs {
		l.jobs++
		l.runJob(l.jobs, choice.TypeID(l.jobs%costArrivingTypes))
		if l.jobs%jobsPerTimer == 0 {
			l.decide(choice.Event{Kind: choice.TimerFired, TimerID: l.timer})
		}
	}
	return threadCPUTime() - startedAt
}

// threadCPUTime returns the CPU time that the calling thread has used.
func threadCPUTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err) // it fails only with an invalid argument
	}
	return time.Duration(used.Nano())
}
