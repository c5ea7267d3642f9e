// Package testcluster runs real processes of the program on loopback between fakes of engines, discovery and clients,
// with links that fail on request, and logs all that the rules are held against: which client requested what, which
// dispatch reached which engine, which answer came back.
//
// A Cluster owns the processes that it starts, their folder and their addresses; Close ends and removes all of them.
// Its methods are safe for concurrent use, except that a member's supervisor is replaced (StartSupervisor,
// UpgradeSupervisor) by one goroutine only, with no other one reading that member's Supervisor field meanwhile.
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

// Cluster is engines, a discovery server, controllers with their supervisors, and links from coordinators to
// supervisors.
type Cluster struct {
	Dir          string // of all files; removed by Close
	Events       EventLog
	Faults       *FaultPlan
	Members      []*Member
	OperatorFile string // names the supervisors by the addresses of their links

	subnet    *Subnet // of the addresses of members
	lastJob   atomic.Uint64
	discovery *fake.Discovery
	engines   map[string]*fake.Engine // by name
	voters    int
	http      http.Client
}

// Member is a controller and its supervisor.
type Member struct {
	Name              string
	ClientAddress     string // where its controller serves clients
	Link              *Link  // between coordinators or other voters and its supervisor
	Supervisor        *Process
	SupervisorAddress string // past the link

	program string // of its supervisor
	start   func(program string) (*Process, error)
}

const (
	requestTimeout = 2 * time.Second        // of one request to a supervisor's status
	settleTimeout  = 20 * time.Second       // of a start or an election, which takes one to four seconds
	pollInterval   = 5 * time.Millisecond   // of WaitUntil
	getTimeout     = 500 * time.Millisecond // of other requests
)

// ErrNotReached is returned where a condition was not met in its time.
var ErrNotReached = errors.New("condition not met")

// WaitUntil polls a condition until it is met, and returns an error that wraps ErrNotReached once the time is over.
func (c *Cluster) WaitUntil(timeout time.Duration, condition func() bool) error {
	for stop := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(stop) {
			return fmt.Errorf("%w after %v", ErrNotReached, timeout)
		}
	}
	return nil
}

// Stop sends SIGTERM to all supervisors at once and waits until their controllers have drained and all processes have
// ended. It returns the first error of an exit.
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

// Close kills what still runs, and removes all files.
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
	_ = os.RemoveAll(c.Dir) // a temporary folder: what is left is the system's to remove
}
