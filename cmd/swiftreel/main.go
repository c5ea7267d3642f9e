// Command swiftreel is one controller: it takes clients' jobs and has engines run them, as the decision module
// says. It is told all by the ROUTER_* variables.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/change"
	"swiftreel/internal/client"
	"swiftreel/internal/command"
	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
	"swiftreel/internal/logging"
	"swiftreel/internal/operator"
)

// lateArrivals is how long after SIGTERM jobs may still come: on new connections for 0.4 s, 0.2 s more on open ones,
// and some to spare; what comes later is throttled. Then the program ends once nothing was owed, nor lay unread or half
// read, for quietLast, in which it must not have stood still. Half a message is waited for no longer than lateMost.
const (
	quietLast = 100 * time.Millisecond
	quietLook = 10 * time.Millisecond
)

// Variables for tests, where nothing comes late, or half a message is held for as long as it takes.
var lateArrivals, lateMost = time.Second, 2 * time.Second

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, serve))
}

// serve is what swiftreel does without a command.
func serve(s command.Serving) error {
	reload := make(chan os.Signal, 1) // caught before anything else: the signal never ends the program
	signal.Notify(reload, syscall.SIGHUP)
	logging.To(os.Stderr)
	if s.Operator == "" {
		s.Operator = os.Getenv("ROUTER_OPERATOR")
	}
	file, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if len(file.Unread) > 0 {
		slog.Warn("config_unread", "names", strings.Join(file.Unread, ","))
	}
	own, err := operator.Load(s.Operator)
	if err != nil {
		return err
	}
	failpoint.Early()
	stop := make(chan os.Signal, 1) // caught before clients can connect: who did is answered
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	listener, err := listen(file.Listen, own.Tally != nil)
	if err != nil {
		return err
	}
	return run(file, listener, s, stop, reload)
}

// run serves until it is told to stop and nothing is owed. At a reload both files are read anew.
func run(file config.File, listener net.Listener, s command.Serving, stop, reload <-chan os.Signal) error {
	known, err := events(file)
	if err != nil {
		return err
	}
	own, err := operator.Load(s.Operator)
	if err != nil {
		return err
	}
	side, err := newSide(own.SPARQL, file.Limits)
	if err != nil {
		return err
	}
	parts := new(limits.Parts)
	parts.Apply(side.leaves(file.Limits))
	facts, err := own.Shape.Over(file.Facts)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Operator, err)
	}
	gate := gateway.New(choice.RawSettings(facts), file.Seed, parts, s.Trace, side.speak())
	side.join(gate)
	told, err := newTeller(own.Tally, gate)
	if err != nil {
		return err
	}
	told.force(own.Tally, facts)
	if elder(own) {
		gate.Elder(true)
	}
	for _, ev := range known {
		gate.List(ev, true)
	}
	teach(own.Tally, gate)
	followed := &plans{gate: gate}
	followed.follow(own)
	follower := discovery.Follow(file.Feed, file.Known.N, func(ev discovery.Event) { gate.List(ev, false) })
	reloads := reloader{file: file, own: own, leaves: side.leaves, follower: follower, parts: parts, load: func() (config.File, error) { return config.Load(os.Getenv) },
		operator: func() (operator.File, error) { return operator.Load(s.Operator) },
		follow:   followed.follow,
		restate:  func(facts map[string]any) { gate.Restate(facts) },
		force:    told.force, elder: gate.Elder,
		done: make(chan struct{}), ended: make(chan struct{})}
	go reloads.run(reload)
	front := client.NewFront(gate, parts)
	told.owed.Store(func() int64 { return front.Owed() + side.owed() })
	go front.Serve(listener)
	side.serve()
	debug.FreeOSMemory() // what the libraries of the command line left behind when they were set up
	gate.Start()
	failpoint.Start()
	slog.Info("serving", "name", file.Name, "address", listener.Addr(), "events_known", file.Known.N, "settings", change.OfJSON(facts))

	signal := <-stop
	at := time.Now()
	gate.Stop()
	slog.Info("stopping", "signal", signal, "owed", front.Owed())
	for quiet, last := time.Duration(0), at; quiet < quietLast; {
		time.Sleep(quietLook)
		now := time.Now()
		if now.Sub(at) >= lateArrivals {
			front.Refuse()
		}
		if quiet += quietLook; now.Sub(at) < lateArrivals || front.Owed()+side.owed() > 0 || now.Sub(last) > 5*quietLook ||
			now.Sub(at) < lateArrivals+lateMost && front.Unread() {
			quiet = 0
		}
		last = now
	}
	listener.Close()
	front.Close()
	side.close()
	reloads.close()
	told.close()
	follower.Close()
	followed.close()
	gate.Close()
	slog.Info("stopped", append([]any{"after_ms", time.Since(at).Milliseconds()}, counters.LogAttributes()...)...)
	return nil
}
