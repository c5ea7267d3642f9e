package command

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// fleetProgram is the program with the commands for fleets and stores. It is separate from swiftreel, so that hundreds
// of controllers do not each link the libraries that it needs: consensus, storage, messaging.
const fleetProgram = "swiftreel-fleet"

// forwardedCommands returns the commands that fleetProgram executes.
func forwardedCommands() []*cobra.Command {
	formerSupervise := forwardedCommand("keep", "")
	formerSupervise.Hidden = true
	return []*cobra.Command{
		forwardedCommand("supervise", "Supervise one controller: start it, restart it, take orders for it"),
		formerSupervise,
		forwardedCommand("rollout", "Take a change through a fleet in stages"),
		forwardedCommand("fleet", "What the fleet's controllers report, and who leads it"),
		forwardedCommand("store", "Look at what a store holds"),
	}
}

// forwardedCommand returns a command that replaces this process by fleetProgram, which is in the same directory.
func forwardedCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use:                name,
		Short:              short,
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			executable, err := os.Executable()
			if err != nil {
				return Failure(ExitFailed, err)
			}
			path := filepath.Join(filepath.Dir(executable), fleetProgram)
			arguments := append([]string{fleetProgram, name}, args...)
			err = syscall.Exec(path, arguments, os.Environ()) // returns only if it fails
			return Failure(ExitFailed, fmt.Errorf("%s, which stands beside swiftreel: %w", path, err))
		},
	}
}
