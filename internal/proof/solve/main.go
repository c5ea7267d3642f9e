// Command solve tests the solver: make proof-solve. It compares answers with those of an exhaustive search, measures
// their quality within a time limit, and simulates controllers that follow plans in virtual time. It prints its tables
// and exits with 1 if a check fails.
package main

import (
	"fmt"
	"os"

	"swiftreel/internal/proof"
)

func main() {
	report := proof.NewReport(os.Stdout)
	fmt.Printf("%s; %s\n\n", proof.Machine(), proof.SimulatedEngines)
	checkSmallProblems(report)
	checkWarmUps(report)
	checkOrdinaryFleets(report)
	checkLargeFleet(report)
	printGrowth()
	checkPlanEffect(report)
	checkDecisionCost(report)
	report.PrintTotal()
	if report.HasFailed() {
		os.Exit(1)
	}
}
