// Package backend defines how the gateway uses engines, whatever protocol they speak: dispatches, cancellations,
// probes and their outcomes.
//
// Each protocol is an implementation of Engines. Mux joins them; the entry of an engine in the endpoint list decides
// which one it is reached by. All implementations are safe for concurrent use.
package backend

import (
	"time"

	"swiftreel/internal/limits"
)

// Protocol names what an engine speaks.
type Protocol string

// The protocols.
const (
	Line   Protocol = "" // the engines' line protocol, the default
	SPARQL Protocol = "sparql"
)

// Host says where an engine is reached. The name identifies it; the address may change, and may have been another
// engine's.
type Host struct {
	Name     string
	Address  string
	Protocol Protocol
}

// Limits are the bounds of the connections to engines.
type Limits struct {
	DialTimeout time.Duration // a connection that is not up by then has failed
	IdleTimeout time.Duration // a connection that was not used for so long is closed
	// CancelDelay is the time from closing a connection until the end of what was in flight on it is reported: what is
	// sent upon that report must not overtake the close.
	CancelDelay    time.Duration
	StreamsPerConn int
	Conns          *limits.Count // over all engines
	ResultBytes    *limits.Bytes // of results in memory
}

// Engines sends dispatches to all engines of a protocol. Only Probe may wait for a read, write or dial.
type Engines interface {
	// Start sends a dispatch. Reply is called with notices in order and, last and once, with the outcome; not at all after
	// Dispatch.Cancel has returned true.
	Start(to Host, request Request, reply func(Reply)) Dispatch
	// Probe asks an engine for its load, or only whether it answers. Reply is called once, with TimedOut after the
	// timeout.
	Probe(to Host, load bool, timeout time.Duration, reply func(Reply))
	// CloseIdle closes the idle connections to an engine.
	CloseIdle(name string)
	// InFlight returns how many dispatches are open at an engine, and how many were cancelled and may still run there.
	InFlight(name string) (open, cancelled int)
	// Release returns the memory of a result's pages.
	Release(pages [][]byte)
	// Close ends all connections; what is in flight ends as Reset.
	Close()
}

// Dispatch is one that was started and whose outcome was not reported yet.
type Dispatch interface {
	// Cancel tells the engine that nobody waits any more. False means that the outcome was or is being reported.
	// Otherwise done is called once nothing of the dispatch can be in flight: the engine has read the cancellation, or
	// the connection has ended.
	Cancel(done func()) bool
	// SetPriority changes the priority, if the protocol can.
	SetPriority(priority uint8)
}

// Request is what a dispatch sends.
type Request struct {
	ID             []byte // of the job's call; it identifies the dispatch at the engine
	Type           []byte // name of the job type
	Statement      []byte
	IdempotencyKey []byte // the engine runs requests of one key once; empty: none
	GrantMB        float64
	Priority       uint8
	Lane           Lane
	OrderedAt      time.Time
	Gate           Gate
}

// Gate is asked before the first byte of a dispatch goes out. It is safe for concurrent use.
type Gate interface {
	// Await waits, no longer than the order of the dispatch holds, until what Permit relies on is read as far as it has
	// come to this process. It is called before Permit, with no lock held.
	Await()
	// Permit is asked in the moment in which the first byte would go out, however long the order, the dial or a move to
	// another connection took, and again for each connection that is tried. It does not wait.
	Permit() Permission
	// Withdraw is called after a permission was granted and no byte went out.
	Withdraw()
}

// Permission says whether a dispatch may be sent now. One that may not has the outcome Superseded.
type Permission struct {
	Granted   bool
	TimeoutMS int64     // how long the engine may take, from now on
	ExpiresAt time.Time // the process may stall: what was permitted must not be begun later; zero: never
}

// Lane separates dispatches that may be broken off, to be sent again elsewhere, from those that may not: a connection
// that falls silent is closed to free what was cancelled on it, and nothing else may be lost by that.
type Lane uint8

// The lanes.
const (
	Restartable Lane = iota // also probes
	RunOnce
)

// Outcome is how a dispatch or a probe ended.
type Outcome uint8

// The outcomes. Full, Superseded, NotConnected and DialFailed prove that the dispatch never ran.
const (
	Running      Outcome = iota // not an end: the reply is a notice
	Done                        // all pages are in memory; of a probe: the engine answers
	Failed                      // an error, lost pages, or an answer that cannot be read: it may have run
	Full                        // the engine refused it
	Superseded                  // it was not sent: too late
	NotConnected                // the engine refused the connection: nobody listens there
	Reset                       // the connection broke: it may have run
	TimedOut                    // of a probe only: a dispatch is cancelled instead
	DialFailed                  // no connection came up in time, or it broke before a byte went out
)

// Reply is what is reported of a dispatch or a probe.
type Reply struct {
	Outcome  Outcome
	Pages    [][]byte // Done: the result, in order, charged to Limits.ResultBytes until Release
	Load     string   // the load report as the engine sent it, such as inflight:7;util:0.61
	WorkMS   float64  // that it took, if the engine reports it
	MemoryMB float64  // that it used, if the engine reports it
	Notice   string   // Running: frac, missing or parked
	Amount   float64  // of the notice

	ConnectedAt time.Time // when the connection came up over which the engine answered; zero: not known
}
