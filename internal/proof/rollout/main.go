// Command rollout takes good and bad changes through fleets of real processes on loopback, kills conductors in every phase
// and breaks the links to keepers: make proof-rollout. With -only virtual it has the judge and the machine play thousands of
// changes without a process: make proof-judge. It ends with 1 where a figure fails.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/rollout"
)

// bad are the builds with a fault, and the last stage at which each has to be stopped.
var bad = []struct{ name, what string }{{"fails", "fails 3% of imports"}, {"slow", "30% slower"}, {"dies", "dies after 3 s"},
	{"leaks", "leaks 20 MB a second"}, {"floods", "20 more probes with each"}, {"turns", "turns imports away"},
	{"late", "fails 10% of imports, after 5 s"}, {"kind", "fails 20% of one engine's imports"}}

func main() {
	seeds := flag.Int("seeds", 20, "schedules of faults")
	only := flag.String("only", "", "play only scenarios of this name; virtual: the judge in virtual time")
	seed := flag.Uint64("seed", 0, "with -only faults: this schedule")
	chart := flag.String("chart", "", "with -only virtual: write the power as a chart there (.svg)")
	flag.Parse()
	began := time.Now()
	fmt.Printf("machine: %d cores, %s; engines are simulated servers\n\n", runtime.NumCPU(), runtime.Version())
	failed := false
	if *only == "virtual" {
		if failed = !virtual(*chart); failed {
			os.Exit(1)
		}
		fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
		return
	}
	dir, err := os.MkdirTemp("", "builds")
	if err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	defer os.RemoveAll(dir)
	programs, err := builds(dir)
	if err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Printf("builds after %v\n", time.Since(began).Round(100*time.Millisecond))
	list := []scenario{{name: "good settings", seed: 1, controllers: 6, engines: 4, want: rollout.Done},
		{name: "good program", seed: 2, controllers: 6, engines: 4, want: rollout.Done, program: programs["next"]},
		{name: "conductor killed", seed: 3, controllers: 6, engines: 4, want: rollout.Done, kill: true, brief: true}}
	for i, b := range bad {
		list = append(list, scenario{name: "bad: " + b.what, seed: 10 + uint64(i), controllers: 6, engines: 4, want: rollout.Back, lastStage: 2, program: programs[b.name]})
	}
	list = append(list, scenario{name: "good settings, an engine lost", seed: 30, controllers: 6, engines: 4, want: rollout.Done, loses: true})
	for i := range *seeds {
		n := uint64(i) + 1
		if *seed > 0 {
			n = *seed
		}
		list = append(list, scenario{name: "faults", seed: n, controllers: 3, engines: 2, faults: schedule(n, 3, 3000), brief: true})
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	if *only == "" || *only == "taught" {
		wait.Go(func() {
			if why := taught(programs["steered"]); why != "" {
				mu.Lock()
				defer mu.Unlock()
				failed = true
				fmt.Println("FAILED: what an older program teaches:", why)
			}
		})
	}
	places := make(chan struct{}, 2*max(2, runtime.NumCPU()))
	var all []told
	for _, s := range list {
		if *only != "" && s.name != *only {
			continue
		}
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			t := s.play(programs["base"])
			mu.Lock()
			defer mu.Unlock()
			all = append(all, t)
			if s.name != "faults" {
				fmt.Printf("  %-32s %-10s stage %d  jobs %5d  by the new version %5d  cut off %2d  %5.1f s  %s\n", s.name, t.phase, t.stage, t.jobs, t.new, t.broken, t.harm.Seconds(), t.outcome)
			}
		})
	}
	wait.Wait()
	if *only == "" || *only == "handover" {
		failed = !handover(programs["base"], programs["next"]) || failed
	}
	ends := map[rollout.Phase]int{}
	jobs, kills := int64(0), 0
	for _, t := range all {
		jobs += t.jobs
		kills += t.kills
		if t.name == "faults" {
			ends[t.phase]++
		}
		for _, why := range t.wrong() {
			failed = true
			fmt.Printf("FAILED: %s, seed %d: %s\n", t.name, t.seed, why)
			if len(t.faults) > 0 {
				text, _ := json.Marshal(t.faults)
				fmt.Printf("  again: go run ./internal/proof/rollout -only faults -seeds 1 -seed %d\n  %s\n", t.seed, text)
			}
		}
	}
	fmt.Printf("schedules of faults: %v; conductors killed: %d; jobs in all %d\n", ends, kills, jobs)
	fmt.Printf("\nin all %v\n", time.Since(began).Round(100*time.Millisecond))
	if failed {
		os.Exit(1)
	}
}

// wrong is all that a scenario should not have shown.
func (t told) wrong() (list []string) {
	if t.err != nil {
		list = append(list, t.err.Error())
	}
	for _, v := range t.violations {
		list = append(list, v.String())
	}
	if t.want != "" && t.phase != t.want {
		list = append(list, fmt.Sprintf("ends as %s (%s), wanted %s", t.phase, t.outcome, t.want))
	}
	if t.want == "" && !t.phase.Ends() {
		list = append(list, "does not end: "+string(t.phase))
	}
	if t.lastStage > 0 && t.stage > t.lastStage {
		list = append(list, fmt.Sprintf("stopped at stage %d only", t.stage))
	}
	if t.want == rollout.Done && t.program == "" && t.broken > 0 {
		list = append(list, fmt.Sprintf("%d connections broke", t.broken))
	}
	if t.jobs < 100 {
		list = append(list, fmt.Sprintf("only %d jobs", t.jobs))
	}
	return list
}

// builds makes the programs: that which runs, the next one, and one for each fault.
func builds(dir string) (map[string]string, error) {
	programs := map[string]string{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	build := func(name string, args ...string) {
		programs[name] = filepath.Join(dir, name)
		wait.Go(func() {
			of := "./cmd/swiftreel"
			if strings.HasSuffix(name, "swiftreel-fleet") {
				of = "./cmd/swiftreel-fleet"
			}
			c := exec.Command("go", append([]string{"build", "-o", filepath.Join(dir, name)}, append(args, of)...)...)
			if text, err := c.CombinedOutput(); err != nil {
				mu.Lock()
				failed = fmt.Errorf("build of %s: %w: %s", name, err, text)
				mu.Unlock()
			}
		})
	}
	set := "-X swiftreel/internal/version.Name="
	build("swiftreel-fleet")
	build("base", "-ldflags", set+"1")
	build("next", "-ldflags", set+"2")
	for _, b := range bad {
		build(b.name, "-tags", "fault", "-ldflags", set+"bad-"+b.name+" -X swiftreel/internal/failpoint.name="+b.name)
	}
	for _, of := range []string{"steered", "later", "swiftreel-fleet"} { // in a folder of their own
		name := filepath.Join("apart", of)
		build(name, "-tags", "fault", "-ldflags", set+of+" -X swiftreel/internal/failpoint.name=steered")
		programs[of] = programs[name]
	}
	wait.Wait()
	return programs, failed
}
