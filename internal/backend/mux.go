package backend

import (
	"time"

	"swiftreel/internal/counters"
)

// Factory creates the Engines of one protocol.
type Factory func(Limits) Engines

// Mux implements Engines for all protocols: it forwards calls to the implementation of the host's protocol. Hosts of an
// unknown protocol count as not connected.
type Mux struct {
	protocols map[Protocol]Engines // immutable
}

// NewMux creates a Mux. All protocols share the limits.
func NewMux(factories map[Protocol]Factory, limits Limits) *Mux {
	m := &Mux{protocols: map[Protocol]Engines{}}
	for protocol, newEngines := range factories {
		m.protocols[protocol] = newEngines(limits)
	}
	return m
}

// Start implements Engines.
func (m *Mux) Start(to Host, request Request, reply func(Reply)) Dispatch {
	if engines := m.protocols[to.Protocol]; engines != nil {
		return engines.Start(to, request, reply)
	}
	counters.Increment("protocols_unknown")
	reply(Reply{Outcome: NotConnected})
	return endedDispatch{}
}

// Probe implements Engines.
func (m *Mux) Probe(to Host, load bool, timeout time.Duration, reply func(Reply)) {
	if engines := m.protocols[to.Protocol]; engines != nil {
		engines.Probe(to, load, timeout, reply)
		return
	}
	counters.Increment("protocols_unknown")
	reply(Reply{Outcome: NotConnected})
}

// CloseIdle implements Engines.
func (m *Mux) CloseIdle(name string) {
	for _, engines := range m.protocols {
		engines.CloseIdle(name)
	}
}

// InFlight implements Engines.
func (m *Mux) InFlight(name string) (open, cancelled int) {
	for _, engines := range m.protocols {
		openThere, cancelledThere := engines.InFlight(name)
		open += openThere
		cancelled += cancelledThere
	}
	return open, cancelled
}

// Release implements Engines. Any implementation can do this, as all charge the same byte budget.
func (m *Mux) Release(pages [][]byte) {
	for _, engines := range m.protocols {
		engines.Release(pages)
		return
	}
}

// Close implements Engines.
func (m *Mux) Close() {
	for _, engines := range m.protocols {
		engines.Close()
	}
}

// endedDispatch is a dispatch whose outcome was already reported.
type endedDispatch struct{}

// Cancel implements Dispatch.
func (endedDispatch) Cancel(func()) bool { return false }

// SetPriority implements Dispatch.
func (endedDispatch) SetPriority(uint8) {}
