package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	warmUpFleets    = 30
	warmUpSolveTime = 100 * time.Millisecond
	warmUpEndMS     = int64(25000) // past every warm-up
	warmUpStepMS    = int64(50)    // from one moment that is checked to the next
	minWarmUpSteps  = 100
	fullCapacity    = int64(1_000_000) // in parts of a million
	threadsPerCore  = 2
)

// checkWarmUps checks every moment of warm-ups, not only those where steps begin.
func checkWarmUps() {
	steps, moments := 0, 0
	for seed := range uint64(warmUpFleets) {
		problem := warmingProblem(seed)
		answer, _, _ := timed(problem, warmUpSolveTime)
		for i, step := range answer.Steps {
			end := warmUpEndMS
			if i+1 < len(answer.Steps) {
				end = answer.Steps[i+1].FromMS
			}
			steps++
			moments += checkStep(seed, problem, step, end)
		}
	}
	if steps < minWarmUpSteps {
		fail("only %d steps", steps)
	}
	fmt.Printf("cold engines: %d fleets, %d steps, looked at at %d moments: none over its part of rule 4\n\n",
		warmUpFleets, steps, moments)
}

// warmingProblem is a fleet in which engines warm up: all of them in every third, half of them in others.
func warmingProblem(seed uint64) *solve.Problem {
	problem := draw.Ordinary(seed, 8, 2, 3, 3, 1.1)
	problem.Constraints = solve.Constraints{}
	random := rand.New(rand.NewPCG(seed, 4))
	for i := range problem.Engines {
		engine := &problem.Engines[i]
		if seed%3 == 0 || random.IntN(2) == 0 {
			engine.State = solve.Started
			engine.CapacityPerMille = int64(random.IntN(600))
			engine.WarmInMS = int64(1000 + random.IntN(20000))
		}
	}
	return problem
}

// checkStep holds a step's threads against what each engine stands until its end. It returns how many times that was
// done.
func checkStep(seed uint64, problem *solve.Problem, step solve.Step, endMS int64) (moments int) {
	threads := map[string]int64{}
	for _, t := range step.Threads {
		threads[t.Engine] += t.Threads
	}
	for at := step.FromMS; at < endMS; at += warmUpStepMS {
		for _, engine := range problem.Engines {
			moments++
			capacity := capacityAt(engine, at)
			if threads[engine.Name]*fullCapacity > engine.Cores*threadsPerCore*capacity {
				fail("seed %d: engine %s runs %d threads at %d ms, its part is %d of %d",
					seed, engine.Name, threads[engine.Name], at, capacity, engine.Cores*threadsPerCore)
			}
		}
	}
	return moments
}

// capacityAt is an engine's part of its capacity at a time, in parts of a million.
func capacityAt(engine solve.Engine, atMS int64) int64 {
	switch {
	case engine.State == solve.Draining:
		return 0
	case engine.State == solve.Started && atMS < engine.WarmInMS:
		start := 1000 * engine.CapacityPerMille
		return start + (fullCapacity-start)*atMS/engine.WarmInMS
	default:
		return fullCapacity
	}
}
