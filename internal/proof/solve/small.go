package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	smallProblemCount = 2000
	smallProblemSeed  = 2026
	maxSmallWorkers   = 64
)

// smallResult is what came of a problem that was solved and also tried out.
type smallResult struct {
	mistake         error // nil: the solver is right
	isInfeasible    bool
	isTooLarge      bool // to be tried out
	conflicts       int
	conflictDemands int // in all conflicts together
	solverTime      time.Duration
	exhaustiveTime  time.Duration
}

// checkSmallProblems holds the solver against trying all answers.
func (p *proof) checkSmallProblems() {
	results := make([]smallResult, smallProblemCount)
	runParallel(smallProblemCount, maxSmallWorkers, func(index int) {
		random := rand.New(rand.NewPCG(smallProblemSeed, uint64(index)))
		results[index] = solveBothWays(draw.Small(random))
	})
	infeasible, tooLarge, conflicts, conflictDemands := 0, 0, 0, 0
	var solverTimes, exhaustiveTimes []time.Duration
	for i, r := range results {
		if r.mistake != nil {
			p.fail("problem %d: %s", i, r.mistake)
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
		p.fail("%d were too large to try, %d of %d have no answer: a third should",
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
	result.mistake = cmp.Or(compareAnswers(got, want), verifySteps(problem, got))
	if result.isInfeasible && len(got.Conflicts) == 0 {
		result.mistake = cmp.Or(result.mistake, errors.New("no answer, and no conflict told"))
	}
	for _, conflict := range got.Conflicts {
		if conflict.FromMS != 0 {
			continue // its demands are named with figures of a later moment
		}
		result.conflicts++
		result.conflictDemands += len(conflict.Demands)
		result.mistake = cmp.Or(result.mistake, checkConflict(problem, conflict))
	}
	return result
}

func compareAnswers(got, want solve.Answer) error {
	isEqual := got.Status == want.Status && got.Value == want.Value && got.Cost == want.Cost &&
		got.Evenness == want.Evenness
	if isEqual {
		return nil
	}
	return fmt.Errorf("%s %d %d %d, by trying all %s %d %d %d", got.Status, got.Value, got.Cost, got.Evenness,
		want.Status, want.Value, want.Cost, want.Evenness)
}

// checkConflict holds a conflict against trying all answers: its demands cannot be met together, but without any one
// of them the rest can.
func checkConflict(problem *solve.Problem, conflict solve.Conflict) error {
	var names []string
	for _, member := range conflict.Demands {
		names = append(names, member.Demand)
	}
	if fits, known := solve.Fits(problem, names); fits || !known {
		return fmt.Errorf("no conflict: %q", names)
	}
	for i, name := range names {
		others := slices.Delete(slices.Clone(names), i, i+1)
		if fits, known := solve.Fits(problem, others); !fits || !known {
			return fmt.Errorf("%q is not needed in %q", name, names)
		}
	}
	return nil
}
