package command

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// fleetProgram has the commands for fleets and stores. It is a program of its own, since hundreds of controllers would
// each carry what it needs: consensus, storage, messages.
const fleetProgram = "swiftreel-fleet"

// fleetCommands are the commands of that program.
func fleetCommands() []*cobra.Command {
	formerSupervise := fleetCommand("keep", "")
	formerSupervise.Hidden = true
	return []*cobra.Command{
		fleetCommand("supervise", "Supervise one controller: start it, restart it, take orders for it"),
		formerSupervise,
		fleetCommand("rollout", "Take a change through a fleet in stages"),
		fleetCommand("fleet", "What the fleet's controllers report, and who leads it"),
		fleetCommand("store", "Look at what a store holds"),
	}
}

// fleetCommand passes a command on: the other program, beside this one, takes over the process.
func fleetCommand(name, short string) *cobra.Command {
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
