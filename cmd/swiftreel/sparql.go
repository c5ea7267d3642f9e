package main

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/config"
	"swiftreel/internal/engine"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/limits"
	"swiftreel/internal/operator"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
	"swiftreel/internal/sparql/front"
)

// maxFingerprints is the number of query fingerprints whose cost is stored, at about 150 bytes each.
const maxFingerprints = 4096

// minDescriptors is the number of descriptors that the rest of the process needs.
const minDescriptors = 64

// sparqlServer is the SPARQL front end with its connections to SPARQL endpoints. If the protocol is disabled, options
// is nil and the methods do nothing.
type sparqlServer struct {
	options  *operator.SPARQL
	shared   *ingress.Shared
	budget   *limits.Budget
	listener net.Listener
	openedAt time.Time        // of the listener
	maxConns limits.Limit     // maximum number of connections to endpoints
	gateway  *gateway.Gateway // set by attach
	front    *front.Front     // set by attach
}

// newSPARQLServer listens for clients, unless options is nil. It fails if its connections would leave fewer than
// minDescriptors descriptors.
func newSPARQLServer(
	options *operator.SPARQL, machine config.Limits, shared *ingress.Shared, budget *limits.Budget,
) (*sparqlServer, error) {
	s := &sparqlServer{options: options, shared: shared, budget: budget}
	if options == nil {
		return s, nil
	}
	if s.remainingLimits(machine).Descriptors < minDescriptors {
		return nil, fmt.Errorf("sparql: with %d connections, fewer than %d descriptors are left for other uses",
			options.Connections, minDescriptors)
	}
	s.maxConns.Store(int64(options.Connections))
	s.openedAt = time.Now()
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// remainingLimits returns the machine's limits less the descriptors that this server needs.
func (s *sparqlServer) remainingLimits(machine config.Limits) config.Limits {
	if s.options != nil {
		machine.Descriptors -= s.options.Connections + 1 // to endpoints, and the listener
	}
	return machine
}

// protocols returns the factory of engine connections for each protocol. The factories must not be used before attach
// has returned.
func (s *sparqlServer) protocols() map[backend.Protocol]backend.Factory {
	factories := map[backend.Protocol]backend.Factory{
		backend.Line: func(limits backend.Limits) backend.Engines { return engine.NewPool(limits) },
	}
	if s.options != nil {
		factories[backend.SPARQL] = s.newEndpoints
	}
	return factories
}

func (s *sparqlServer) newEndpoints(limits backend.Limits) backend.Engines {
	limits.Conns = &s.maxConns
	return endpoint.New(limits, func(from backend.Host, signal decide.Signal) { s.gateway.UpdateDrain(from, signal) })
}

// attach connects the server to the gateway. It must be called before the gateway gets its first endpoint list.
func (s *sparqlServer) attach(gate *gateway.Gateway) {
	if s.options == nil {
		return
	}
	s.gateway = gate
	gate.SetSPARQLEndpoints(s.options.Endpoints)
	s.front = front.New(s.frontOptions(), gate)
}

func (s *sparqlServer) frontOptions() front.Options {
	o := s.options
	return front.Options{
		Path:            o.Path,
		Tenant:          o.Tenant,
		TenantHeader:    o.TenantHeader,
		Rules:           o.Rules(),
		DefaultTimeout:  milliseconds(o.TimeoutMS),
		MaxTimeout:      milliseconds(o.MaxTimeoutMS),
		Services:        o.Services,
		Shared:          s.shared,
		Budget:          s.budget,
		MaxFingerprints: maxFingerprints,
		MaxKeys:         o.IdempotencyKeys,
		KeyWindow:       milliseconds(o.IdempotencyWindowMS),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// start serves clients in the background.
func (s *sparqlServer) start() {
	if s.options == nil {
		return
	}
	slog.Info("serving_sparql", "address", s.listener.Addr(), "path", s.options.Path,
		"endpoints", len(s.options.Endpoints))
	go s.front.Serve(s.listener, s.openedAt)
}

// pendingAnswers returns the number of pending answers.
func (s *sparqlServer) pendingAnswers() int64 {
	if s.options == nil {
		return 0
	}
	return s.front.PendingAnswers()
}

func (s *sparqlServer) close() {
	if s.options == nil {
		return
	}
	s.front.Close()
	_ = s.listener.Close() // the front has already closed it, unless start was never called
}
