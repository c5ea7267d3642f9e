package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// CoordinatorDisk is the name of the coordinators' disk for SetDisk.
const CoordinatorDisk = "coordinators"

// Command runs a command of the program with the cluster's operator file, as an operator does, and returns its output.
// The error of a failed command includes the output too.
func (c *Cluster) Command(program string, args ...string) (string, error) {
	command := exec.Command(program, args...)
	command.Env = append(os.Environ(), "ROUTER_OPERATOR="+c.OperatorFile)
	text, err := command.CombinedOutput()
	if err != nil {
		return string(text), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(text))
	}
	return string(text), nil
}

// StartCoordinator starts a "rollout" subcommand in the background. folder is the directory of its record.
func (c *Cluster) StartCoordinator(program, folder string, args ...string) (*Process, error) {
	env := []string{c.diskEnv(CoordinatorDisk), "ROUTER_OPERATOR=" + c.OperatorFile}
	return StartProcess(program, env, append([]string{"rollout", "--record", folder}, args...)...)
}

func (c *Cluster) diskFile(name string) string { return filepath.Join(c.Dir, name+".disk") }

// diskEnv returns the environment variable with the path of the file that injects disk faults in builds with the tag
// fault.
func (c *Cluster) diskEnv(name string) string { return "FAULT_DISK=" + c.diskFile(name) }

// SetDisk injects a disk fault into a member or, with the name CoordinatorDisk, into coordinators. It takes effect only
// in builds with the tag fault. state is "full", the duration of each write, or "" for a healthy disk.
func (c *Cluster) SetDisk(name, state string) error {
	if state == "" {
		return os.RemoveAll(c.diskFile(name))
	}
	return os.WriteFile(c.diskFile(name), []byte(state), 0o600)
}
