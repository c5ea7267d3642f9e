package main

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/plot/plotter"

	"swiftreel/internal/rollout"
)

const (
	virtualSamples     = 900 // longest bake time of a stage, in samples
	nullSeedFactor     = 1000
	harmSeedFactor     = 7000
	minHarmAlwaysFound = 0.05 // least harm that must be detected in every change
)

// harms lists the fractions of jobs that the new version cancels permanently.
var harms = []float64{0.01, 0.02, 0.05, 0.1, 0.2}

// virtualFleets lists the simulated fleets.
var virtualFleets = []virtualSeries{
	{controllers: 3, jobsPerSecond: 20, nulls: 600, harmed: 30},
	{controllers: 30, jobsPerSecond: 5, nulls: 360, harmed: 15},
	{controllers: 300, jobsPerSecond: 2, nulls: 40, harmed: 4},
}

// virtualSeries describes the simulated changes in fleets of one size.
type virtualSeries struct {
	controllers   int
	jobsPerSecond float64 // mean per controller
	nulls         int     // number of changes without effect
	harmed        int     // number of changes for each harm
}

// simulateRollouts simulates count changes in parallel and returns their results in the order of their seeds.
func (s virtualSeries) simulateRollouts(count, seedFactor int, harm float64) []virtualResult {
	results := make([]virtualResult, count)
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range count {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			seed := uint64(seedFactor*s.controllers + i)
			results[i] = newVirtualFleet(seed, s.controllers, s.jobsPerSecond, harm).simulateRollout(virtualSamples)
		})
	}
	wait.Wait()
	return results
}

// printVirtualFigures prints the figures of the canary analysis in virtual time and reports whether all checks passed.
// chart is the path of the chart to write; empty writes none.
func printVirtualFigures(chart string) bool {
	fmt.Println("in virtual time, changes that change nothing (1 job in 50 misses, clumps, habits, bad spells for all):")
	ok := printFalseAlarms()
	fmt.Println("harm (jobs cancelled for good): taken back, " +
		"median jobs by the new version and seconds since the first stage")
	power := map[int]plotter.XYs{}
	for _, s := range virtualFleets {
		points, isFound := s.printPower()
		if len(points) > 0 {
			power[s.controllers] = points
		}
		ok = ok && isFound
	}
	if !ok {
		fmt.Println("FAILED: a harm of 5% or more was let through, or the figures above")
	}
	if chart != "" {
		if err := drawPower(chart, power); err != nil {
			fmt.Println("FAILED:", err)
			ok = false
		}
	}
	return ok
}

// falseAlarms counts the results of changes without effect.
type falseAlarms struct {
	changes   int
	passed    int
	stopped   int
	fixedTest int // changes that the fixed test would have stopped
	reasons   map[string]int
}

// falseAlarms simulates the changes without effect and counts their results.
func (s virtualSeries) falseAlarms() falseAlarms {
	f := falseAlarms{changes: s.nulls, reasons: map[string]int{}}
	for _, r := range s.simulateRollouts(s.nulls, nullSeedFactor, 0) {
		switch r.phase {
		case rollout.PhaseDone:
			f.passed++
		case rollout.PhaseReverted:
			f.stopped++
			f.reasons[r.outcome]++
		}
		if r.fixedTestStops {
			f.fixedTest++
		}
	}
	return f
}

// printFalseAlarms prints the results of changes without effect. It reports whether fewer than 1% were stopped and all
// have ended.
func printFalseAlarms() bool {
	var all falseAlarms
	for _, s := range virtualFleets {
		f := s.falseAlarms()
		fmt.Printf("  %3d controllers, %4.0f jobs/s each: %d changes, %d passed, %d taken back; "+
			"a fixed test asked each second: %d\n",
			s.controllers, s.jobsPerSecond, f.changes, f.passed, f.stopped, f.fixedTest)
		for _, reason := range slices.Sorted(maps.Keys(f.reasons)) {
			fmt.Printf("      %d: %s\n", f.reasons[reason], reason)
		}
		all.changes += f.changes
		all.passed += f.passed
		all.stopped += f.stopped
		all.fixedTest += f.fixedTest
	}
	fmt.Printf("  in all %d of %d taken back (%.2f%%), the fixed test %.1f%%\n",
		all.stopped, all.changes, percent(all.stopped, all.changes), percent(all.fixedTest, all.changes))
	undecided := all.changes - all.passed - all.stopped
	if 100*all.stopped >= all.changes || undecided > 0 {
		fmt.Println("FAILED: one in a hundred, or one without an end")
		return false
	}
	return true
}

func percent(part, total int) float64 {
	return 100 * float64(part) / float64(total)
}

// printPower prints how soon each harm is detected. It returns the points of the chart, and whether every harm of at
// least minHarmAlwaysFound was detected in every change.
func (s virtualSeries) printPower() (plotter.XYs, bool) {
	ok := true
	var points plotter.XYs
	fmt.Printf("  %3d controllers:", s.controllers)
	for _, harm := range harms {
		var jobs, seconds []int
		for _, r := range s.simulateRollouts(s.harmed, harmSeedFactor, harm) {
			if r.phase == rollout.PhaseReverted {
				jobs = append(jobs, int(r.newJobs))
				seconds = append(seconds, r.seconds)
			}
		}
		if harm >= minHarmAlwaysFound && len(jobs) < s.harmed {
			ok = false
		}
		if len(jobs) == 0 {
			fmt.Printf("  %g%%: 0/%d", 100*harm, s.harmed)
			continue
		}
		slices.Sort(jobs)
		slices.Sort(seconds)
		medianJobs := jobs[len(jobs)/2]
		points = append(points, plotter.XY{X: 100 * harm, Y: float64(medianJobs)})
		fmt.Printf("  %g%%: %d/%d %d jobs %d s", 100*harm, len(jobs), s.harmed, medianJobs, seconds[len(seconds)/2])
	}
	fmt.Println()
	return points, ok
}
