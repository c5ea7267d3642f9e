package main

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	ordinaryFleets = 50
	ordinaryLimit  = time.Second
	ordinaryMax    = 1300 * time.Millisecond
	ordinaryMaxGap = 0.001
	largeLimit     = 10 * time.Second
	largeMax       = 11 * time.Second
	growthLimit    = 1500 * time.Millisecond
	minLoad        = 0.6   // of capacity, in the first ordinary fleet
	loadStep       = 0.015 // from one to the next
)

// ordinaryResult is what came of an ordinary fleet.
type ordinaryResult struct {
	solve.Answer
	valueSettled, total time.Duration
	err                 error
}

// check holds a result against the bounds.
func (r ordinaryResult) check(index int) {
	if r.total > ordinaryMax {
		fail("ordinary %d took %v", index, r.total)
	}
	if r.Status == solve.Infeasible {
		return
	}
	if r.err != nil || r.Status == solve.Unknown || r.Gap > ordinaryMaxGap {
		fail("ordinary %d: %s, gap %.5f %v", index, r.Status, r.Gap, r.err)
	}
}

// costExcess is how far the cost may be over the best, in parts of its bound.
func (r ordinaryResult) costExcess() float64 {
	return float64(r.Cost-r.CostBound) / float64(max(1, r.CostBound))
}

// solveOrdinaryFleets solves fleets of a size that is usual.
func solveOrdinaryFleets() {
	list := make([]ordinaryResult, ordinaryFleets)
	inParallel(ordinaryFleets, max(1, runtime.NumCPU()/2), func(i int) {
		problem := draw.Ordinary(uint64(i), 40, 3, 6, 12, minLoad+loadStep*float64(i))
		answer, valueSettled, total := timed(problem, ordinaryLimit)
		list[i] = ordinaryResult{answer, valueSettled, total, verifySteps(problem, answer)}
	})
	proved, infeasible := 0, 0
	var times []time.Duration
	var gaps, excesses []float64
	for i, r := range list {
		r.check(i)
		times = append(times, r.valueSettled)
		if r.Status == solve.Infeasible {
			infeasible++
			continue
		}
		if r.Proved.Value {
			proved++
		}
		gaps = append(gaps, r.Gap)
		excesses = append(excesses, r.costExcess())
	}
	slices.Sort(excesses)
	fmt.Printf("%d ordinary fleets (40 engines, 3 zones, 6 types, 12 tenants; 0.6 to 1.35 of capacity asked), "+
		"1 s each on one core:\n",
		ordinaryFleets)
	fmt.Printf("  value proved best in %d, proved that no answer fits in %d, greatest gap %.4f%% (at most %.1f%%)\n",
		proved, infeasible, 100*slices.Max(gaps), 100*ordinaryMaxGap)
	fmt.Printf("  cost over its bound: median %.3f%%, most %.3f%% "+
		"(the second part of the objective, where the first stands)\n",
		100*excesses[len(excesses)/2], 100*excesses[len(excesses)-1])
	fmt.Printf("  time until the value was settled: %s\n\n", quantiles(times))
}

// solveLargeFleet solves one of 300 engines.
func solveLargeFleet() {
	problem := draw.Ordinary(1, 300, 3, 8, 40, 1.1)
	answer, valueSettled, total := timed(problem, largeLimit)
	if answer.Status == solve.Unknown || total > largeMax {
		fail("300 engines: %s in %v", answer.Status, total)
	}
	if err := verifySteps(problem, answer); err != nil {
		fail("300 engines: %v", err)
	}
	fmt.Printf("300 engines, 8 types, 40 tenants, 10 s: %s, gap %.4f%%, value settled after %v, in all %v\n\n",
		answer.Status, 100*answer.Gap, valueSettled.Round(time.Millisecond), total.Round(time.Millisecond))
}

// measureGrowth tells how the time grows with the number of engines.
func measureGrowth() {
	fmt.Println("how time grows (3 zones, 6 types, 12 tenants, 1.1 of capacity asked, seed 7, 1.5 s):")
	fmt.Println("  engines   value settled after   gap")
	for _, engines := range []int{10, 20, 40, 80, 160} {
		answer, valueSettled, _ := timed(draw.Ordinary(7, engines, 3, 6, 12, 1.1), growthLimit)
		fmt.Printf("  %7d   %19v   %.4f%%\n", engines, valueSettled.Round(time.Millisecond), 100*answer.Gap)
	}
}
