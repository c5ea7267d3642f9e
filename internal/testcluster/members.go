package testcluster

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
)

// supervisorCommand starts a supervisor. Builds under its present and its former name know this one.
const supervisorCommand = "keep"

// supervisorStart returns a function that starts a member's supervisor, by any program, on the member's state folder.
func (c *Cluster) supervisorStart(m *Member, env []string) func(program string) (*Process, error) {
	env = append(env, c.diskEnv(m.Name), "ROUTER_NAME="+m.Name, "ROUTER_OPERATOR="+c.OperatorFile)
	return func(program string) (*Process, error) {
		return StartProcess(program, env, supervisorCommand, "--state", filepath.Join(c.Dir, m.Name))
	}
}

// Voters are the members that elect a leader, in the order of the operator's file.
func (c *Cluster) Voters() []*Member { return slices.Clone(c.Members[:c.voters]) }

// StartSupervisor starts the supervisor of a member whose last one has ended, by the same program and on the same
// state folder.
func (c *Cluster) StartSupervisor(m *Member) error {
	process, err := m.start(m.program)
	if err != nil {
		return fmt.Errorf("supervisor of %s: %w", m.Name, err)
	}
	m.Supervisor = process
	return nil
}

// DrainMember ends a member's supervisor with SIGTERM and returns once its controller has drained and both have ended.
func (c *Cluster) DrainMember(m *Member) error {
	m.Supervisor.Signal(syscall.SIGTERM)
	if err := m.Supervisor.WaitExit(); err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	return nil
}

// UpgradeSupervisor starts the supervisor of a member whose last one has ended, by the program given and on the same
// state folder. It returns once the controller serves.
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
