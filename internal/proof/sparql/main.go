// Command sparql plays a mixed run of both protocols against real controllers on loopback: make proof-sparql. Fakes log
// every job, answer and dispatch; rulecheck reads the logs. It exits with 1 if a rule is broken or a job has not
// exactly one outcome.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// maxFloodCost is how much of the lookups a flood of SPARQL texts may cost.
const maxFloodCost = 0.03

// floodSeed is far from the seeds with faults.
const floodSeed = 99

func main() {
	program := flag.String("program", "bin/swiftreel", "the controller to run")
	seeds := flag.Int("seeds", 20, "runs with faults")
	flag.Parse()
	began := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	passed := proveFaults(*program, *seeds)
	passed = proveFlood(*program) && passed
	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if !passed {
		os.Exit(1)
	}
}

// proveFaults plays seeds with faults, some at once, and prints what became of their jobs.
func proveFaults(program string, seeds int) bool {
	fmt.Printf("%d seeds of faults, two controllers, engines of the line protocol on e1 e2 e3, of SPARQL on e1 e2 e4:\n",
		seeds)
	var mu sync.Mutex // guards sum and passed
	var sum statistics
	passed := true
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(2, runtime.NumCPU()/2))
	for seed := range uint64(seeds) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			result, err := play(program, scenario{
				seed: seed, faults: true, calls: 300, queries: 150, pause: 4 * time.Millisecond, connections: 8,
			})
			mu.Lock()
			defer mu.Unlock()
			passed = printFailures(seed, result, err) && passed
			sum.add(result)
		})
	}
	wait.Wait()
	return printSum(sum) && passed
}

// printFailures reports whether a run passed.
func printFailures(seed uint64, result statistics, err error) bool {
	if err != nil {
		fmt.Printf("FAILED: seed %d: %v\n", seed, err)
	}
	for _, violation := range result.violations {
		fmt.Printf("FAILED: seed %d: %v\n", seed, violation)
	}
	return err == nil && len(result.violations) == 0
}

// printSum reports whether the jobs of all runs add up.
func printSum(sum statistics) bool {
	fmt.Printf("  jobs %d: done %d, throttled %d, cancelled for good %d, unanswered %d\n",
		sum.jobs, sum.done, sum.throttled, sum.cancelled, sum.unanswered())
	fmt.Printf("  dispatches %d, of which begun %d; broken rules %d\n\n", sum.dispatches, sum.begun, len(sum.violations))
	if sum.begun < sum.done || sum.cancelled == 0 || sum.unanswered() != 0 {
		fmt.Println("FAILED: jobs and outcomes do not add up, or no fault struck")
		return false
	}
	return true
}

// proveFlood plays a calm day with few SPARQL queries and one with many, and compares what becomes of MessagePack
// lookups.
func proveFlood(program string) bool {
	calm, ok := playLookups(program, 30, 1)
	if !ok {
		return false
	}
	flooded, ok := playLookups(program, 10_000, 48)
	if !ok {
		return false
	}
	if calm-flooded > maxFloodCost {
		fmt.Printf("FAILED: the flood costs lookups more than %.0f points\n", 100*maxFloodCost)
		return false
	}
	return true
}

// playLookups returns the share of lookups that were done beside a number of SPARQL texts.
func playLookups(program string, queries, connections int) (share float64, ok bool) {
	result, err := play(program, scenario{
		seed: floodSeed, calls: 1500, queries: queries, pause: 2 * time.Millisecond, connections: connections,
	})
	if err != nil || len(result.violations) > 0 {
		fmt.Printf("FAILED: %v %v\n", err, result.violations)
		return 0, false
	}
	share = float64(result.lookupsDone) / float64(max(1, result.lookups))
	fmt.Printf("MessagePack lookups beside %5d SPARQL texts: %d, done %.2f%%; SPARQL done %d, throttled %d of %d\n",
		queries, result.lookups, 100*share, result.textsDone, result.throttled, result.texts)
	return share, true
}
