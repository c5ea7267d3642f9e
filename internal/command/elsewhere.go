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
	for _, c := range [][2]string{{"keep", "Keep one controller: start it, start it again, take orders for it"},
		{"rollout", "Take a change through a fleet in stages"}, {"fleet", "What the fleet's controllers tell of themselves, and who owns its work"},
		{"store", "Look at what a store holds"}} {
		list = append(list, &cobra.Command{Use: c[0], Short: c[1], DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
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
