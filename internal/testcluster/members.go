package testcluster

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
)

// supervisorCommand is the subcommand that starts a supervisor. It is an alias that both old and current builds accept.
const supervisorCommand = "keep"

// supervisorStarter returns a function that starts a member's supervisor, run by a given program, on the member's state
// directory.
func (c *Cluster) supervisorStarter(m *Member, env []string) func(program string) (*Process, error) {
	env = append(env, c.diskEnv(m.Name), "ROUTER_NAME="+m.Name, "ROUTER_OPERATOR="+c.OperatorFile)
	return func(program string) (*Process, error) {
		return StartProcess(program, env, supervisorCommand, "--state", filepath.Join(c.Dir, m.Name))
	}
}

// Voters returns the members that elect a leader, in the order of the operator file.
func (c *Cluster) Voters() []*Member { return slices.Clone(c.Members[:c.voters]) }

// StartSupervisor restarts a member's supervisor with the same program and state directory. The previous one must have
// exited.
func (c *Cluster) StartSupervisor(m *Member) error {
	process, err := m.start(m.program)
	if err != nil {
		return fmt.Errorf("supervisor of %s: %w", m.Name, err)
	}
	m.Supervisor = process
	return nil
}

// DrainMember sends SIGTERM to a member's supervisor and returns once its controller has drained and both have exited.
func (c *Cluster) DrainMember(m *Member) error {
	m.Supervisor.Signal(syscall.SIGTERM)
	if err := m.Supervisor.WaitExit(); err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	return nil
}

// UpgradeSupervisor restarts a member's supervisor with another program and the same state directory. The previous one
// must have exited. It returns once the controller serves.
func (c *Cluster) UpgradeSupervisor(m *Member, program string) error {
	m.program = program
	if err := c.StartSupervisor(m); err != nil {
		return err
	}
	return c.awaitServing(m)
}

func (c *Cluster) awaitServing(m *Member) error {
	err := c.WaitUntil(settleTimeout, func() bool {
		s, err := c.Status(m)
		return err == nil && s.Serving
	})
	if err != nil {
		return fmt.Errorf("%s does not serve: %w: %s", m.Name, err, m.Supervisor.Log())
	}
	return nil
}
