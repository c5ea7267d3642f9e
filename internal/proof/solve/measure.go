package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/solve"
)

// valuePerMille is the fraction of the time limit that the solver spends on the value at most.
const valuePerMille = 600

// runParallel calls work with each index below count, on as many goroutines as given but no more than there are cores.
func runParallel(count, workers int, work func(index int)) {
	var running sync.WaitGroup
	indexes := make(chan int)
	for range min(workers, runtime.NumCPU()) {
		running.Go(func() {
			for index := range indexes {
				work(index)
			}
		})
	}
	for index := range count {
		indexes <- index
	}
	close(indexes)
	running.Wait()
}

// timedAnswer is an answer with the time that the solver took.
type timedAnswer struct {
	solve.Answer
	valueSettledAfter time.Duration // 0: the solver ended before it went beyond the value
	took              time.Duration
}

// solveWithin solves a problem within a time limit.
func solveWithin(problem *solve.Problem, limit time.Duration) timedAnswer {
	var timed timedAnswer
	startedAt := time.Now()
	stop := func(perMille int) bool {
		elapsed := time.Since(startedAt)
		if perMille > valuePerMille && timed.valueSettledAfter == 0 {
			timed.valueSettledAfter = elapsed
		}
		return elapsed >= portionOf(limit, perMille)
	}
	timed.Answer = solve.Solve(problem, solve.Options{Stop: stop})
	timed.took = time.Since(startedAt)
	return timed
}

// stopAfter returns a stop condition that ends each stage of the solver when its portion of the time limit has passed.
func stopAfter(limit time.Duration) solve.Stop {
	startedAt := time.Now()
	return func(perMille int) bool { return time.Since(startedAt) > portionOf(limit, perMille) }
}

func portionOf(limit time.Duration, perMille int) time.Duration {
	return limit * time.Duration(perMille) / 1000
}

// verifySteps verifies each step of an answer against the problem.
func verifySteps(problem *solve.Problem, answer solve.Answer) error {
	for _, step := range answer.Steps {
		if err := solve.Verify(problem, step); err != nil {
			return err
		}
	}
	return nil
}

// summarize describes the distribution of durations. There must be at least one.
func summarize(durations []time.Duration) string {
	sorted := slices.Sorted(slices.Values(durations))
	quantile := func(fraction float64) time.Duration {
		return sorted[int(fraction*float64(len(sorted)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, p90 %v, p99 %v, most %v", quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}
