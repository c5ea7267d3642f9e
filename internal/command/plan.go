package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftreel/internal/plan"
	"swiftreel/internal/solve"
)

func planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Read plans: show, check, diff", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(planShow(), planCheck(), planDiff())
	return c
}

func planShow() *cobra.Command {
	var forScripts bool
	c := &cobra.Command{Use: "show PLAN.json", Short: "Show a plan as a table", Args: cobra.ExactArgs(1),
		Long: "Shows a plan as a table. Exit codes: 0 shown, 2 not usable.",
		RunE: func(c *cobra.Command, args []string) error {
			a, err := plan.Load(args[0])
			if err != nil {
				return badInput(err)
			}
			if forScripts {
				return asJSON(c.OutOrStdout(), a)
			}
			return tell(c.OutOrStdout(), typesOf(a), a, 0)
		}}
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}

// typesOf is as much of the problem as a table needs.
func typesOf(a solve.Answer) *solve.Problem {
	p := new(solve.Problem)
	for _, t := range a.Steps[0].Served {
		p.Types = append(p.Types, solve.Type{Name: t.Type})
	}
	return p
}

func planCheck() *cobra.Command {
	return &cobra.Command{Use: "check PLAN.json [PROBLEM.json]", Short: "Check a plan, and hold it against a problem", Args: cobra.RangeArgs(1, 2),
		Long: "Checks that a plan can be followed; with a problem, that every step keeps all limits and demands and that the figures it\n" +
			"tells are those of its threads. Exit codes: 0 all holds, 2 not.",
		RunE: func(c *cobra.Command, args []string) error {
			a, err := plan.Load(args[0])
			if err != nil {
				return badInput(err)
			}
			if len(args) == 1 {
				return nil
			}
			p, err := plan.LoadProblem(args[1])
			if err == nil {
				err = plan.Verify(p, a)
			}
			if err != nil {
				return badInput(err)
			}
			return nil
		}}
}

func planDiff() *cobra.Command {
	var forScripts bool
	c := &cobra.Command{Use: "diff BEFORE.json AFTER.json", Short: "Tell what changes from one plan to another", Args: cobra.ExactArgs(2),
		Long: "Tells what changes in threads from one plan's last step to another's, a line a type, tenant and engine; nothing where\n" +
			"nothing does. Exit codes: 0 told, 2 not usable.",
		RunE: func(c *cobra.Command, args []string) error {
			before, err := plan.Load(args[0])
			if err != nil {
				return badInput(err)
			}
			after, err := plan.Load(args[1])
			if err != nil {
				return badInput(err)
			}
			list := plan.Diff(before, after)
			if forScripts {
				return asJSON(c.OutOrStdout(), append([]plan.Change{}, list...))
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, d := range list {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t->\t%d\n", d.Type, d.Tenant, d.Engine, d.Before, d.After)
			}
			return w.Flush()
		}}
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}
