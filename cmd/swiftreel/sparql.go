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

// mostShapes is how many shapes of texts are remembered with their cost, about 150 bytes each.
const mostShapes = 4096

// leastSockets is what the rest of the program needs of the descriptors.
const leastSockets = 64

// side is the SPARQL side of the program; where it is off its parts are nil and its methods do nothing.
type side struct {
	o        *operator.SPARQL
	listener net.Listener
	conns    limits.Count
	gate     *gateway.Gateway
	front    *front.Front
}

// newSide listens.
func newSide(o *operator.SPARQL, l config.Limits) (*side, error) {
	s := &side{o: o}
	if o == nil {
		return s, nil
	}
	if s.leaves(l).Sockets < leastSockets {
		return nil, fmt.Errorf("sparql: %d connections leave under %d of the descriptors to the rest", o.Connections, leastSockets)
	}
	s.conns.Store(int64(o.Connections))
	var err error
	s.listener, err = net.Listen("tcp4", o.Listen)
	return s, err
}

// leaves is what of the machine's limits is left beside its connections.
func (s *side) leaves(l config.Limits) config.Limits {
	if s.o != nil {
		l.Sockets -= 2*s.o.Connections + 1
	}
	return l
}

// speak is what speaks with engines, by their protocol.
func (s *side) speak() map[backend.Protocol]backend.Make {
	list := map[backend.Protocol]backend.Make{backend.Line: func(b backend.Bounds) backend.Engines { return engine.NewPool(b) }}
	if s.o != nil {
		list[backend.SPARQL] = func(b backend.Bounds) backend.Engines {
			b.Conns = &s.conns
			return endpoint.New(b, func(name string, w decide.Word) { s.gate.Heard(name, w) })
		}
	}
	return list
}

// join comes before any list.
func (s *side) join(g *gateway.Gateway) {
	if s.o == nil {
		return
	}
	s.gate = g
	g.Endpoints(s.o.Endpoints)
	s.front = front.New(front.Options{Path: s.o.Path, Tenant: s.o.Tenant, TenantHeader: s.o.TenantHeader, Rules: s.o.Rules(),
		Usual: time.Duration(s.o.TimeoutMS) * time.Millisecond, Most: time.Duration(s.o.MostTimeoutMS) * time.Millisecond,
		Services: s.o.Services, Conns: s.o.Connections, Shapes: mostShapes, Marks: s.o.Marks,
		Window: time.Duration(s.o.MarkWindowMS) * time.Millisecond}, g)
}

func (s *side) serve() {
	if s.o != nil {
		slog.Info("serving_sparql", "address", s.listener.Addr(), "path", s.o.Path, "endpoints", len(s.o.Endpoints))
		go s.front.Serve(s.listener)
	}
}

func (s *side) owed() int64 {
	if s.o == nil {
		return 0
	}
	return s.front.Owed()
}

func (s *side) close() {
	if s.o != nil {
		s.front.Close()
		s.listener.Close()
	}
}
