// Package supervisor runs one controller process. It starts the process, restarts it after a crash with backoff,
// replaces it by another program or reconfigures it as the rollout coordinator orders, passes on the fleet leader's
// assignments and reports the controller's state over HTTP.
//
// The supervisor outlives the controller's program, so that a program that cannot run can be rolled back. It owns a
// state directory with the accepted order (held.json), the operator files that it writes for its controllers
// (operator-N.json) and the plans that these name (plan-DIGEST.json). An order is on disk before it takes effect;
// assignments of the leader are bound to one incarnation of the supervisor and are never stored.
//
// Run drives the controllers from a single goroutine. All other exported methods may be called concurrently with it.
package supervisor

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
)

const (
	// pollInterval is the time between two samples of the controllers' state.
	pollInterval = 50 * time.Millisecond
	// controllerTimeout bounds a request to a controller.
	controllerTimeout = 2 * time.Second
	// failureCheckInterval is the time between two checks of whether the cause of a failed order is gone, while no
	// controller runs.
	failureCheckInterval = 2 * time.Second
)

// Options configure a Supervisor.
type Options struct {
	// Name is the fleet member that the supervisor stands for.
	Name string
	// StateDir is a directory of the supervisor's own; it is created if absent.
	StateDir string
	// OperatorFile is the operator's file; its shape and plan hold until the first order. Empty: none.
	OperatorFile string
	// ProgramPath is the controller program until the first order.
	ProgramPath string
	// DrainTimeout is the time after SIGTERM at which a controller is killed.
	DrainTimeout time.Duration
	// Environment is that of the controllers.
	Environment []string
	// LogOutput receives what the controllers log.
	LogOutput io.Writer
}

// Supervisor runs one controller; see the package's documentation.
type Supervisor struct {
	options      Options
	operatorFile map[string]json.RawMessage // by top-level key; read only
	httpClient   http.Client
	wake         chan struct{} // signalled when an order or an assignment was accepted
	incarnation  string        // of this process: assignments name it
	startCount   int           // of controllers; used by Run alone

	mu               sync.Mutex // guards the fields below
	order            change.AcceptedOrder
	assignment       assignment.Accepted
	current          *controller   // serves; nil: none
	next             *controller   // shall replace current; nil: none
	draining         []*controller // removed once they have exited
	failure          string        // why the order cannot be carried out; empty: it can
	failureCheckedAt time.Time
	backoff          restartBackoff
	startNotBefore   time.Time
	outOfService     bool // as ordered, and no controller runs
	lastOrderAt      time.Time
	lastRequestAt    time.Time
}

// New returns a supervisor that goes on from the order in its state directory, or from the operator's file if there
// is none. A stored order that cannot be read is an error: a supervisor that has lost its fence must not accept an
// order that it refused before.
func New(options Options) (*Supervisor, error) {
	s := &Supervisor{
		options:       options,
		httpClient:    http.Client{Timeout: controllerTimeout},
		wake:          make(chan struct{}, 1),
		incarnation:   rand.Text(),
		lastRequestAt: time.Now(),
	}
	var err error
	if s.operatorFile, err = readOperatorFile(options.OperatorFile); err != nil {
		return nil, err
	}
	if s.order, err = s.loadOrder(); err != nil {
		return nil, err
	}
	return s, nil
}

// Run supervises the controller until ctx ends, then lets every process drain and returns nil. It must be called
// once.
func (s *Supervisor) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.step(ctx)
		select {
		case <-ctx.Done():
			s.stopAll()
			s.awaitDrained(ticker.C)
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

// awaitDrained returns once no process is left.
func (s *Supervisor) awaitDrained(tick <-chan time.Time) {
	for len(s.draining) > 0 {
		<-tick
		s.reapExited()
	}
}

// wakeUp has Run take a step at once.
func (s *Supervisor) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}
