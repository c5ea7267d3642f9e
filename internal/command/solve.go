package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/plan"
	"swiftreel/internal/solve"
)

const solveHelp = `Works out whole threads for each reservation type, tenant, zone of origin and engine: the greatest
billed value a second, then the least cost, then the lowest greatest use of an engine. Tells how far the answer may be
from the best; where no answer fits, which demands conflict and the least change of each that ends it. The problem's
form is deploy/problem.schema.json; docs/operators/solve.md says how to write one.

Exit codes: 0 with an answer, 2 for bad input, 3 where no answer fits or none was found in time.`

// solveOptions are the flags of solve.
type solveOptions struct {
	method    string
	timeLimit time.Duration
	explain   bool
	asJSON    bool
	outPath   string // if empty, the plan is not written
}

func solveCommand() *cobra.Command {
	var options solveOptions
	c := &cobra.Command{
		Use:   "solve PROBLEM.json",
		Short: "Work out threads, shares and weights ahead",
		Long:  solveHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return runSolve(c.OutOrStdout(), args[0], options)
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.method, "method", solve.Solver{}.Name(),
		"solver, exhaustive (small problems) or proportional (today's formula)")
	flags.DurationVar(&options.timeLimit, "time", time.Second, "when it ends with what it has")
	flags.BoolVar(&options.explain, "explain", false, "also what binds, and what one more unit of it would bring")
	flags.StringVar(&options.outPath, "out", "", "write the plan here")
	addJSONFlag(c, &options.asJSON)
	return c
}

func runSolve(out io.Writer, problemPath string, options solveOptions) error {
	method, err := solve.MethodByName(options.method)
	if err != nil {
		return BadInput(err)
	}
	if options.timeLimit <= 0 {
		return BadInput(fmt.Errorf("--time %v is not above 0", options.timeLimit))
	}
	problem, err := plan.LoadProblem(problemPath)
	if err != nil {
		return BadInput(err)
	}
	startedAt := time.Now()
	answer := solve.Solve(problem, solve.Options{
		Method:  method,
		Explain: options.explain,
		Stop: func(perMille int) bool {
			return time.Since(startedAt) >= options.timeLimit*time.Duration(perMille)/1000
		},
	})
	if options.outPath != "" && answer.Steps != nil {
		if err := writePlan(options.outPath, answer); err != nil {
			return BadInput(err)
		}
	}
	if options.asJSON {
		err = WriteJSON(out, answer)
	} else {
		err = renderAnswer(out, problemTypes(problem), answer, time.Since(startedAt))
	}
	if err != nil {
		return err
	}
	if answer.Status == solve.Infeasible || answer.Status == solve.Unknown {
		return SilentFailure(ExitUnsatisfied, errors.New(answer.Status))
	}
	return nil
}

// problemTypes returns the names of the job types of a problem.
func problemTypes(problem *solve.Problem) []string {
	var names []string
	for _, t := range problem.Types {
		names = append(names, t.Name)
	}
	return names
}

// writePlan writes a plan to a temporary file and renames that to path, so that readers never see a partial plan.
func writePlan(path string, answer solve.Answer) error {
	text, err := json.MarshalIndent(answer, "", " ")
	if err != nil {
		return err
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
