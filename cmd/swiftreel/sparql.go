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
	"swiftreel/internal/limits"
	"swiftreel/internal/operator"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
	"swiftreel/internal/sparql/front"
)

// maxFingerprints is for how many fingerprints of queries the cost is remembered, about 150 bytes each.
const maxFingerprints = 4096

// minSockets is how many descriptors the rest of the program needs.
const minSockets = 64

// sparqlServer is the SPARQL front, and the connections to SPARQL endpoints. If the protocol is off, options is nil and
// no method has an effect.
type sparqlServer struct {
	options  *operator.SPARQL
	listener net.Listener
	conns    limits.Count     // to endpoints
	gateway  *gateway.Gateway // set by attach
	front    *front.Front     // set by attach
}

// newSPARQLServer listens for clients, unless options is nil. Its connections must leave enough of the descriptors.
func newSPARQLServer(options *operator.SPARQL, machine config.Limits) (*sparqlServer, error) {
	s := &sparqlServer{options: options}
	if options == nil {
		return s, nil
	}
	if s.remainingLimits(machine).Sockets < minSockets {
		return nil, fmt.Errorf("sparql: %d connections leave under %d of the descriptors to the rest",
			options.Connections, minSockets)
	}
	s.conns.Store(int64(options.Connections))
	listener, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// remainingLimits returns what its connections leave of the machine's limits.
func (s *sparqlServer) remainingLimits(machine config.Limits) config.Limits {
	if s.options != nil {
		machine.Sockets -= 2*s.options.Connections + 1 // clients, endpoints and the listener
	}
	return machine
}

// protocols returns how engines are reached, by protocol. The factories must not be used before attach has returned.
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
	limits.Conns = &s.conns
	return endpoint.New(limits, func(name string, signal decide.Signal) { s.gateway.UpdateDrain(name, signal) })
}

// attach connects it with the gateway. It must be called before the gateway gets its first list of engines.
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
		Conns:           o.Connections,
		MaxFingerprints: maxFingerprints,
		MaxKeys:         o.IdempotencyKeys,
		KeyWindow:       milliseconds(o.IdempotencyWindowMS),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// start begins to serve clients. It does not wait.
func (s *sparqlServer) start() {
	if s.options == nil {
		return
	}
	slog.Info("serving_sparql", "address", s.listener.Addr(), "path", s.options.Path,
		"endpoints", len(s.options.Endpoints))
	go s.front.Serve(s.listener)
}

// owed returns how many answers are owed to clients.
func (s *sparqlServer) owed() int64 {
	if s.options == nil {
		return 0
	}
	return s.front.Owed()
}

func (s *sparqlServer) close() {
	if s.options == nil {
		return
	}
	s.front.Close()
	_ = s.listener.Close() // the front has closed it, unless it never served
}
