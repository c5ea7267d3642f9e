// Command solve proves the solver: make proof-solve. It prints its tables and ends with exit code 1 where a figure
// fails.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/solve"
)

// failed is set by fail. All figures are held by one goroutine.
var failed bool

// fail prints why a figure fails.
func fail(text string, v ...any) {
	failed = true
	fmt.Printf("FAILED: "+text+"\n", v...)
}

func main() {
	start := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	compareWithExhaustive()
	checkWarmUps()
	solveOrdinaryFleets()
	solveLargeFleet()
	measureGrowth()
	comparePlans()
	comparePlanCost()
	fmt.Printf("\nin all %v\n", time.Since(start).Round(100*time.Millisecond))
	if failed {
		os.Exit(1)
	}
}

// inParallel runs work for each index on up to so many cores.
func inParallel(count, workers int, work func(index int)) {
	var running sync.WaitGroup
	indexes := make(chan int)
	for range min(workers, runtime.NumCPU()) {
		running.Go(func() {
			for i := range indexes {
				work(i)
			}
		})
	}
	for i := range count {
		indexes <- i
	}
	close(indexes)
	running.Wait()
}

// quantiles describes times.
func quantiles(times []time.Duration) string {
	slices.Sort(times)
	at := func(quantile float64) time.Duration {
		return times[int(quantile*float64(len(times)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, p90 %v, p99 %v, most %v", at(0.5), at(0.9), at(0.99), at(1))
}

// valuePerMille is the part of the time limit that the value's stage may take.
const valuePerMille = 600

// timed solves within a time limit, and returns after how long the value was settled and how long all took.
func timed(problem *solve.Problem, limit time.Duration) (answer solve.Answer, valueSettled, total time.Duration) {
	start := time.Now()
	stop := func(perMille int) bool {
		elapsed := time.Since(start)
		if perMille > valuePerMille && valueSettled == 0 {
			valueSettled = elapsed
		}
		return elapsed >= limit*time.Duration(perMille)/1000
	}
	answer = solve.Solve(problem, solve.Options{Stop: stop})
	return answer, valueSettled, time.Since(start)
}

// verifySteps holds all steps of an answer against the problem.
func verifySteps(problem *solve.Problem, answer solve.Answer) error {
	for _, step := range answer.Steps {
		if err := solve.Verify(problem, step); err != nil {
			return err
		}
	}
	return nil
}
