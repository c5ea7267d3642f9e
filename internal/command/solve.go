package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/plan"
	"swiftreel/internal/solve"
)

func solveCommand() *cobra.Command {
	var method, out string
	var within time.Duration
	var explain, forScripts bool
	c := &cobra.Command{
		Use:   "solve PROBLEM.json",
		Short: "Work out threads, shares and weights ahead",
		Long: `Works out whole threads for each reservation type, tenant, zone of origin and engine: the greatest billed value a second,
then the least cost, then the lowest greatest use of an engine. Tells how far the answer may be from the best; where no
answer fits, which demands conflict and the least change of each that ends it. The problem's form is
deploy/problem.schema.json; docs/operators/solve.md says how to write one.

Exit codes: 0 with an answer, 2 for bad input, 3 where no answer fits or none was found in time.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			by, err := solve.Named(method)
			if err != nil {
				return badInput(err)
			}
			if within <= 0 {
				return badInput(fmt.Errorf("--time %v is not above 0", within))
			}
			p, err := plan.LoadProblem(args[0])
			if err != nil {
				return badInput(err)
			}
			began := time.Now()
			a := solve.Solve(p, solve.Options{Method: by, Explain: explain, Stop: func(perMille int) bool {
				return time.Since(began) >= within*time.Duration(perMille)/1000
			}})
			if out != "" && a.Steps != nil {
				if err := writeWhole(out, a); err != nil {
					return badInput(err)
				}
			}
			if forScripts {
				err = asJSON(c.OutOrStdout(), a)
			} else {
				err = tell(c.OutOrStdout(), p, a, time.Since(began))
			}
			if err != nil {
				return err
			}
			if a.Status == solve.Infeasible || a.Status == solve.Unknown {
				return exit{code: ExitNoFit, err: errors.New(a.Status), said: true}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&method, "method", solve.Solver{}.Name(), "solver, exhaustive (small problems) or proportional (today's formula)")
	f.DurationVar(&within, "time", time.Second, "when it ends with what it has")
	f.BoolVar(&explain, "explain", false, "also what binds, and what one more unit of it would bring")
	f.BoolVar(&forScripts, "json", false, "for scripts")
	f.StringVar(&out, "out", "", "write the plan here")
	return c
}

// writeWhole writes a plan beside its place and then puts it there, so that nobody reads half of it.
func writeWhole(path string, a solve.Answer) error {
	text, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return err
	}
	beside := path + ".part"
	if err := os.WriteFile(beside, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(beside, path)
}
