// Command swiftreel-fleet is the commands of swiftreel for fleets: supervise, rollout, fleet and store. swiftreel
// executes it for these.
package main

import (
	"os"

	"swiftreel/internal/command/fleet"
)

func main() { os.Exit(fleet.Run(os.Args[1:], os.Stdout, os.Stderr)) }
