package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// CoordinatorDisk is the name under which SetDisk finds the disk of coordinators.
const CoordinatorDisk = "coordinators"

// Command runs a command of the program as an operator does, with the cluster's operator file, and returns what it
// printed. The error of a command that fails carries that too.
func (c *Cluster) Command(program string, args ...string) (string, error) {
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), "ROUTER_OPERATOR="+c.OperatorFile)
	text, err := command.CombinedOutput()
	if err != nil {
		return string(text), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(text))
	}
	return string(text), nil
}

// StartCoordinator starts a command of "rollout" in the background; folder is its record.
func (c *Cluster) StartCoordinator(program, folder string, args ...string) (*Process, error) {
	env := []string{c.diskEnv(CoordinatorDisk), "ROUTER_OPERATOR=" + c.OperatorFile}
	return StartProcess(program, env, append([]string{"rollout", "--record", folder}, args...)...)
}

func (c *Cluster) diskFile(name string) string { return filepath.Join(c.Dir, name+".disk") }

// diskEnv names the file that steers the disk of a build with the tag fault.
func (c *Cluster) diskEnv(name string) string { return "FAULT_DISK=" + c.diskFile(name) }

// SetDisk says how the disk of a member, or of coordinators, is from now on, for builds with the tag fault: "full",
// or how long a write takes, or "" where it is well.
func (c *Cluster) SetDisk(name, state string) error {
	if state == "" {
		return os.RemoveAll(c.diskFile(name))
	}
	return os.WriteFile(c.diskFile(name), []byte(state), 0o600)
}
