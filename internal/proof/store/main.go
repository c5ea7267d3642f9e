// Command store measures that the store keeps what it acknowledged, and what that costs: make proof-store. It prints
// its figures and exits with 1 if one of them fails.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"
)

// crashSeeds is how many sequences of work the tests of the store cut off at each of their calls.
const crashSeeds = "1000"

func main() {
	start := time.Now()
	fmt.Printf("machine: %d cores, %s\n", runtime.NumCPU(), runtime.Version())
	passed := runTests()
	dir, err := os.MkdirTemp("", "store")
	if err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	for _, measure := range []func(dir string) error{measureStartup, measureCommits} {
		if err := measure(dir); err != nil {
			fmt.Println("FAILED:", err)
			passed = false
		}
	}
	_ = os.RemoveAll(dir) // a temporary directory; what is left harms nothing
	fmt.Printf("\nin all %v\n", time.Since(start).Round(100*time.Millisecond))
	if !passed {
		os.Exit(1)
	}
}

// runTests runs the tests of store and recovery and prints the figures that they log.
func runTests() bool {
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
		fmt.Printf("FAILED: %v: %s\n", err, output)
	}
	return err == nil
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
