// Command store measures that the store keeps what it acknowledged, and what that costs: make proof-store. It prints
// its figures and exits with 1 if one of them fails.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"

	"swiftreel/internal/proof"
)

// crashSeeds is how many sequences of work the tests of the store cut off at each of their calls.
const crashSeeds = "1000"

func main() {
	report := proof.NewReport(os.Stdout)
	fmt.Println(proof.Machine())
	runTests(report)
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		report.Failf("%v", err)
		os.Exit(1)
	}
	for _, measure := range []func(dir string) error{measureStartup, measureCommits} {
		if err := measure(dir); err != nil {
			report.Failf("%v", err)
		}
	}
	_ = os.RemoveAll(dir) // a temporary directory; what is left harms nothing
	report.PrintTotal()
	if report.HasFailed() {
		os.Exit(1)
	}
}

// runTests runs the tests of store and recovery and prints the figures that they log.
func runTests(report *proof.Report) {
	output, err := goTest("./internal/store", "-args", "-seeds", crashSeeds)
	if err == nil {
		var more []byte
		more, err = goTest("./internal/recovery")
		output = append(output, more...)
	}
	for line := range strings.Lines(string(output)) {
		printFigures(line)
	}
	if err != nil {
		report.Failf("%v: %s", err, output)
	}
}

func goTest(arguments ...string) ([]byte, error) {
	arguments = append([]string{"test", "-count=1", "-v"}, arguments...)
	return exec.Command("go", arguments...).CombinedOutput()
}

// printFigures prints a line of test output if it is logged by a test or says how one ended.
func printFigures(line string) {
	if strings.HasPrefix(line, "---") {
		fmt.Print(line)
		return
	}
	if _, logged, found := strings.Cut(line, "_test.go:"); found {
		_, figures, _ := strings.Cut(logged, ": ")
		fmt.Print("  ", figures)
	}
}
