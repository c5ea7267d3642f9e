package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftreel/internal/plan"
	"swiftreel/internal/solve"
)

func planCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan",
		Short: "Read plans: show, check, diff",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(planShowCommand(), planCheckCommand(), planDiffCommand())
	return c
}

func planShowCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "show PLAN.json",
		Short: "Show a plan as a table",
		Long:  "Shows a plan as a table. Exit codes: 0 shown, 2 not usable.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			answer, err := plan.Load(args[0])
			if err != nil {
				return BadInput(err)
			}
			if asJSON {
				return WriteJSON(c.OutOrStdout(), answer)
			}
			return renderAnswer(c.OutOrStdout(), typeNames(answer), answer, 0)
		},
	}
	addJSONFlag(c, &asJSON)
	return c
}

// typeNames returns the names of the job types of a plan.
func typeNames(answer solve.Answer) []string {
	var names []string
	for _, served := range answer.Steps[0].Served {
		names = append(names, served.Type)
	}
	return names
}

const planCheckHelp = `Checks that a plan can be followed; with a problem, that every step keeps all limits and
demands and that the figures it tells are those of its threads. Exit codes: 0 all holds, 2 not.`

func planCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check PLAN.json [PROBLEM.json]",
		Short: "Check a plan, and hold it against a problem",
		Long:  planCheckHelp,
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := checkPlan(args); err != nil {
				return BadInput(err)
			}
			return nil
		},
	}
}

// checkPlan checks a plan file, and verifies it against a problem file if there is a second path.
func checkPlan(paths []string) error {
	answer, err := plan.Load(paths[0])
	if err != nil || len(paths) == 1 {
		return err
	}
	problem, err := plan.LoadProblem(paths[1])
	if err != nil {
		return err
	}
	return plan.Verify(problem, answer)
}

const planDiffHelp = `Tells what changes in threads from one plan's last step to another's, a line a type, tenant and
engine; nothing where nothing does. Exit codes: 0 told, 2 not usable.`

func planDiffCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff BEFORE.json AFTER.json",
		Short: "Tell what changes from one plan to another",
		Long:  planDiffHelp,
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			before, err := plan.Load(args[0])
			if err != nil {
				return BadInput(err)
			}
			after, err := plan.Load(args[1])
			if err != nil {
				return BadInput(err)
			}
			changes := plan.Diff(before, after)
			if asJSON {
				// An empty list is encoded as [], not null.
				return WriteJSON(c.OutOrStdout(), append([]plan.ThreadChange{}, changes...))
			}
			return renderChanges(c.OutOrStdout(), changes)
		},
	}
	addJSONFlag(c, &asJSON)
	return c
}

func renderChanges(out io.Writer, changes []plan.ThreadChange) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, change := range changes {
		_, err := fmt.Fprintf(table, "%s\t%s\t%s\t%d\t->\t%d\n",
			change.Type, change.Tenant, change.Engine, change.Before, change.After)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}
