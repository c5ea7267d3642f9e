package fleet

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
)

const (
	operatorVariable  = "ROUTER_OPERATOR" // environment variable; --operator takes precedence
	operatorFlagUsage = "the operator's file; above ROUTER_OPERATOR"
	jsonFlagUsage     = "for scripts"
)

// supervisorTimeout is the timeout of a request to a supervisor.
const supervisorTimeout = 2 * time.Second

// loadFleet reads the section fleet of an operator's file. If path is empty, ROUTER_OPERATOR names the file.
func loadFleet(path string) (*operator.Fleet, error) {
	if path == "" {
		path = os.Getenv(operatorVariable)
	}
	file, err := operator.Load(path)
	if err != nil {
		return nil, command.BadInput(err)
	}
	if file.Fleet == nil {
		return nil, command.BadInput(fmt.Errorf("%s: no part fleet: name the file with --operator or ROUTER_OPERATOR", path))
	}
	return file.Fleet, nil
}

// newFleetClient returns a client whose polls wait for every supervisor until its timeout.
func newFleetClient(fleet *operator.Fleet) *coordinator.FleetClient {
	return coordinator.NewFleetClient(fleet.Members, supervisorTimeout, supervisorTimeout)
}

func addOperatorFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "operator", "", operatorFlagUsage)
}

func addJSONFlag(cmd *cobra.Command, asJSON *bool) {
	cmd.Flags().BoolVar(asJSON, "json", false, jsonFlagUsage)
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
