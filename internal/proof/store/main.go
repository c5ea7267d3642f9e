// Command store tests that the store keeps what it has acknowledged and measures the cost: make proof-store. It prints
// its figures and exits with 1 if a check fails.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"

	"swiftreel/internal/proof"
)

// crashSeeds is the number of seeded workloads that the store's tests interrupt at each disk operation.
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
	_ = os.RemoveAll(dir) // leftovers in the temporary directory do no harm
	report.PrintTotal()
	if report.HasFailed() {
		os.Exit(1)
	}
}

// runTests runs the tests of packages store and recovery and prints the figures that they log.
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

// printFigures prints a line of test output if it is a log line or the result of a test.
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
