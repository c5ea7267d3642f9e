package backend

import (
	"time"

	"swiftreel/internal/counters"
)

// Each is the engines of all protocols: what concerns an engine goes to the implementation of its own. One of a protocol
// that nothing here speaks cannot be reached.
type Each struct {
	by map[Protocol]Engines
}

// Make makes the engines of one protocol.
type Make func(Bounds) Engines

// NewEach makes all.
func NewEach(makes map[Protocol]Make, b Bounds) *Each {
	e := &Each{by: map[Protocol]Engines{}}
	for p, of := range makes {
		e.by[p] = of(b)
	}
	return e
}

// Start implements Engines.
func (e *Each) Start(to Host, r Request, reply func(Reply)) Dispatch {
	if of := e.by[to.Protocol]; of != nil {
		return of.Start(to, r, reply)
	}
	counters.Increment("protocols_unknown")
	reply(Reply{End: NotConnected})
	return ended{}
}

// Probe implements Engines.
func (e *Each) Probe(to Host, load bool, limit time.Duration, reply func(Reply)) {
	if of := e.by[to.Protocol]; of != nil {
		of.Probe(to, load, limit, reply)
		return
	}
	counters.Increment("protocols_unknown")
	reply(Reply{End: NotConnected})
}

// CloseIdle implements Engines.
func (e *Each) CloseIdle(name string) {
	for _, of := range e.by {
		of.CloseIdle(name)
	}
}

// Out implements Engines.
func (e *Each) Out(name string) (open, givenUp int) {
	for _, of := range e.by {
		o, g := of.Out(name)
		open, givenUp = open+o, givenUp+g
	}
	return open, givenUp
}

// Free implements Engines: all charge one count of bytes.
func (e *Each) Free(pages [][]byte) {
	for _, of := range e.by {
		of.Free(pages)
		return
	}
}

// Close implements Engines.
func (e *Each) Close() {
	for _, of := range e.by {
		of.Close()
	}
}

// ended is a dispatch whose end was told before it began.
type ended struct{}

func (ended) GiveUp(func()) bool { return false }
func (ended) Renice(uint8)       {}
