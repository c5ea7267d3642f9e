// Command swiftreel-fleet implements the fleet subcommands of swiftreel: supervise, rollout, fleet and store. swiftreel
// executes it for them.
package main

import (
	"os"

	"swiftreel/internal/command/fleet"
)

func main() { os.Exit(fleet.Run(os.Args[1:], os.Stdout, os.Stderr)) }
