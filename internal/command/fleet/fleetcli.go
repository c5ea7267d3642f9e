// Package fleet is the command line for fleets: keepers, rollouts, the owner.
package fleet

import (
	"io"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/version"
)

// Run carries a command line out and gives the exit code.
func Run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "swiftreel", Short: "Commands for fleets of controllers", Version: version.Name, SilenceErrors: true, SilenceUsage: true}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(keepCommand(), rolloutCommand(), fleetCommand(), storeCommand())
	return command.Execute(root, args, out, errs)
}
