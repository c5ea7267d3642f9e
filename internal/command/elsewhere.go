package command

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// fleetProgram holds the commands for fleets and stores. It is a program apart, as hundreds of controllers would each carry what it
// needs: consensus, its disk, its messages.
const fleetProgram = "swiftreel-fleet"

// elsewhere are the commands of that program, which takes this process over.
func elsewhere() (list []*cobra.Command) {
	for _, c := range [][2]string{{"supervise", "Supervise one controller: start it, restart it, take orders for it"},
		{"rollout", "Take a change through a fleet in stages"}, {"fleet", "What the fleet's controllers report, and who leads it"},
		{"store", "Look at what a store holds"},
		{"keep", ""}} { // the former name of supervise
		list = append(list, &cobra.Command{Use: c[0], Short: c[1], Hidden: c[1] == "", DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
			own, err := os.Executable()
			if err != nil {
				return exit{code: ExitFailed, err: err}
			}
			path := filepath.Join(filepath.Dir(own), fleetProgram)
			err = syscall.Exec(path, append([]string{fleetProgram, c[0]}, args...), os.Environ())
			return exit{code: ExitFailed, err: fmt.Errorf("%s, which stands beside swiftreel: %w", path, err)}
		}})
	}
	return list
}
