package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftreel/internal/proof"
	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	warmingFleetCount = 30
	warmingSolveTime  = 100 * time.Millisecond
	minWarmingSteps   = 100
	warmingHorizonMS  = 25_000 // by then all engines are warm
	warmingIntervalMS = 50
	fullCapacity      = 1_000_000 // of an engine, in millionths
	threadsPerCore    = 2
)

// warmUpCheck counts the checks of plans for engines that warm up.
type warmUpCheck struct {
	report  *proof.Report
	steps   int
	moments int // checked, for each engine separately
}

// checkWarmUps checks plans for engines that warm up, throughout each step and not only at its start.
func checkWarmUps(report *proof.Report) {
	check := warmUpCheck{report: report}
	for seed := range uint64(warmingFleetCount) {
		problem := drawWarmingFleet(seed)
		answer := solve.Solve(problem, solve.Options{Stop: stopAfter(warmingSolveTime)})
		for i, step := range answer.Steps {
			endMS := int64(warmingHorizonMS)
			if i+1 < len(answer.Steps) {
				endMS = answer.Steps[i+1].FromMS
			}
			check.checkStep(seed, problem.Engines, step, endMS)
		}
	}
	if check.steps < minWarmingSteps {
		report.Failf("only %d steps", check.steps)
	}
	fmt.Printf("cold engines: %d fleets, %d steps, looked at at %d moments: none over its part of rule 4\n\n",
		warmingFleetCount, check.steps, check.moments)
}

// drawWarmingFleet draws a fleet in which about half the engines warm up; in every third fleet all of them do.
func drawWarmingFleet(seed uint64) *solve.Problem {
	problem := draw.Ordinary(seed, 8, 2, 3, 3, 1.1)
	problem.Constraints = solve.Constraints{}
	random := rand.New(rand.NewPCG(seed, 4))
	for i := range problem.Engines {
		if seed%3 == 0 || random.IntN(2) == 0 {
			engine := &problem.Engines[i]
			engine.State = solve.Started
			engine.CapacityPerMille = int64(random.IntN(600))
			engine.WarmInMS = int64(1000 + random.IntN(20_000))
		}
	}
	return problem
}

// checkStep checks that no engine has more threads than its capacity allows while a step is in effect.
func (c *warmUpCheck) checkStep(seed uint64, engines []solve.Engine, step solve.Step, endMS int64) {
	c.steps++
	assigned := map[string]int64{}
	for _, threads := range step.Threads {
		assigned[threads.Engine] += threads.Threads
	}
	for atMS := step.FromMS; atMS < endMS; atMS += warmingIntervalMS {
		for _, engine := range engines {
			c.moments++
			capacity := capacityAt(engine, atMS)
			threads := engine.Cores * threadsPerCore
			if assigned[engine.Name]*fullCapacity > threads*capacity {
				c.report.Failf("seed %d: engine %s runs %d threads at %d ms, its part is %d of %d",
					seed, engine.Name, assigned[engine.Name], atMS, capacity, threads)
			}
		}
	}
}

// capacityAt returns the fraction of its threads that an engine may use at a given time, in millionths. It grows
// linearly while the engine warms up.
func capacityAt(engine solve.Engine, atMS int64) int64 {
	switch {
	case engine.State == solve.Draining:
		return 0
	case engine.State == solve.Started && atMS < engine.WarmInMS:
		initial := 1000 * engine.CapacityPerMille
		return initial + (fullCapacity-initial)*atMS/engine.WarmInMS
	default:
		return fullCapacity
	}
}
