package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"swiftreel/internal/command"
	"swiftreel/internal/leader"
	"swiftreel/internal/logging"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// Limits of a supervisor's HTTP server.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 8 << 10
)

// superviseOptions are the flags of the command supervise.
type superviseOptions struct {
	operatorFile string
	stateDir     string
	name         string
}

func superviseCommand() *cobra.Command {
	var options superviseOptions
	supervise := &cobra.Command{
		Use:   "supervise",
		Short: "Supervise one controller: start it, restart it, take orders for it",
		Long: `Starts the controller that ROUTER_* describes and supervises it. Orders come over HTTP at the address that the
part fleet of the operator's file gives for ROUTER_NAME. SIGTERM lets the controller drain.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			defer logging.Setup(os.Stderr)()
			return options.withEnvironment().run()
		},
	}
	flags := supervise.Flags()
	addOperatorFlag(supervise, &options.operatorFile)
	flags.StringVar(&options.stateDir, "state", "keep",
		"a folder of this supervisor's own that outlives it: the order that it holds")
	flags.StringVar(&options.name, "name", "", "above ROUTER_NAME")
	return supervise
}

// withEnvironment replaces empty options by the values of environment variables.
func (o superviseOptions) withEnvironment() superviseOptions {
	if o.name == "" {
		o.name = os.Getenv("ROUTER_NAME")
	}
	if o.operatorFile == "" {
		o.operatorFile = os.Getenv(operatorVariable)
	}
	return o
}

// run supervises a controller until SIGTERM or SIGINT arrives.
func (o superviseOptions) run() error {
	fleet, err := loadFleet(o.operatorFile)
	if err != nil {
		return err
	}
	member, found := fleet.Member(o.name)
	if !found {
		return command.BadInput(fmt.Errorf("%s: /fleet/members: no %q", o.operatorFile, o.name))
	}
	// Controllers inherit this disposition. Otherwise a reload would terminate a controller that has just been started
	// and does not catch SIGHUP yet. No reload is lost: it reads its files after it has begun to catch signals.
	signal.Ignore(syscall.SIGHUP)
	supervised, err := o.newSupervisor(fleet)
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	listener, err := net.Listen("tcp4", member.Listen)
	if err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	mux := supervised.Handler()
	if slices.Contains(fleet.Voters, o.name) {
		node, err := o.startVoter(ctx, fleet, mux)
		if err != nil {
			return err
		}
		defer node.Close()
	}
	server := newServer(mux)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed below
	defer server.Close()
	slog.Info("supervising", "name", o.name, "address", listener.Addr(), "spec", supervised.Status().Spec.Digest())
	if err := supervised.Run(ctx); err != nil {
		return command.Failure(command.ExitFailed, err)
	}
	return nil
}

// newServer returns a supervisor's HTTP server with its limits.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func (o superviseOptions) newSupervisor(fleet *operator.Fleet) (*supervisor.Supervisor, error) {
	program := fleet.Program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return nil, err
		}
		program = filepath.Join(filepath.Dir(own), "swiftreel")
	}
	return supervisor.New(supervisor.Options{
		Name:         o.name,
		StateDir:     o.stateDir,
		OperatorFile: o.operatorFile,
		ProgramPath:  program,
		DrainTimeout: time.Duration(fleet.DrainMS) * time.Millisecond,
		Environment:  os.Environ(),
		LogOutput:    os.Stderr,
	})
}

// startVoter makes the process a voter in the election of the fleet's leader. While it is the leader, it performs the
// leader's duties, until ctx is done.
func (o superviseOptions) startVoter(ctx context.Context, fleet *operator.Fleet,
	mux *http.ServeMux) (*leader.Node, error) {
	addresses := map[string]string{}
	for _, member := range fleet.Members {
		addresses[member.Name] = member.Address()
	}
	node, err := leader.Open(o.name, filepath.Join(o.stateDir, "owner.db"), addresses, leader.DefaultTiming())
	if err != nil {
		return nil, command.Failure(command.ExitFailed, err)
	}
	duties, err := leader.NewDuties(node, fleet, filepath.Dir(o.operatorFile))
	if err != nil {
		node.Close()
		return nil, command.BadInput(err)
	}
	node.RegisterHandlers(mux)
	duties.RegisterHandlers(mux)
	go duties.Run(ctx)
	return node, nil
}
