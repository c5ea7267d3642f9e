// Command swiftreel-fleet is swiftreel's commands for fleets: keep, rollout and fleet. swiftreel hands over to it.
package main

import (
	"os"

	"swiftreel/internal/command/fleet"
)

func main() { os.Exit(fleet.Run(os.Args[1:], os.Stdout, os.Stderr)) }
