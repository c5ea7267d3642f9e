// Package fleet is the command line for fleets of controllers: supervisors, rollouts, the fleet's leader and the
// stores of controllers. It parses arguments, prints results and maps errors to exit codes; the packages that it calls
// do the work. A command line must be used by one goroutine only.
package fleet

import (
	"io"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/version"
)

// Run executes a command line and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:              "swiftreel",
		Short:            "Commands for fleets of controllers",
		Version:          version.Name,
		SilenceErrors:    true,
		SilenceUsage:     true,
		PersistentPreRun: warnDeprecated,
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(
		superviseCommand(),
		formerName("keep", "swiftreel supervise", superviseCommand()),
		rolloutCommand(),
		fleetCommand(),
		storeCommand(),
	)
	return command.Execute(root, args, out, errs)
}

func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "What the fleet's controllers report, and who leads it"}
	root.AddCommand(
		fleetStatusCommand(),
		leaderCommand(),
		formerName("owner", "swiftreel fleet leader", leaderCommand()),
		bootstrapCommand(),
		formerName("found", "swiftreel fleet bootstrap", bootstrapCommand()),
		stepDownCommand(),
		recoverCommand(),
		removeVoterCommand(),
		formerName("forget VOTER", "swiftreel fleet remove-voter", removeVoterCommand()),
		replaceVoterCommand(),
		formerName("join VOTER", "swiftreel fleet replace-voter", replaceVoterCommand()),
	)
	return root
}
