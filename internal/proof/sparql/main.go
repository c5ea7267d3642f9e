// Command sparql plays a mixed run of both protocols against real controllers on loopback: make proof-sparql. Fakes
// log every job, answer and dispatch; rulecheck reads the logs. It ends with exit code 1 where a rule is broken or a
// job has not its one outcome.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// maxFloodLoss is the part of lookups that a flood of SPARQL requests may cost.
const maxFloodLoss = 0.03

func main() {
	program := flag.String("program", "bin/swiftreel", "the controller to run")
	seeds := flag.Int("seeds", 20, "runs with faults")
	flag.Parse()
	start := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	passed := playFaults(*program, *seeds)
	passed = playFlood(*program) && passed
	fmt.Printf("\nin all %v\n", time.Since(start).Round(100*time.Millisecond))
	if !passed {
		os.Exit(1)
	}
}

// playFaults plays runs with faults, some at once. It returns whether all jobs had their one outcome by the rules.
func playFaults(program string, seeds int) bool {
	fmt.Printf("%d seeds of faults, two controllers, engines of the line protocol on e1 e2 e3, of SPARQL on e1 e2 e4:\n",
		seeds)
	var mu sync.Mutex
	var sum counts
	passed := true
	var running sync.WaitGroup
	slots := make(chan struct{}, max(2, runtime.NumCPU()/2))
	for seed := range uint64(seeds) {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			config := runConfig{seed: seed, faults: true, calls: 300, queries: 150, pause: 4 * time.Millisecond, lanes: 8}
			c, err := play(program, config)
			mu.Lock()
			defer mu.Unlock()
			passed = reportRun(seed, c, err) && passed
			sum.add(c)
		})
	}
	running.Wait()
	unanswered := sum.jobs - sum.done - sum.throttled - sum.cancelled
	fmt.Printf("  jobs %d: done %d, throttled %d, cancelled for good %d, unanswered %d\n",
		sum.jobs, sum.done, sum.throttled, sum.cancelled, unanswered)
	fmt.Printf("  dispatches %d, of which begun %d; broken rules %d\n\n", sum.dispatches, sum.begun, len(sum.violations))
	if sum.begun < sum.done || sum.cancelled == 0 || unanswered != 0 {
		fmt.Println("FAILED: jobs and outcomes do not add up, or no fault struck")
		return false
	}
	return passed
}

// reportRun prints what a run should not have shown, and returns whether there was nothing.
func reportRun(seed uint64, c counts, err error) bool {
	if err != nil {
		fmt.Printf("FAILED: seed %d: %v\n", seed, err)
	}
	for _, v := range c.violations {
		fmt.Printf("FAILED: seed %d: %v\n", seed, v)
	}
	return err == nil && len(c.violations) == 0
}

// playFlood plays a calm run with few SPARQL requests and one with many, and compares what becomes of MessagePack
// lookups.
func playFlood(program string) bool {
	calm, ok := floodRun(program, 30, 1)
	if !ok {
		return false
	}
	flooded, ok := floodRun(program, 10_000, 48)
	if !ok {
		return false
	}
	if calm-flooded > maxFloodLoss {
		fmt.Printf("FAILED: the flood costs lookups more than %.0f points\n", 100*maxFloodLoss)
		return false
	}
	return true
}

// floodRun plays a run without faults, and returns the part of lookups that were done; ok is false where it failed.
func floodRun(program string, queries, lanes int) (done float64, ok bool) {
	c, err := play(program, runConfig{seed: 99, calls: 1500, queries: queries, pause: 2 * time.Millisecond, lanes: lanes})
	if err != nil || len(c.violations) > 0 {
		fmt.Printf("FAILED: %v %v\n", err, c.violations)
		return 0, false
	}
	done = float64(c.lookupsDone) / float64(max(1, c.lookups))
	fmt.Printf("MessagePack lookups beside %5d SPARQL texts: %d, done %.2f%%; SPARQL done %d, throttled %d of %d\n",
		queries, c.lookups, 100*done, c.requestsDone, c.throttled, c.requests)
	return done, true
}
