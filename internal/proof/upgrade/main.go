// Command upgrade tests upgrades and downgrades between an earlier commit and the current tree: make proof-upgrade. It
// builds both versions and rolls fleets of real processes under load from one to the other and back, on state
// directories written by the other version. Coordinators, supervisors and leaders of both versions run side by side.
// It prints a line for each check and exits with 1 if a check fails.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"swiftreel/internal/proof"
)

// baseCommit is the last commit before identifiers were renamed throughout the code.
const baseCommit = "70e2e4b"

func main() {
	commit := flag.String("base", baseCommit, "the commit that fleets are rolled from")
	only := flag.String("only", "", "play only the scenario of this name")
	logs := flag.String("logs", "", "a folder in which the logs of all processes are left")
	flag.Parse()
	overall := proof.NewReport(os.Stdout)
	fmt.Printf("%s; %s\n", proof.Machine(), proof.SimulatedEngines)
	ok, err := prove(*commit, *only, *logs)
	if err != nil {
		overall.Failf("%v", err)
	}
	overall.PrintTotal()
	if overall.HasFailed() || !ok {
		os.Exit(1)
	}
}

// prove builds both versions, runs the scenarios in parallel and prints the result of each check. ok reports whether
// all checks passed.
func prove(commit, only, logs string) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "upgrade")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // leftovers in the temporary directory do no harm
	start := time.Now()
	base, current, err := buildBoth(commit, dir)
	if err != nil {
		return false, err
	}
	fmt.Printf("built %s and the present tree in %v\n\n", commit, time.Since(start).Round(100*time.Millisecond))

	var reports []*report
	var running sync.WaitGroup
	for _, s := range scenarios() {
		if only != "" && s.name != only {
			continue
		}
		r := &report{scenario: s.name}
		reports = append(reports, r)
		running.Go(func() { s.play(base, current, r, logs) })
	}
	running.Wait()
	if len(reports) == 0 {
		return false, fmt.Errorf("no scenario %q", only)
	}
	return printReports(os.Stdout, reports), nil
}
