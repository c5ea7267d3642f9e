package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"swiftreel/internal/proof"
	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	ordinaryFleetCount = 50
	ordinarySolveTime  = time.Second
	maxOrdinaryTime    = 1300 * time.Millisecond
	maxGap             = 0.001 // largest gap between the value and its bound, as a fraction of the bound
	largeSolveTime     = 10 * time.Second
	maxLargeTime       = 11 * time.Second
	growthSolveTime    = 1500 * time.Millisecond
)

// ordinaryResult is the result for an ordinary fleet.
type ordinaryResult struct {
	timedAnswer
	err error // not nil if the answer is wrong
}

// costExcess returns by how much the cost exceeds its bound, as a fraction of the bound.
func (r ordinaryResult) costExcess() float64 {
	return float64(r.Cost-r.CostBound) / float64(max(1, r.CostBound))
}

// checkOrdinaryFleets measures the quality of answers after ordinarySolveTime.
func checkOrdinaryFleets(report *proof.Report) {
	results := make([]ordinaryResult, ordinaryFleetCount)
	runParallel(ordinaryFleetCount, max(1, runtime.NumCPU()/2), func(index int) {
		load := 0.6 + 0.015*float64(index)
		problem := draw.Ordinary(uint64(index), 40, 3, 6, 12, load)
		answer := solveWithin(problem, ordinarySolveTime)
		results[index] = ordinaryResult{timedAnswer: answer, err: verifySteps(problem, answer.Answer)}
	})
	proved, infeasible := 0, 0
	var valueTimes []time.Duration
	var gaps, costExcesses []float64
	for i, r := range results {
		valueTimes = append(valueTimes, r.valueSettledAfter)
		if r.took > maxOrdinaryTime {
			report.Failf("ordinary %d took %v", i, r.took)
		}
		if r.Status == solve.Infeasible {
			infeasible++
			continue
		}
		if r.Proved.Value {
			proved++
		}
		gaps = append(gaps, r.Gap)
		costExcesses = append(costExcesses, r.costExcess())
		if r.err != nil || r.Status == solve.Unknown || r.Gap > maxGap {
			report.Failf("ordinary %d: %s, gap %.5f %v", i, r.Status, r.Gap, r.err)
		}
	}
	slices.Sort(costExcesses)
	fmt.Printf("%d ordinary fleets (40 engines, 3 zones, 6 types, 12 tenants; 0.6 to 1.35 of capacity asked), "+
		"1 s each on one core:\n", ordinaryFleetCount)
	fmt.Printf("  value proved best in %d, proved that no answer fits in %d, greatest gap %.4f%% (at most %.1f%%)\n",
		proved, infeasible, 100*slices.Max(gaps), 100*maxGap)
	fmt.Printf("  cost over its bound: median %.3f%%, most %.3f%% "+
		"(the second part of the objective, where the first stands)\n",
		100*costExcesses[len(costExcesses)/2], 100*costExcesses[len(costExcesses)-1])
	fmt.Printf("  time until the value was settled: %s\n\n", summarize(valueTimes))
}

// checkLargeFleet solves one problem with many engines.
func checkLargeFleet(report *proof.Report) {
	problem := draw.Ordinary(1, 300, 3, 8, 40, 1.1)
	answer := solveWithin(problem, largeSolveTime)
	if answer.Status == solve.Unknown || answer.took > maxLargeTime {
		report.Failf("300 engines: %s in %v", answer.Status, answer.took)
	}
	if err := verifySteps(problem, answer.Answer); err != nil {
		report.Failf("300 engines: %v", err)
	}
	fmt.Printf("300 engines, 8 types, 40 tenants, 10 s: %s, gap %.4f%%, value settled after %v, in all %v\n\n",
		answer.Status, 100*answer.Gap, answer.valueSettledAfter.Round(time.Millisecond),
		answer.took.Round(time.Millisecond))
}

// printGrowth prints how the solver's time grows with the size of the fleet.
func printGrowth() {
	fmt.Println("how time grows (3 zones, 6 types, 12 tenants, 1.1 of capacity asked, seed 7, 1.5 s):")
	fmt.Println("  engines   value settled after   gap")
	for _, engines := range []int{10, 20, 40, 80, 160} {
		answer := solveWithin(draw.Ordinary(7, engines, 3, 6, 12, 1.1), growthSolveTime)
		fmt.Printf("  %7d   %19v   %.4f%%\n", engines, answer.valueSettledAfter.Round(time.Millisecond), 100*answer.Gap)
	}
}
