package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftreel/internal/proof"
	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	smallProblemCount = 2000
	smallProblemSeed  = 2026
	maxSmallWorkers   = 64
)

// smallResult compares the solver's answer to a problem with that of an exhaustive search.
type smallResult struct {
	mismatch        error // nil if the solver is right
	isInfeasible    bool
	isTooLarge      bool // for an exhaustive search
	conflicts       int
	conflictDemands int // total over all conflicts
	solverTime      time.Duration
	exhaustiveTime  time.Duration
}

// checkSmallProblems compares the solver with an exhaustive search on small problems.
func checkSmallProblems(report *proof.Report) {
	results := make([]smallResult, smallProblemCount)
	runParallel(smallProblemCount, maxSmallWorkers, func(index int) {
		random := rand.New(rand.NewPCG(smallProblemSeed, uint64(index)))
		results[index] = solveBothWays(draw.Small(random))
	})
	infeasible, tooLarge, conflicts, conflictDemands := 0, 0, 0, 0
	var solverTimes, exhaustiveTimes []time.Duration
	for i, r := range results {
		if r.mismatch != nil {
			report.Failf("problem %d: %s", i, r.mismatch)
		}
		if r.isInfeasible {
			infeasible++
		}
		if r.isTooLarge {
			tooLarge++
		}
		conflicts += r.conflicts
		conflictDemands += r.conflictDemands
		solverTimes = append(solverTimes, r.solverTime)
		exhaustiveTimes = append(exhaustiveTimes, r.exhaustiveTime)
	}
	if tooLarge > 0 || infeasible < smallProblemCount/4 || infeasible > smallProblemCount/2 {
		report.Failf("%d were too large to try, %d of %d have no answer: a third should",
			tooLarge, infeasible, smallProblemCount)
	}
	fmt.Printf("%d problems of up to 6 engines and 4 types, %d without an answer: "+
		"all three objectives equal to trying all\n", smallProblemCount, infeasible)
	fmt.Printf("  %d conflicts, %d demands in them, each proved needed by trying all\n", conflicts, conflictDemands)
	fmt.Printf("  solver %s; trying all %s\n\n", summarize(solverTimes), summarize(exhaustiveTimes))
}

func solveBothWays(problem *solve.Problem) smallResult {
	var result smallResult
	startedAt := time.Now()
	want := solve.Solve(problem, solve.Options{Method: solve.Exhaustive{}})
	result.exhaustiveTime = time.Since(startedAt)
	startedAt = time.Now()
	got := solve.Solve(problem, solve.Options{})
	result.solverTime = time.Since(startedAt)
	if want.Status == solve.Unknown {
		result.isTooLarge = true
		return result
	}
	result.isInfeasible = want.Status == solve.Infeasible
	result.mismatch = cmp.Or(compareAnswers(got, want), verifySteps(problem, got))
	if result.isInfeasible && len(got.Conflicts) == 0 {
		result.mismatch = cmp.Or(result.mismatch, errors.New("infeasible, but no conflict reported"))
	}
	for _, conflict := range got.Conflicts {
		if conflict.FromMS != 0 {
			continue // its requirements are named with the figures of a later time
		}
		result.conflicts++
		result.conflictDemands += len(conflict.Requirements)
		result.mismatch = cmp.Or(result.mismatch, checkConflict(problem, conflict))
	}
	return result
}

func compareAnswers(got, want solve.Answer) error {
	isEqual := got.Status == want.Status && got.Value == want.Value && got.Cost == want.Cost &&
		got.MaxUtilization == want.MaxUtilization
	if isEqual {
		return nil
	}
	return fmt.Errorf("got %s %d %d %d, exhaustive search got %s %d %d %d",
		got.Status, got.Value, got.Cost, got.MaxUtilization,
		want.Status, want.Value, want.Cost, want.MaxUtilization)
}

// checkConflict checks a conflict by exhaustive search: its requirements cannot be met together, but if any one is
// removed, the others can.
func checkConflict(problem *solve.Problem, conflict solve.Conflict) error {
	var names []string
	for _, member := range conflict.Requirements {
		names = append(names, member.Requirement)
	}
	if fits, known := solve.Fits(problem, names); fits || !known {
		return fmt.Errorf("not a conflict: %q", names)
	}
	for i, name := range names {
		others := slices.Delete(slices.Clone(names), i, i+1)
		if fits, known := solve.Fits(problem, others); !fits || !known {
			return fmt.Errorf("%q is not needed for the conflict %q", name, names)
		}
	}
	return nil
}
