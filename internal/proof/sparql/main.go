// Command sparql plays a mixed run of both protocols against real controllers on loopback: make proof-sparql. Stand-ins
// log every job, answer and dispatch; rulecheck reads the logs. It ends with 1 where a rule is broken or a job has not
// its one outcome.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

func main() {
	program := flag.String("program", "bin/swiftreel", "the controller to run")
	seeds := flag.Int("seeds", 20, "runs with faults")
	flag.Parse()
	began := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	fmt.Printf("%d seeds of faults, two controllers, engines of the line protocol on e1 e2 e3, of SPARQL on e1 e2 e4:\n", *seeds)
	var mu sync.Mutex
	var sum tally
	var wait sync.WaitGroup
	failed := false
	places := make(chan struct{}, max(2, runtime.NumCPU()/2))
	for seed := range uint64(*seeds) {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			t, err := play(*program, day{seed: seed, faults: true, calls: 300, queries: 150, pause: 4 * time.Millisecond, lanes: 8})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Printf("FAILED: seed %d: %v\n", seed, err)
				failed = true
			}
			for _, v := range t.broken {
				fmt.Printf("FAILED: seed %d: %v\n", seed, v)
				failed = true
			}
			sum.add(t)
		})
	}
	wait.Wait()
	fmt.Printf("  jobs %d: done %d, throttled %d, cancelled for good %d, unanswered %d\n", sum.jobs, sum.done, sum.throttled, sum.cancelled, sum.jobs-sum.done-sum.throttled-sum.cancelled)
	fmt.Printf("  dispatches %d, of which begun %d; broken rules %d\n\n", sum.dispatches, sum.begun, len(sum.broken))
	if sum.begun < sum.done || sum.cancelled == 0 || sum.jobs != sum.done+sum.throttled+sum.cancelled {
		fmt.Println("FAILED: jobs and outcomes do not add up, or no fault struck")
		failed = true
	}
	failed = !flood(*program) || failed
	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if failed {
		os.Exit(1)
	}
}

// flood plays a calm day with few SPARQL queries and one with many, and compares what becomes of MessagePack lookups.
func flood(program string) bool {
	const most = 0.03
	var share [2]float64
	for i, queries := range []int{30, 10_000} {
		t, err := play(program, day{seed: 99, calls: 1500, queries: queries, pause: 2 * time.Millisecond, lanes: []int{1, 48}[i]})
		if err != nil || len(t.broken) > 0 {
			fmt.Printf("FAILED: %v %v\n", err, t.broken)
			return false
		}
		share[i] = float64(t.lookupsDone) / float64(max(1, t.lookups))
		fmt.Printf("MessagePack lookups beside %5d SPARQL texts: %d, done %.2f%%; SPARQL done %d, throttled %d of %d\n", queries, t.lookups, 100*share[i], t.textsDone, t.throttled, t.texts)
	}
	if share[0]-share[1] > most {
		fmt.Printf("FAILED: the flood costs lookups more than %.0f points\n", 100*most)
		return false
	}
	return true
}
