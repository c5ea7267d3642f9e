package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// probe asks an engine for its load and reports the outcome to the module. An engine that is no longer in the table is
// reported as not connected.
func (g *Gateway) probe(id choice.EngineID) {
	host, known := g.probeHost(id)
	startedAt := time.Now()
	report := func(reply backend.Reply) {
		g.notify(choice.Event{
			Kind:    choice.ProbeCompleted,
			Engine:  id,
			Result:  results[reply.Outcome],
			Latency: choice.Nanos(time.Since(startedAt)),
			Load:    g.settings.parseLoad(reply.Load),

			ConnectedAt: g.clock.connectedAt(reply),
		})
	}
	if !known {
		report(backend.Reply{Outcome: backend.NotConnected})
		return
	}
	g.sendProbe(host, report)
	if testHooks.extraProbes != nil {
		for range testHooks.extraProbes() {
			g.sendProbe(host, func(backend.Reply) {})
		}
	}
}

// probeHost returns the address for probes of an engine: its line protocol address, unless it speaks only SPARQL.
func (g *Gateway) probeHost(id choice.EngineID) (backend.Host, bool) {
	host, known := g.host(id, backend.Line)
	if known && host.Address == "" {
		host, _ = g.host(id, backend.SPARQL)
	}
	return host, known
}

func (g *Gateway) sendProbe(host backend.Host, report func(backend.Reply)) {
	g.stats.RecordProbe()
	go g.engines.Probe(host, g.settings.reportsLoad, g.settings.dialTimeout, report)
}
