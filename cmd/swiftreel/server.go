package main

import (
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/client"
	"swiftreel/internal/command"
	"swiftreel/internal/discovery"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/limits"
)

// server is a controller: the gateway and the components around it. newServer creates the components, start runs them
// and stop closes them in reverse order of their dependencies.
type server struct {
	files       files        // as read at startup; cleared by start
	listener    net.Listener // set by start
	gateway     *gateway.Gateway
	clients     *client.Server
	sparql      *sparqlServer
	stats       *statsServer
	plans       *planFollower
	discovery   *discovery.Watcher
	reloader    *reloader
	predecessor *predecessorFollower // nil if this process replaces none

	// mayBeReplacedUnnoticed means that a stop signal may be the first sign of a successor that does not link.
	mayBeReplacedUnnoticed bool
}

// newServer returns a server that has not started.
func newServer(files files, options command.ServeOptions) (*server, error) {
	budget := new(limits.Budget)
	shared := ingress.NewShared(budget)
	sparql, err := newSPARQLServer(files.operator.SPARQL, files.config.Limits, shared, budget)
	if err != nil {
		return nil, err
	}
	budget.Apply(sparql.remainingLimits(files.config.Limits))
	gate := gateway.New(gateway.Options{
		Settings:  files.settings,
		Seed:      files.config.Seed,
		Budget:    budget,
		Protocols: sparql.protocols(),
		Trace:     options.Trace,

		KilledAfter: files.operator.DrainTimeout(os.Getenv),
	})
	sparql.attach(gate)
	clients := client.NewServer(gate, budget, shared)
	stats, err := newStatsServer(files, gate, func() int64 { return clients.PendingAnswers() + sparql.pendingAnswers() })
	if err != nil {
		sparql.close()
		clients.Close()
		gate.Close()
		return nil, err
	}
	s := &server{files: files, gateway: gate, clients: clients, sparql: sparql, stats: stats,
		mayBeReplacedUnnoticed: !files.operator.LearnsOfSuccessors(os.Getenv)}
	s.restoreState()
	s.plans = &planFollower{gateway: gate}
	s.plans.follow(files.operator.Plan)
	s.discovery = discovery.Watch(files.config.Feed, files.config.CachedEvents.LastNumber, func(event discovery.Event) {
		gate.UpdateEngines(event, false)
	})
	gate.SetListAge(s.discovery)
	s.reloader = newReloader(s, budget, options.Operator)
	s.predecessor = newPredecessorFollower(files.operator, gate)
	return s, nil
}

// restoreState passes to the gateway what is known before the first job: the state of a predecessor process and the
// cached endpoint list.
func (s *server) restoreState() {
	if s.files.predecessorRunning() {
		s.gateway.SetPredecessor(true)
	}
	for _, event := range s.files.cachedEvents {
		s.gateway.UpdateEngines(event, true)
	}
	restoreSnapshot(s.files.operator.Stats, s.gateway)
}

// start serves in the background. The server owns the listener from then on; since is when the listener was opened.
func (s *server) start(listener net.Listener, since time.Time, reload <-chan os.Signal) {
	s.listener = listener
	go s.reloader.run(reload)
	go func() { _ = s.clients.Serve(listener, since) }() // returns nil once the listener is closed
	s.sparql.start()
	debug.FreeOSMemory() // returns memory that the command-line libraries allocated during initialization
	s.gateway.Start()
	if testHooks.afterStart != nil {
		testHooks.afterStart()
	}
	slog.Info("serving", "name", s.files.config.Name, "address", s.listener.Addr(),
		"events_known", s.files.config.CachedEvents.LastNumber, "settings", change.JSONDigest(s.files.settings))
	s.files = files{} // frees the initial plan and snapshot; the reloader holds what is in force
}
