// Package supervisor runs one controller process. It starts the process, restarts it with exponential backoff after a
// crash, replaces its program or reconfigures it on orders of the rollout coordinator, forwards the fleet leader's
// assignments to it and reports its state over HTTP.
//
// The supervisor is a separate process, so that a controller program that fails to run can be rolled back. It owns a
// state directory with the accepted order (held.json), the operator files that it writes for its controllers
// (operator-N.json) and the plans that these files name (plan-DIGEST.json). An operator file is derived from the
// operator's file, which a person writes, and from the order. An order is stored on disk before it takes effect.
// Assignments of the leader are valid for one incarnation of the supervisor only and are never stored.
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
	"swiftreel/internal/ratelog"
)

const (
	// pollInterval is the time between two polls of the controllers.
	pollInterval = 50 * time.Millisecond
	// controllerTimeout is the timeout of a request to a controller.
	controllerTimeout = 2 * time.Second
	// failureCheckInterval is the time between two checks of whether the cause of a failed order is gone. These checks
	// are made only while no controller runs.
	failureCheckInterval = 2 * time.Second
)

// Options configure a Supervisor.
type Options struct {
	// Name is the name of the fleet member whose controller is supervised.
	Name string
	// StateDir is a directory for exclusive use by this supervisor; it is created if absent.
	StateDir string
	// OperatorFile is the path of the operator's file, or empty. Its sections shape and plan apply until the first
	// order.
	OperatorFile string
	// ProgramPath is the path of the controller program that runs until the first order.
	ProgramPath string
	// DrainTimeout is the time between SIGTERM and the kill of a controller that is still running.
	DrainTimeout time.Duration
	// Environment is the environment of the controllers.
	Environment []string
	// LogOutput receives the logs of the controllers.
	LogOutput io.Writer
}

// Supervisor runs one controller; see the package's documentation.
type Supervisor struct {
	options      Options
	operatorFile map[string]json.RawMessage // sections by top-level key; read-only
	httpClient   http.Client
	wake         chan struct{} // signalled when an order or an assignment is accepted
	incarnation  string        // identifies this process; assignments name it
	startCount   int           // controllers started; used only by the goroutine of Run
	noticeLog    ratelog.Logger

	mu               sync.Mutex // guards the fields below
	order            change.AcceptedOrder
	assignment       assignment.Accepted
	current          *controller   // the controller in service, or nil
	next             *controller   // the replacement of current while it starts, or nil
	draining         []*controller // removed once they have exited
	failure          string        // why the order cannot be carried out, or empty
	failureCheckedAt time.Time
	backoff          restartBackoff
	startNotBefore   time.Time
	outOfService     bool // the order is to run no controller, and none runs
	lastOrderAt      time.Time
	lastRequestAt    time.Time
}

// New returns a supervisor that continues with the order in its state directory, or with the initial order if there is
// none. A stored order that cannot be read is an error: a supervisor that has lost its fence could accept an order that
// it has already refused.
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

// Run supervises the controller until ctx is done, then drains all processes and returns nil. It must be called only
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

// awaitDrained waits until all draining controllers have exited.
func (s *Supervisor) awaitDrained(tick <-chan time.Time) {
	for len(s.draining) > 0 {
		<-tick
		s.reapExited()
	}
}

// wakeUp makes Run take the next step immediately.
func (s *Supervisor) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
