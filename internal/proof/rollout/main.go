// Command rollout rolls good and bad changes out through fleets of real processes on loopback, kills coordinators in
// every phase and disturbs the links to supervisors: make proof-rollout. With -only virtual it simulates thousands of
// changes with the real canary analysis and rollout state machine, without processes: make proof-judge. It exits with
// 1 if a check fails.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"

	"swiftreel/internal/proof"
)

// Values of the flag -only that are not names of scenarios.
const (
	onlyVirtual  = "virtual"
	onlyTransfer = "taught"
	onlyHandover = "handover"
)

// errFailed is returned when a check failed. The reason has been printed already.
var errFailed = errors.New("a check failed")

// options holds the command-line flags.
type options struct {
	schedules int
	only      string
	seed      uint64
	chart     string
}

// plays reports whether the scenario is selected.
func (o options) plays(name string) bool {
	return o.only == "" || o.only == name
}

func main() {
	var o options
	flag.IntVar(&o.schedules, "seeds", 20, "schedules of faults")
	flag.StringVar(&o.only, "only", "", "play only scenarios of this name; virtual: the analysis in virtual time")
	flag.Uint64Var(&o.seed, "seed", 0, "with -only faults: this schedule")
	flag.StringVar(&o.chart, "chart", "", "with -only virtual: write the power as a chart there (.svg)")
	flag.Parse()
	if err := run(o); err != nil {
		if !errors.Is(err, errFailed) {
			fmt.Println("FAILED:", err)
		}
		os.Exit(1)
	}
}

func run(flags options) error {
	report := proof.NewReport(os.Stdout)
	fmt.Printf("%s; %s\n\n", proof.Machine(), proof.SimulatedEngines)
	if flags.only == onlyVirtual {
		if !printVirtualFigures(flags.chart) {
			return errFailed
		}
		report.PrintTotal()
		return nil
	}
	dir, err := os.MkdirTemp("", "builds")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // leftovers in the temporary directory do no harm
	programs, err := buildPrograms(dir)
	if err != nil {
		return err
	}
	fmt.Printf("builds after %v\n", report.Elapsed())
	ok := playAll(flags, programs)
	report.PrintTotal()
	if !ok {
		return errFailed
	}
	return nil
}

// playAll plays everything that the options select and reports whether all checks passed.
func playAll(flags options, programs map[string]string) bool {
	transferFailed := false
	var transfer sync.WaitGroup
	if flags.plays(onlyTransfer) {
		transfer.Go(func() {
			if reason := checkTransfer(programs["steered"]); reason != "" {
				transferFailed = true
				fmt.Println("FAILED: what an older program teaches:", reason)
			}
		})
	}
	results := playScenarios(scenarios(flags, programs), flags, programs["base"])
	transfer.Wait()
	ok := !transferFailed
	if flags.plays(onlyHandover) && !checkHandover(programs["base"], programs["next"]) {
		ok = false
	}
	return printResults(results) && ok
}

// playScenarios plays scenarios in parallel and prints a line for each except the schedules of faults.
func playScenarios(list []scenario, flags options, program string) []result {
	var mu sync.Mutex // guards results
	var results []result
	var wait sync.WaitGroup
	slots := make(chan struct{}, 2*max(2, runtime.NumCPU()))
	for _, s := range list {
		if !flags.plays(s.name) {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r := s.play(program)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
			if s.name != faultsName {
				fmt.Println(r.summary())
			}
		})
	}
	wait.Wait()
	return results
}
