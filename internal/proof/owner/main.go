// Command owner tests leader election on fleets of real processes: voters are killed, stopped and cut off while changes
// are rolled out under changing leaders. It prints its figures and exits with 1 if a check fails. Run it with
// make proof-owner.
package main

import (
	"flag"
	"fmt"
	"os"

	"swiftreel/internal/proof"
)

// Values of the flag -only.
const (
	onlyCosts   = "costs"
	onlyShares  = "shares"
	onlyVirtual = "virtual"
)

func main() {
	program := flag.String("program", "bin/swiftreel", "the program")
	role := flag.String("as", "", "for its own use: a voter of that name, or poll")
	file := flag.String("file", "", "for its own use")
	only := flag.String("only", "", "costs, shares or virtual: nothing else")
	flag.Parse()
	if *role != "" {
		if err := runRole(*role, *file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	report := proof.NewReport(os.Stdout)
	prove(report, *program, *only)
	if report.HasFailed() {
		os.Exit(1)
	}
}

// prove runs the proof or one part of it.
func prove(report *proof.Report, program, only string) {
	switch only {
	case "":
		proveElection(report, program)
	case onlyCosts:
		proveCosts(report)
	case onlyShares:
		proveShares(report, program)
	case onlyVirtual:
		if err := runVirtualTime(program); err != nil {
			report.Failf("%v", err)
		}
	}
}
