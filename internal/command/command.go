// Package command is the command line of swiftreel: the commands for operators and scripts besides serving. Commands
// for fleets are in a separate program (package command/fleet).
package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"swiftreel/internal/version"
)

// ServeOptions are the flags of the root command, which serves.
type ServeOptions struct {
	Trace    bool   // log every event and action of the decision module
	Operator string // path of the operator's file; if empty, the value of ROUTER_OPERATOR
}

const rootHelp = `Without a command swiftreel serves: one controller, configured by ROUTER_CONFIG, ROUTER_NAME and
ROUTER_LISTEN. What it does beyond that stands in the operator's file (--operator or ROUTER_OPERATOR).

Exit codes: 0 done, 1 serving failed, 2 bad input, 3 no answer fits; rollout has more.`

// Run executes a command line and returns the exit code. Without a command it calls serve.
func Run(args []string, out, errOut io.Writer, serve func(ServeOptions) error) int {
	var options ServeOptions
	root := &cobra.Command{
		Use:           "swiftreel",
		Short:         "A front for query engines with limited memory",
		Long:          rootHelp,
		Version:       version.Name,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if err := serve(options); err != nil {
				return Failure(ExitFailed, err)
			}
			return nil
		},
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.Flags().BoolVar(&options.Trace, "trace", false, "log every event and action of the module")
	root.Flags().StringVar(&options.Operator, "operator", "", "the operator's file; replaces ROUTER_OPERATOR")
	root.AddCommand(solveCommand(), planCommand(), checkCommand(), versionCommand())
	root.AddCommand(forwardedCommands()...)
	return Execute(root, replaceFormerTraceFlag(args), out, errOut)
}

// replaceFormerTraceFlag replaces -trace, the spelling of the flag before commands were introduced.
func replaceFormerTraceFlag(args []string) []string {
	replaced := make([]string, len(args))
	for i, arg := range args {
		if arg == "-trace" {
			arg = "--trace"
		}
		replaced[i] = arg
	}
	return replaced
}

// Execute executes a command line with a root command and returns the exit code.
func Execute(root *cobra.Command, args []string, out, errOut io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return 0
	}
	exit := asExitError(err)
	if !exit.printed {
		_, _ = fmt.Fprintln(errOut, root.Name()+":", err) // if this fails, the exit code still reports the error
	}
	return exit.code
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}

// addJSONFlag adds the flag --json to a command.
func addJSONFlag(c *cobra.Command, asJSON *bool) {
	c.Flags().BoolVar(asJSON, "json", false, "for scripts")
}
