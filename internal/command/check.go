package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"swiftreel/internal/change"
	"swiftreel/internal/config"
	"swiftreel/internal/operator"
	"swiftreel/internal/plan"
	"swiftreel/internal/schema"
)

// report is what check tells scripts.
type report struct {
	File   string   `json:"file"`
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

func checkCommand() *cobra.Command {
	var kind string
	var forScripts bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file whole: every fault is named with its path",
		Long: `Checks the operator's file and what it names, as the start and SIGHUP do; with --kind problem, plan, change or config
(what ROUTER_CONFIG names), one of those.
A line a fault. Exit codes: 0 no fault, 2 faults, or the file cannot be read.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var err error
			switch schema.Kind(kind) {
			case schema.Operator:
				_, err = operator.Load(args[0])
			case schema.Plan:
				_, err = plan.Load(args[0])
			case schema.Problem:
				_, err = plan.LoadProblem(args[0])
			case schema.Change:
				_, err = change.Load(args[0])
			case "config":
				_, err = config.Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": args[0]}[name] })
			default:
				return badInput(fmt.Errorf("--kind %q is none of operator, problem, plan, change, config", kind))
			}
			r := report{File: args[0], Kind: kind, Faults: []string{}}
			var faults *schema.ValidationError
			if errors.As(err, &faults) {
				r.Faults = faults.Problems
			} else if err != nil {
				return badInput(err)
			}
			if forScripts {
				if err := asJSON(c.OutOrStdout(), r); err != nil {
					return err
				}
			} else {
				for _, f := range r.Faults {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", faults.File, f)
				}
			}
			if err != nil {
				return exit{code: ExitBadInput, err: err, said: true}
			}
			return nil
		},
	}
	c.Flags().StringVar(&kind, "kind", string(schema.Operator), "operator, problem, plan, change or config")
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}
