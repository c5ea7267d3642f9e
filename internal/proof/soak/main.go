// Command soak runs real controller and engine processes on loopback under overlapping faults, one run per seed, and
// exits with 1 if an invariant is violated. For such a seed it prints the faults, so that the run can be repeated.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"swiftreel/internal/soak"
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if err := runSeeds(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// runEngine is the main function of an engine process. Its arguments are name, incarnation and seed.
func runEngine(args []string) {
	incarnation, _ := strconv.Atoi(args[1])       // always a number: the soak formats it
	seed, _ := strconv.ParseUint(args[2], 10, 64) // likewise
	err := soak.EngineMain(args[0], incarnation, seed, os.Stdout)
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// options holds the command-line flags.
type options struct {
	firstSeed uint64
	seeds     int
	program   string
	tags      string
	run       soak.Config // of every seed, without the seed and the programs
}

func parseFlags() options {
	var o options
	flag.Uint64Var(&o.firstSeed, "seed", 1, "the first seed")
	flag.IntVar(&o.seeds, "seeds", 3, "how many seeds to play")
	flag.DurationVar(&o.run.Length, "length", 30*time.Second, "of each run")
	flag.IntVar(&o.run.Controllers, "controllers", 12, "processes")
	flag.IntVar(&o.run.Engines, "engines", 12, "processes")
	flag.IntVar(&o.run.Clients, "clients", 6, "of each controller")
	flag.StringVar(&o.program, "program", "", "a built controller; empty: build this tree's")
	flag.StringVar(&o.tags, "tags", "", "build tags of the controllers; fault: system calls fail and clocks step, too")
	flag.StringVar(&o.run.LogFolder, "logs", "", "folder for the controllers' logs")
	env := flag.String("env", "", "more of the controllers' environment, NAME=VALUE separated by spaces")
	flag.Parse()
	o.run.Env = strings.Fields(*env)
	o.run.InjectErrors = o.tags != ""
	return o
}

func runSeeds() error {
	o := parseFlags()
	if o.program == "" {
		folder, err := os.MkdirTemp("", "soak-build")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }() // leftovers in the temporary directory do no harm
		o.program = filepath.Join(folder, "swiftreel")
		if err := buildProgram(o.program, o.tags); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return playSeeds(o, self)
}

// playSeeds runs all seeds and prints their results. self is the program that runs the engines.
func playSeeds(o options, self string) error {
	failed := 0
	played, withFindings := map[string]int{}, map[string]int{}
	for i := range o.seeds {
		config := o.run
		config.Program = o.program
		config.EngineProgram = []string{self, "engine"}
		config.Seed = o.firstSeed + uint64(i)
		report, err := soak.Run(config)
		if err != nil {
			return err
		}
		if !printReport(config.Seed, report) {
			failed++
		}
		for pair, count := range report.Pairs {
			played[pair] += count
			if len(report.Findings) > 0 {
				withFindings[pair] += count
			}
		}
	}
	printPairs(played, withFindings)
	fmt.Printf("%d of %d seeds without a finding\n", o.seeds-failed, o.seeds)
	if failed > 0 {
		return fmt.Errorf("%d seeds with findings", failed)
	}
	return nil
}

// buildProgram builds the controller. With the build tag fault, the environment controls its faults.
func buildProgram(path, tags string) error {
	const steered = "-X swiftreel/internal/failpoint.name=steered"
	build := exec.Command("go", "build", "-tags", tags, "-ldflags", steered, "-o", path, "swiftreel/cmd/swiftreel")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%s%w", out, err)
	}
	return nil
}

const maxPrinted = 40 // findings per seed

// printReport prints the result of a seed and reports whether it has no findings.
func printReport(seed uint64, report soak.Report) bool {
	rules := map[string]int{}
	for _, f := range report.Findings {
		rules[f.Rule]++
	}
	fmt.Printf("seed %d: %d faults, calls %v, %d dispatches, %d stalls here, %d killed after SIGTERM, findings %v\n",
		seed, len(report.Faults), report.Outcomes, report.Dispatches, report.Stalls, report.KillsAfterTerm, rules)
	if len(report.Findings) == 0 {
		return true
	}
	for _, t := range report.Faults {
		fmt.Println("   ", t)
	}
	for i, f := range report.Findings {
		if i == maxPrinted {
			fmt.Println("    ...")
			break
		}
		fmt.Println("  !", f)
	}
	return false
}

// printPairs prints how many pairs of overlapping faults were placed, how often each occurred, and how often in seeds
// with findings.
func printPairs(played, withFindings map[string]int) {
	total := 0
	for _, count := range played {
		total += count
	}
	fmt.Printf("%d pairs of faults placed, %d different\n", total, len(played))
	for _, pair := range slices.Sorted(maps.Keys(played)) {
		fmt.Printf("  pair %-50s %3d", pair, played[pair])
		if withFindings[pair] > 0 {
			fmt.Printf(", %d of them in seeds with findings", withFindings[pair])
		}
		fmt.Println()
	}
}
