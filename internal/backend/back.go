// Package backend is what the gateway knows of engines, whatever protocol they speak: dispatches, aborts, probes and their
// outcomes. Each protocol is an implementation of Engines; the gateway chooses none, an engine's entry in the list does.
package backend

import (
	"time"

	"swiftreel/internal/limits"
)

// Protocol is what an engine speaks.
type Protocol string

// The protocols. Line is the engines' line protocol, the platform's own; where nothing else is told, it is that.
const (
	Line   Protocol = ""
	SPARQL Protocol = "sparql"
)

// Host is an engine by its name; its address may change, and may have been another's.
type Host struct {
	Name, Address string
	Protocol      Protocol
}

// Bounds are the settings and limits of the connections.
type Bounds struct {
	Dial, Idle time.Duration // a connection not made by then has failed; one unused so long is closed
	Step       time.Duration // from a close of ours until what was out there is told of: what is sent upon that must not overtake it
	Streams    int           // on one connection
	Conns      *limits.Count // over all engines
	Bytes      *limits.Bytes // of the results in hand
}

// Engines carries dispatches to all engines of a protocol. No method waits for a read, write or dial, but Probe may.
type Engines interface {
	// Start sends a dispatch. All that becomes of it is told to reply, in order, the end once and last.
	Start(to Host, r Request, reply func(Reply)) Dispatch
	// Probe asks an engine for its load, or only whether it is well. One that takes over the limit has timed out.
	Probe(to Host, load bool, limit time.Duration, reply func(Reply))
	// CloseIdle closes the idle connections to an engine.
	CloseIdle(name string)
	// Out tells how many dispatches are open at an engine, and how many were given up there and may still be out.
	Out(name string) (open, givenUp int)
	// Free gives back what a result's pages hold.
	Free(pages [][]byte)
	// Close ends all connections; what is out ends as reset.
	Close()
}

// Dispatch is one that was started and whose end has not been told.
type Dispatch interface {
	// GiveUp tells the engine that nobody waits any more. False means that the end was told, or is being told. Else done is
	// called once nothing of it can be out: when the engine has read so, or the connection has ended.
	GiveUp(done func()) bool
	// Renice gives it a new priority, where the protocol can.
	Renice(priority uint8)
}

// Request is what a dispatch sends.
type Request struct {
	ID, Type, Statement []byte
	Idempotency         []byte // the key under which the engine does it once; empty: none
	WaitMS              int64
	GrantMB             float64
	Priority            uint8
	Lane                Lane
	Ordered             time.Time // it is not sent later than the dial time-out after this
	Until               time.Time // nor later than this; zero: no such bound
}

// Lane keeps apart what may be broken off, to be sent again elsewhere, from what may not: a connection that falls
// silent is closed to free what was called back on it, and nothing else may be lost by that.
type Lane uint8

// The lanes.
const (
	MayRepeat Lane = iota // and probes
	MayNot
)

// End is how a dispatch or a probe ended, as the protocol tells it.
type End uint8

// The ends. Open marks a reply that does not end anything.
const (
	Open         End = iota
	Done             // all pages are in hand; of a probe: well
	Failed           // error, lost pages, or an answer that cannot be read: it may have run
	Full             // it never ran
	Moot             // it never ran
	NotConnected     // it never ran
	Reset            // it may have run
	TimedOut         // a probe only: whoever waits for a dispatch gives it up
)

// Reply is what is told of a dispatch or a probe.
type Reply struct {
	End    End
	Pages  [][]byte // Done: the result, in order, charged to the bounds' bytes until Free
	Load   string   // the report, as in inflight:7;util:0.61
	WorkMS float64
	RoomMB float64
	Note   string // Open: frac, missing or parked
	Amount float64
}
