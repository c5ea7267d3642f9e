// Command owner proves the leader election on fleets of real processes: voters are killed, stopped and cut off while
// changes go through under whoever leads. It prints its figures and exits with 1 if one of them fails. Run it with
// make proof-owner.
package main

import (
	"flag"
	"fmt"
	"os"

	"swiftreel/internal/proof"
)

// Parts of the proof that -only names.
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
		if err := playVirtual(program); err != nil {
			report.Failf("%v", err)
		}
	}
}
