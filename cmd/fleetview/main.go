// Command fleetview is the former name of rollout-view. It prints a deprecation warning and executes rollout-view. It
// is kept for operators' scripts.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// successor is the name of the program that replaces this one. It is in the same directory.
const successor = "rollout-view"

func main() {
	fmt.Fprintf(os.Stderr, "fleetview is deprecated, use %s\n", successor)
	if err := replaceProcess(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetview:", err)
		os.Exit(1)
	}
}

// replaceProcess executes the successor in this process. It returns only if that fails.
func replaceProcess() error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), successor)
	return syscall.Exec(path, append([]string{successor}, os.Args[1:]...), os.Environ())
}
