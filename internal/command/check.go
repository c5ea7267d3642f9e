package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"swiftreel/internal/change"
	"swiftreel/internal/config"
	"swiftreel/internal/operator"
	"swiftreel/internal/plan"
	"swiftreel/internal/schema"
)

// checkReport is the JSON output of the command check.
type checkReport struct {
	File     string   `json:"file"`
	Kind     string   `json:"kind"`
	Problems []string `json:"faults"`
}

// checkers maps each kind of file to the function with which the program itself loads and validates it.
var checkers = map[string]func(path string) error{
	string(schema.Operator): func(path string) error { _, err := operator.Load(path); return err },
	string(schema.Plan):     func(path string) error { _, err := plan.Load(path); return err },
	string(schema.Problem):  func(path string) error { _, err := plan.LoadProblem(path); return err },
	string(schema.Change):   func(path string) error { _, err := change.Load(path); return err },
	"config":                checkConfig,
}

func checkConfig(path string) error {
	_, err := config.Load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	})
	return err
}

const checkHelp = `Checks the operator's file and what it names, as the start and SIGHUP do; with --kind problem, plan,
change or config (what ROUTER_CONFIG names), one of those.
A line a fault. Exit codes: 0 no fault, 2 faults, or the file cannot be read.`

func checkCommand() *cobra.Command {
	var kind string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file whole: every fault is named with its path",
		Long:  checkHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return check(c.OutOrStdout(), args[0], kind, asJSON)
		},
	}
	c.Flags().StringVar(&kind, "kind", string(schema.Operator), "operator, problem, plan, change or config")
	addJSONFlag(c, &asJSON)
	return c
}

// check prints the problems of a file. It returns an error with the exit code. If problems were printed, the error
// itself is not printed.
func check(out io.Writer, path, kind string, asJSON bool) error {
	checker, known := checkers[kind]
	if !known {
		return BadInput(fmt.Errorf("--kind %q is none of operator, problem, plan, change, config", kind))
	}
	err := checker(path)
	var invalid *schema.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return BadInput(err)
	}
	report := checkReport{File: path, Kind: kind, Problems: []string{}}
	if err := printCheck(out, report, invalid, asJSON); err != nil {
		return err
	}
	if err != nil {
		return SilentFailure(ExitBadInput, err)
	}
	return nil
}

// printCheck prints the report as JSON, or one line for each problem. invalid is nil if there are none.
func printCheck(out io.Writer, report checkReport, invalid *schema.ValidationError, asJSON bool) error {
	if invalid != nil {
		report.Problems = invalid.Problems
	}
	if asJSON {
		return WriteJSON(out, report)
	}
	for _, problem := range report.Problems {
		if _, err := fmt.Fprintf(out, "%s: %s\n", invalid.File, problem); err != nil {
			return err
		}
	}
	return nil
}
