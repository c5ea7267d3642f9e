package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"swiftreel/internal/solve"
)

// valuePerMille is the part of the solver's time after which it no longer works on the value.
const valuePerMille = 600

// runParallel calls work with each index below count, on up to so many workers but no more than there are cores.
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

// timedAnswer is an answer with the time that it took.
type timedAnswer struct {
	solve.Answer
	valueSettledAfter time.Duration // 0: the solver ended while it worked on the value
	took              time.Duration
}

// solveWithin solves a problem in a limited time.
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

// stopAfter returns a condition that ends each stage of the solver once its part of the time is over.
func stopAfter(limit time.Duration) solve.Stop {
	startedAt := time.Now()
	return func(perMille int) bool { return time.Since(startedAt) > portionOf(limit, perMille) }
}

func portionOf(limit time.Duration, perMille int) time.Duration {
	return limit * time.Duration(perMille) / 1000
}

// verifySteps holds each step of an answer against the problem.
func verifySteps(problem *solve.Problem, answer solve.Answer) error {
	for _, step := range answer.Steps {
		if err := solve.Verify(problem, step); err != nil {
			return err
		}
	}
	return nil
}

// summarize describes how durations, of which there is at least one, are distributed.
func summarize(durations []time.Duration) string {
	sorted := slices.Sorted(slices.Values(durations))
	quantile := func(fraction float64) time.Duration {
		return sorted[int(fraction*float64(len(sorted)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, p90 %v, p99 %v, most %v", quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}
