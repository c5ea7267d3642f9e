// Command sparql runs a mixed load of both protocols against real controllers on loopback: make proof-sparql. Fakes log
// every job, answer and dispatch, and package rulecheck checks the logs. It exits with 1 if a rule is broken or a job
// does not have exactly one outcome.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"swiftreel/internal/proof"
)

// maxFloodLoss is the largest accepted loss in the fraction of lookups done, caused by a flood of SPARQL requests.
const maxFloodLoss = 0.03

func main() {
	program := flag.String("program", "bin/swiftreel", "the controller to run")
	seeds := flag.Int("seeds", 20, "runs with faults")
	flag.Parse()
	report := proof.NewReport(os.Stdout)
	fmt.Printf("%s; %s\n\n", proof.Machine(), proof.SimulatedEngines)
	playFaults(report, *program, *seeds)
	playFlood(report, *program)
	report.PrintTotal()
	if report.HasFailed() {
		os.Exit(1)
	}
}

// playFaults plays runs with faults, several in parallel. By the rules, each job must have exactly one outcome.
func playFaults(report *proof.Report, program string, seeds int) {
	fmt.Printf("%d seeds of faults, two controllers, engines of the line protocol on e1 e2 e3, of SPARQL on e1 e2 e4:\n",
		seeds)
	var mu sync.Mutex // guards sum
	var sum counts
	var running sync.WaitGroup
	slots := make(chan struct{}, max(2, runtime.NumCPU()/2))
	for seed := range uint64(seeds) {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			config := runConfig{seed: seed, faults: true, calls: 300, queries: 150, pause: 4 * time.Millisecond, connections: 8}
			c, err := play(program, config)
			reportRun(report, seed, c, err)
			mu.Lock()
			defer mu.Unlock()
			sum.add(c)
		})
	}
	running.Wait()
	unanswered := sum.jobs - sum.done - sum.throttled - sum.cancelled
	fmt.Printf("  jobs %d: done %d, throttled %d, cancelled for good %d, unanswered %d\n",
		sum.jobs, sum.done, sum.throttled, sum.cancelled, unanswered)
	fmt.Printf("  dispatches %d, of which begun %d; broken rules %d\n\n", sum.dispatches, sum.begun, len(sum.violations))
	if sum.begun < sum.done || sum.cancelled == 0 || unanswered != 0 {
		report.Failf("jobs and outcomes do not add up, or no fault struck")
	}
}

// reportRun reports the error and the violations of a run.
func reportRun(report *proof.Report, seed uint64, c counts, err error) {
	if err != nil {
		report.Failf("seed %d: %v", seed, err)
	}
	for _, v := range c.violations {
		report.Failf("seed %d: %v", seed, v)
	}
}

// playFlood plays a run with few SPARQL requests and one with many, and compares the fractions of MessagePack lookups
// that were done.
func playFlood(report *proof.Report, program string) {
	calm, ok := floodRun(report, program, 30, 1)
	if !ok {
		return
	}
	flooded, ok := floodRun(report, program, 10_000, 48)
	if !ok {
		return
	}
	if calm-flooded > maxFloodLoss {
		report.Failf("the flood costs lookups more than %.0f points", 100*maxFloodLoss)
	}
}

// floodRun plays a run without faults and returns the fraction of lookups that were done. ok is false if it failed.
func floodRun(report *proof.Report, program string, queries, connections int) (done float64, ok bool) {
	c, err := play(program, runConfig{
		seed:        99,
		calls:       1500,
		queries:     queries,
		pause:       2 * time.Millisecond,
		connections: connections,
	})
	if err != nil || len(c.violations) > 0 {
		report.Failf("%v %v", err, c.violations)
		return 0, false
	}
	done = float64(c.lookupsDone) / float64(max(1, c.lookups))
	fmt.Printf("MessagePack lookups beside %5d SPARQL texts: %d, done %.2f%%; SPARQL done %d, throttled %d of %d\n",
		queries, c.lookups, 100*done, c.requestsDone, c.throttled, c.requests)
	return done, true
}
