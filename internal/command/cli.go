// Package command is the command line: what a person or a script asks of swiftreel beside serving.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"swiftreel/internal/version"
)

// The exit codes.
const (
	ExitFailed   = 1 // serving failed, or could not begin
	ExitBadInput = 2 // a file or a flag is not usable; every fault is told
	ExitNoFit    = 3 // no answer fits, or none was found in time
)

// exit is an error with its code; said: its text is out already.
type exit struct {
	code int
	err  error
	said bool
}

func (e exit) Error() string { return e.err.Error() }
func (e exit) Unwrap() error { return e.err }

func badInput(err error) error { return exit{code: ExitBadInput, err: err} }

// ServeOptions is what the flags say of serving.
type ServeOptions struct {
	Trace    bool
	Operator string // the operator's file, or ""
}

// Run carries a command line out and gives the exit code. Without a command it serves.
func Run(args []string, out, errs io.Writer, serve func(ServeOptions) error) int {
	for i, a := range args {
		if a == "-trace" { // as it was before there were commands
			args[i] = "--trace"
		}
	}
	var s ServeOptions
	root := &cobra.Command{
		Use:   "swiftreel",
		Short: "A front for query engines with limited memory",
		Long: `Without a command swiftreel serves: one controller, told all by ROUTER_CONFIG, ROUTER_NAME and ROUTER_LISTEN.
What it does beyond that stands in the operator's file (--operator or ROUTER_OPERATOR).

Exit codes: 0 done, 1 serving failed, 2 bad input, 3 no answer fits; rollout has more.`,
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if err := serve(s); err != nil {
				return exit{code: ExitFailed, err: err}
			}
			return nil
		},
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.Flags().BoolVar(&s.Trace, "trace", false, "log every event and action of the module")
	root.Flags().StringVar(&s.Operator, "operator", "", "the operator's file; above ROUTER_OPERATOR")
	root.Version = version.Name
	root.AddCommand(solveCommand(), planCommand(), checkCommand(), versionCommand())
	root.AddCommand(elsewhere()...)
	return Execute(root, args, out, errs)
}

// Execute carries a command line out and gives the exit code.
func Execute(root *cobra.Command, args []string, out, errs io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	e := exit{code: ExitBadInput, err: err} // cobra's own: a flag or an argument
	errors.As(err, &e)
	if !e.said {
		fmt.Fprintln(errs, root.Name()+":", err)
	}
	return e.code
}

// Failure is an error with an exit code.
func Failure(code int, err error) error { return exit{code: code, err: err} }

// SilentFailure is one whose text is out already.
func SilentFailure(code int, err error) error { return exit{code: code, err: err, said: true} }

// BadInput is one of a file or a flag.
func BadInput(err error) error { return badInput(err) }

// WriteJSON writes a value for scripts.
func WriteJSON(out io.Writer, v any) error { return asJSON(out, v) }

// asJSON writes a value for scripts.
func asJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(v)
}
