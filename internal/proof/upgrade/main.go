// Command upgrade builds the program as it was at an earlier commit and as it stands now, and rolls fleets of real
// processes under load from the one to the other and back, on folders that the earlier one wrote: make proof-upgrade.
// Coordinators, supervisors and leaders of both versions work side by side meanwhile. It prints a line for each check
// and ends with exit code 1 where one fails.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"swiftreel/internal/proof"
)

// baseCommit is the last one before the names of the code were changed.
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

// prove builds both versions, plays all scenarios at once and prints what came of each check. ok: all passed.
func prove(commit, only, logs string) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "upgrade")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder: what is left is the system's to remove
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
