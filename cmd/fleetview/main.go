// Command fleetview is the former name of rollout-view, which takes the process over. It is left for operators'
// scripts.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// successor stands beside this program.
const successor = "rollout-view"

func main() {
	fmt.Fprintf(os.Stderr, "fleetview is deprecated, use %s\n", successor)
	if err := replaceProcess(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetview:", err)
		os.Exit(1)
	}
}

// replaceProcess returns only where the successor cannot be run.
func replaceProcess() error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), successor)
	return syscall.Exec(path, append([]string{successor}, os.Args[1:]...), os.Environ())
}
