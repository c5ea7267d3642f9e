// Command solve proves the solver: make proof-solve. It holds answers against trying all, measures how good they are
// in a given time, and follows plans with the decision module in virtual time. It prints its tables and exits with 1
// if a figure fails.
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
