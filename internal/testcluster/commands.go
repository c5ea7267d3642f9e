package testcluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/leader"
	"swiftreel/internal/operator"
)

// requestTimeout bounds one request of this package to a supervisor.
const requestTimeout = 2 * time.Second

// settleTimeout bounds the wait for a leader or a start. An election takes one to four seconds.
const settleTimeout = 20 * time.Second

// Command runs a command of the program as an operator does, with the town's operator file, and returns what it printed.
// The error of a command that fails carries that too.
func (t *Cluster) Command(program string, args ...string) (string, error) {
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+t.OperatorFile)
	text, err := c.CombinedOutput()
	if err != nil {
		return string(text), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, bytes.TrimSpace(text))
	}
	return string(text), nil
}

// OrderProgram orders a member to run another program, past any coordinator. The rest of its spec stays as it is.
func (t *Cluster) OrderProgram(m *Member, fence change.Fence, path string) error {
	s, err := t.Status(m)
	if err != nil {
		return err
	}
	want := s.Spec
	want.Program.Path = path
	if want.Program.Digest, err = change.OfFile(path); err != nil {
		return err
	}
	fleet := coordinator.NewFleet([]operator.Member{{Name: m.Name, Listen: m.SupervisorAddress}}, requestTimeout, requestTimeout)
	order := change.Order{Format: change.Format, Fence: fence, By: "x", Member: m.Name, Want: want}
	for _, err := range fleet.Order(context.Background(), map[int]change.Order{0: order}) {
		return fmt.Errorf("%s refuses order %v: %w", m.Name, fence, err)
	}
	return nil
}

// Drain ends a member's supervisor with SIGTERM and returns once its controller has drained and both have ended.
func (t *Cluster) DrainMember(m *Member) error {
	m.Supervisor.Signal(syscall.SIGTERM)
	if err := m.Supervisor.WaitExit(); err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	return nil
}

// StartAs starts the supervisor of a member whose last one has ended, by the program given and on the same state folder. It
// returns once the controller serves.
func (t *Cluster) UpgradeSupervisor(m *Member, program string) error {
	m.program = program
	if err := t.StartSupervisor(m); err != nil {
		return err
	}
	if err := t.WaitUntil(settleTimeout, func() bool { s, err := t.Status(m); return err == nil && s.Serves }); err != nil {
		return fmt.Errorf("%s does not serve after its restart: %w", m.Name, err)
	}
	return nil
}

// Leader waits until one of the candidates leads with a valid lease, and returns it.
func (t *Cluster) Leader(candidates []*Member) (elected *Member, err error) {
	err = t.WaitUntil(settleTimeout, func() bool {
		for _, m := range candidates {
			var v leader.View
			if t.GetJSON(m, "/v1/owner", &v) == nil && v.May {
				elected = m
				return true
			}
		}
		return false
	})
	if err != nil {
		return nil, fmt.Errorf("nobody leads: %w", err)
	}
	return elected, nil
}

// Voters are the members that elect a leader, in the order of the operator's file.
func (t *Cluster) Voters() []*Member { return slices.Clone(t.Members[:t.voters]) }

// ErrRefused is what StepDown returns where the member does not lead, or has nobody to hand over to yet.
var ErrRefused = errors.New("refused")

// StepDown asks a member, past its link, to hand its leadership over.
func (t *Cluster) StepDown(m *Member) error {
	a, err := t.http.Post("http://"+m.SupervisorAddress+"/v1/owner/step-down", "application/json", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("%s: step down: %s: %w", m.Name, a.Status, ErrRefused)
	}
	return nil
}
