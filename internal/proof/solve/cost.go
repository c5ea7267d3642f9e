package main

import (
	"fmt"
	"slices"
	"time"

	"swiftreel/choice"
)

// cost holds Decide with a plan against Decide without, interleaved, the least of each: what else the machine does
// comes on top of both.
func cost() {
	const most = 0.05
	var without, with []time.Duration
	for range 15 {
		without = append(without, decides(40_000, false))
		with = append(with, decides(40_000, true))
	}
	a, b := slices.Min(without), slices.Min(with)
	more := float64(b-a) / float64(a)
	fmt.Printf("\nDecide, a job in and out at 40 engines: %v without, %v with a plan: %+.1f%% (at most %.0f%%)\n", a/40_000, b/40_000, 100*more, 100*most)
	if more > most {
		fail("a plan makes Decide %.1f%% dearer", 100*more)
	}
}

// decides takes n jobs in and out.
func decides(n int, plan bool) time.Duration {
	var c choice.Controller
	now := choice.Nanos(1e12)
	var mark choice.TimerID
	tell := func(ev choice.Event) (to choice.EngineID) {
		for _, a := range c.Decide(now, ev) {
			switch a.Kind {
			case choice.Dispatch:
				to = a.Engine
			case choice.SetTimer:
				mark = a.TimerID
			}
		}
		return to
	}
	tell(choice.Event{Kind: choice.Started, Seed: 3, Settings: choice.ParseSettings(facts(0, 1))})
	p := &choice.Plan{Tenants: []choice.PlanTenant{{Tenant: 0, Share: 1}}, DemandThreads: 40, MaxDemandRatio: 1e9}
	var lines []choice.EngineEntry
	for i := range choice.EngineID(40) {
		lines = append(lines, choice.EngineEntry{Engine: i, State: choice.Ready})
		p.Engines = append(p.Engines, choice.PlanEngine{Engine: i, Threads: 8})
		for t := range choice.TypeID(3) {
			p.Weights = append(p.Weights, choice.PlanWeight{Type: t, Engine: i, Weight: float64(i%7) / 7})
		}
	}
	tell(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: lines})
	if plan {
		tell(choice.Event{Kind: choice.PlanUpdated, Plan: p})
	}
	began := time.Now()
	for i := range n {
		now += 1e6
		id := choice.JobID(i + 1)
		to := tell(choice.Event{Kind: choice.JobArrived, Job: id, Type: choice.TypeID(i % 2), TimeLeft: 4e9, Cost: 5e7, CostKnown: true})
		tell(choice.Event{Kind: choice.AttemptEnded, Job: id, Engine: to, Result: choice.Done, IsFinal: true, Latency: 5e7})
		if i%20 == 0 {
			tell(choice.Event{Kind: choice.TimerFired, TimerID: mark})
		}
	}
	return time.Since(began)
}
