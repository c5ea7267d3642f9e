package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

const (
	smallProblems  = 2000
	smallSeed      = 2026
	exhaustiveJobs = 64 // problems tried at once, at most
)

// comparison is what came of a small problem.
type comparison struct {
	fault      string
	infeasible bool // by trying all
	tooLarge   bool // to try all
	conflicts  int
	demands    int // in the conflicts
	solverTook time.Duration
	allTried   time.Duration
}

// compareWithExhaustive holds the solver against trying all.
func compareWithExhaustive() {
	list := make([]comparison, smallProblems)
	inParallel(smallProblems, exhaustiveJobs, func(i int) {
		list[i] = compare(draw.Small(rand.New(rand.NewPCG(smallSeed, uint64(i)))))
	})
	infeasible, tooLarge, conflicts, demands := 0, 0, 0, 0
	var solverTimes, exhaustiveTimes []time.Duration
	for i, c := range list {
		if c.fault != "" {
			fail("problem %d: %s", i, c.fault)
		}
		if c.infeasible {
			infeasible++
		}
		if c.tooLarge {
			tooLarge++
		}
		conflicts += c.conflicts
		demands += c.demands
		solverTimes = append(solverTimes, c.solverTook)
		exhaustiveTimes = append(exhaustiveTimes, c.allTried)
	}
	if tooLarge > 0 || infeasible < smallProblems/4 || infeasible > smallProblems/2 {
		fail("%d were too large to try, %d of %d have no answer: a third should", tooLarge, infeasible, smallProblems)
	}
	fmt.Printf("%d problems of up to 6 engines and 4 types, %d without an answer: "+
		"all three objectives equal to trying all\n",
		smallProblems, infeasible)
	fmt.Printf("  %d conflicts, %d demands in them, each proved needed by trying all\n", conflicts, demands)
	fmt.Printf("  solver %s; trying all %s\n\n", quantiles(solverTimes), quantiles(exhaustiveTimes))
}

// compare solves a problem both ways.
func compare(problem *solve.Problem) comparison {
	var c comparison
	start := time.Now()
	wanted := solve.Solve(problem, solve.Options{Method: solve.Exhaustive{}})
	c.allTried = time.Since(start)
	start = time.Now()
	got := solve.Solve(problem, solve.Options{})
	c.solverTook = time.Since(start)
	if c.tooLarge = wanted.Status == solve.Unknown; c.tooLarge {
		return c
	}
	c.infeasible = wanted.Status == solve.Infeasible
	if now, best := objectivesOf(got), objectivesOf(wanted); now != best {
		c.fault = fmt.Sprintf("%s, by trying all %s", now, best)
	}
	if err := verifySteps(problem, got); err != nil {
		c.fault = err.Error()
	}
	if c.infeasible && len(got.Conflicts) == 0 {
		c.fault = "no answer, and no conflict told"
	}
	c.checkConflicts(problem, got.Conflicts)
	return c
}

// objectives are what two answers of one problem must agree in.
type objectives struct {
	status                string
	value, cost, evenness int64
}

func objectivesOf(answer solve.Answer) objectives {
	return objectives{answer.Status, answer.Value, answer.Cost, answer.Evenness}
}

// String describes them.
func (o objectives) String() string {
	return fmt.Sprintf("%s %d %d %d", o.status, o.value, o.cost, o.evenness)
}

// checkConflicts holds each conflict against trying all. Those of a later moment are passed over: their names tell
// figures of that moment.
func (c *comparison) checkConflicts(problem *solve.Problem, conflicts []solve.Conflict) {
	for _, conflict := range conflicts {
		if conflict.FromMS != 0 {
			continue
		}
		c.conflicts++
		c.demands += len(conflict.Demands)
		if fault := reducible(problem, conflict); fault != "" {
			c.fault = fault
		}
	}
}

// reducible holds a conflict against trying all: impossible together, possible without any one. It returns "" where
// that is so.
func reducible(problem *solve.Problem, conflict solve.Conflict) string {
	var names []string
	for _, member := range conflict.Demands {
		names = append(names, member.Demand)
	}
	if fits, known := solve.Fits(problem, names); fits || !known {
		return fmt.Sprintf("no conflict: %q", names)
	}
	for i := range names {
		if fits, known := solve.Fits(problem, slices.Delete(slices.Clone(names), i, i+1)); !fits || !known {
			return fmt.Sprintf("%q is not needed in %q", names[i], names)
		}
	}
	return ""
}
