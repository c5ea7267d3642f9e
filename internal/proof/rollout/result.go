package main

import (
	"encoding/json"
	"fmt"
	"time"

	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
)

// minJobs is the number of jobs below which a scenario proves nothing.
const minJobs = 100

// result is the result of a scenario.
type result struct {
	scenario
	phase             rollout.Phase
	stage             int // last stage reached, counted from 1
	outcome           string
	jobs              int64 // answered
	newJobs           int64 // of these, answered by the new version
	brokenConnections int64 // closed before an answer
	exposure          time.Duration
	violations        []rulecheck.Violation
	kills             int // number of coordinators killed
	err               error
}

// summary returns the line that is printed for a scenario.
func (r result) summary() string {
	return fmt.Sprintf("  %-32s %-10s stage %d  jobs %5d  by the new version %5d  cut off %2d  %5.1f s  %s",
		r.name, r.phase, r.stage, r.jobs, r.newJobs, r.brokenConnections, r.exposure.Seconds(), r.outcome)
}

// failures returns the descriptions of all failed checks of a scenario.
func (r result) failures() []string {
	var list []string
	if r.err != nil {
		list = append(list, r.err.Error())
	}
	for _, v := range r.violations {
		list = append(list, v.String())
	}
	if r.wantedPhase != "" && r.phase != r.wantedPhase {
		list = append(list, fmt.Sprintf("ends as %s (%s), wanted %s", r.phase, r.outcome, r.wantedPhase))
	}
	if r.wantedPhase == "" && !r.phase.IsTerminal() {
		list = append(list, "does not end: "+string(r.phase))
	}
	if r.maxStage > 0 && r.stage > r.maxStage {
		list = append(list, fmt.Sprintf("stopped at stage %d only", r.stage))
	}
	if r.wantedPhase == rollout.PhaseDone && r.program == "" && r.brokenConnections > 0 {
		list = append(list, fmt.Sprintf("%d connections broke", r.brokenConnections))
	}
	if r.jobs < minJobs {
		list = append(list, fmt.Sprintf("only %d jobs", r.jobs))
	}
	return list
}

// printResults prints the failures and the totals, and reports whether there were no failures.
func printResults(results []result) bool {
	ok := true
	ends := map[rollout.Phase]int{}
	jobs := int64(0)
	kills := 0
	for _, r := range results {
		jobs += r.jobs
		kills += r.kills
		if r.name == faultsName {
			ends[r.phase]++
		}
		for _, failure := range r.failures() {
			ok = false
			fmt.Printf("FAILED: %s, seed %d: %s\n", r.name, r.seed, failure)
			r.printSchedule()
		}
	}
	fmt.Printf("schedules of faults: %v; conductors killed: %d; jobs in all %d\n", ends, kills, jobs)
	return ok
}

// printSchedule prints the command that repeats the scenario, and its faults.
func (r result) printSchedule() {
	if len(r.faults) == 0 {
		return
	}
	text, err := json.Marshal(r.faults)
	if err != nil {
		text = []byte(err.Error())
	}
	fmt.Printf("  again: go run ./internal/proof/rollout -only faults -seeds 1 -seed %d\n  %s\n", r.seed, text)
}
