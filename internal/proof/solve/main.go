// Command solve proves the solver: make proof-solve. It holds answers against trying all, measures how good they are
// in a given time, and follows plans with the decision module in virtual time. It prints its tables and exits with 1
// if a figure fails.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

func main() {
	startedAt := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	var p proof
	p.checkSmallProblems()
	p.checkWarmUps()
	p.checkOrdinaryFleets()
	p.checkLargeFleet()
	printGrowth()
	p.checkPlanEffect()
	p.checkDecisionCost()
	fmt.Printf("\nin all %v\n", time.Since(startedAt).Round(100*time.Millisecond))
	if p.hasFailed {
		os.Exit(1)
	}
}

// proof remembers whether a check has failed. It is not safe for concurrent use.
type proof struct {
	hasFailed bool
}

// fail prints why a check has failed.
func (p *proof) fail(format string, args ...any) {
	p.hasFailed = true
	fmt.Printf("FAILED: "+format+"\n", args...)
}
