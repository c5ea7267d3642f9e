// Package testcluster runs real processes of the program on loopback, with fake engines, discovery and clients, and
// with links that fail on request. It logs the events that the rules are checked against: which client requested which
// job, which dispatch reached which engine, and which answer was returned.
//
// A Cluster owns the processes that it starts, their directory and their addresses, and Close stops and removes all of
// them. Its methods are safe for concurrent use, with one exception: only one goroutine may replace a member's
// supervisor (StartSupervisor, UpgradeSupervisor), and no other may read that member's Supervisor field meanwhile.
package testcluster

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/fake"
)

// Cluster consists of engines, a discovery server, controllers with their supervisors, and links from coordinators to
// supervisors.
type Cluster struct {
	Dir          string // holds all files; removed by Close
	Events       EventLog
	Faults       *FaultPlan
	Members      []*Member
	OperatorFile string // refers to the supervisors by the addresses of their links

	subnet    *Subnet // contains the members' addresses
	lastJob   atomic.Uint64
	discovery *fake.Discovery
	engines   map[string]*fake.Engine // by name
	voters    int
	http      http.Client
}

// Member is a controller and its supervisor.
type Member struct {
	Name              string
	ClientAddress     string // the controller's listen address for clients
	Link              *Link  // from coordinators and other voters to the supervisor
	Supervisor        *Process
	SupervisorAddress string // bypasses the link

	program string // run as the supervisor
	start   func(program string) (*Process, error)
}

const (
	fleetRequestTimeout = 2 * time.Second        // of a status request or an order to a supervisor
	settleTimeout       = 20 * time.Second       // of a start or an election, which take one to four seconds
	pollInterval        = 5 * time.Millisecond   // of WaitUntil's polls
	httpTimeout         = 500 * time.Millisecond // of other HTTP requests
)

// ErrConditionTimeout is returned if a condition is not met in time.
var ErrConditionTimeout = errors.New("condition not met")

// WaitUntil polls a condition until it is met. After the timeout it returns an error that wraps ErrConditionTimeout.
func (c *Cluster) WaitUntil(timeout time.Duration, condition func() bool) error {
	for stop := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(stop) {
			return fmt.Errorf("%w after %v", ErrConditionTimeout, timeout)
		}
	}
	return nil
}

// Stop sends SIGTERM to all supervisors at once and waits until their controllers have drained and all processes have
// exited. It returns the first exit error.
func (c *Cluster) Stop() error {
	for _, m := range c.Members {
		m.Supervisor.Signal(syscall.SIGTERM)
	}
	var first error
	for _, m := range c.Members {
		if err := m.Supervisor.WaitExit(); err != nil && first == nil {
			first = fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return first
}

// Close kills the processes that are still running and removes all files.
func (c *Cluster) Close() {
	for _, m := range c.Members {
		if m.Supervisor != nil {
			m.Supervisor.Kill()
		}
		if m.Link != nil {
			m.Link.Close()
		}
	}
	for _, e := range c.engines {
		e.Close()
	}
	if c.discovery != nil {
		c.discovery.Close()
	}
	if c.subnet != nil {
		c.subnet.Release()
	}
	_ = os.RemoveAll(c.Dir) // a temporary directory, which the system removes if this fails
}
