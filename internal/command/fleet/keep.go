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
	"swiftreel/internal/supervisor"
)

func keepCommand() *cobra.Command {
	var file, state, name string
	c := &cobra.Command{Use: "keep", Short: "Keep one controller: start it, start it again, take orders for it", Args: cobra.NoArgs,
		Long: `Starts the controller that ROUTER_* describes and keeps it. Orders come over HTTP at the address that the part fleet of
the operator's file gives for ROUTER_NAME. SIGTERM lets the controller drain.`,
		RunE: func(*cobra.Command, []string) error {
			logging.Setup(os.Stderr)
			if name == "" {
				name = os.Getenv("ROUTER_NAME")
			}
			if file == "" {
				file = os.Getenv("ROUTER_OPERATOR")
			}
			f, err := fleetOf(file)
			if err != nil {
				return err
			}
			m, is := f.Member(name)
			if !is {
				return command.BadInput(fmt.Errorf("%s: /fleet/members: no %q", file, name))
			}
			if f.Program == "" {
				own, err := os.Executable()
				if err != nil {
					return command.Failure(command.ExitFailed, err)
				}
				f.Program = filepath.Join(filepath.Dir(own), "swiftreel")
			}
			k, err := supervisor.New(supervisor.Options{Name: name, StateDir: state, OperatorFile: file, ProgramPath: f.Program, DrainTimeout: time.Duration(f.DrainMS) * time.Millisecond,
				Environment: os.Environ(), LogOutput: os.Stderr})
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			l, err := net.Listen("tcp4", m.Listen)
			if err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			mux := k.Handler()
			if slices.Contains(f.Voters, name) {
				addr := map[string]string{}
				for _, m := range f.Members {
					addr[m.Name] = m.Address()
				}
				node, err := leader.Open(name, filepath.Join(state, "owner.db"), addr, leader.DefaultTiming())
				if err != nil {
					return command.Failure(command.ExitFailed, err)
				}
				defer node.Close()
				duties, err := leader.NewDuties(node, f, filepath.Dir(file))
				if err != nil {
					return command.BadInput(err)
				}
				node.RegisterHandlers(mux)
				duties.RegisterHandlers(mux)
				go duties.Run(ctx)
			}
			h := &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
			go h.Serve(l)
			defer h.Close()
			slog.Info("keeping", "name", name, "address", l.Addr(), "spec", k.Status().Spec.Digest())
			if err := k.Run(ctx); err != nil {
				return command.Failure(command.ExitFailed, err)
			}
			return nil
		}}
	c.Flags().StringVar(&file, "operator", "", "the operator's file; above ROUTER_OPERATOR")
	c.Flags().StringVar(&state, "state", "keep", "a folder of this keeper's own that outlives it: the order that it holds")
	c.Flags().StringVar(&name, "name", "", "above ROUTER_NAME")
	return c
}
