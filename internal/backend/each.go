package backend

import (
	"time"

	"swiftreel/internal/counters"
)

// Mux is the engines of all protocols: what concerns an engine goes to the implementation of its own. One of a protocol
// that nothing here speaks cannot be reached.
type Mux struct {
	by map[Protocol]Engines
}

// Factory makes the engines of one protocol.
type Factory func(Limits) Engines

// NewMux makes all.
func NewMux(makes map[Protocol]Factory, b Limits) *Mux {
	e := &Mux{by: map[Protocol]Engines{}}
	for p, of := range makes {
		e.by[p] = of(b)
	}
	return e
}

// Start implements Engines.
func (e *Mux) Start(to Host, r Request, reply func(Reply)) Dispatch {
	if of := e.by[to.Protocol]; of != nil {
		return of.Start(to, r, reply)
	}
	counters.Increment("protocols_unknown")
	reply(Reply{Outcome: NotConnected})
	return ended{}
}

// Probe implements Engines.
func (e *Mux) Probe(to Host, load bool, limit time.Duration, reply func(Reply)) {
	if of := e.by[to.Protocol]; of != nil {
		of.Probe(to, load, limit, reply)
		return
	}
	counters.Increment("protocols_unknown")
	reply(Reply{Outcome: NotConnected})
}

// CloseIdle implements Engines.
func (e *Mux) CloseIdle(name string) {
	for _, of := range e.by {
		of.CloseIdle(name)
	}
}

// InFlight implements Engines.
func (e *Mux) InFlight(name string) (open, givenUp int) {
	for _, of := range e.by {
		o, g := of.InFlight(name)
		open, givenUp = open+o, givenUp+g
	}
	return open, givenUp
}

// Release implements Engines: all charge one count of bytes.
func (e *Mux) Release(pages [][]byte) {
	for _, of := range e.by {
		of.Release(pages)
		return
	}
}

// Close implements Engines.
func (e *Mux) Close() {
	for _, of := range e.by {
		of.Close()
	}
}

// ended is a dispatch whose end was told before it began.
type ended struct{}

func (ended) Cancel(func()) bool { return false }
func (ended) SetPriority(uint8)  {}
