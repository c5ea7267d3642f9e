// Package backend defines the protocol-independent interface between the gateway and engines: dispatches,
// cancellations, probes and their outcomes.
//
// Each protocol is an implementation of Engines. Mux selects the implementation by the protocol of the host. All
// implementations are safe for concurrent use.
package backend

import (
	"time"

	"swiftreel/internal/limits"
)

// Protocol is the name of a protocol between the gateway and engines.
type Protocol string

// Supported protocols.
const (
	Line   Protocol = "" // the line protocol, the default
	SPARQL Protocol = "sparql"
)

// Host is the address of an engine. The name identifies the engine; its address may change, and may have belonged to
// another engine before. The incarnation identifies the process: connections to one process are not used for another,
// even if both have the same name and address.
type Host struct {
	Name        string
	Address     string
	Protocol    Protocol
	Incarnation uint64
}

// Limits are limits on the connections to engines.
type Limits struct {
	DialTimeout time.Duration // a dial that takes longer has failed
	IdleTimeout time.Duration // a connection unused for this long is closed
	// CancelDelay is the time from closing a connection until the dispatches in flight on it are reported as ended.
	// Messages sent in reaction to that report must not overtake the close.
	CancelDelay    time.Duration
	StreamsPerConn int           // open dispatches that one connection may carry
	Conns          *limits.Limit // connections to all engines
	ResultBytes    *limits.Bytes // memory for results
}

// Engines sends dispatches to all engines of a protocol. Only Probe may block on a read, write or dial.
type Engines interface {
	// Start sends a dispatch. It calls reply for each progress notice in order, and then exactly once with the outcome. It
	// does not call reply after Dispatch.Cancel has returned true.
	Start(to Host, request Request, reply func(Reply)) Dispatch
	// Probe asks an engine for its load or, if load is false, only checks that it answers. It calls reply once, with
	// TimedOut after the timeout.
	Probe(to Host, load bool, timeout time.Duration, reply func(Reply))
	// CloseIdle closes the idle connections to an engine.
	CloseIdle(name string)
	// InFlight returns the number of open dispatches at an engine, and of cancelled ones that may still run there.
	InFlight(name string) (open, cancelled int)
	// Release releases the memory of a result's pages.
	Release(pages [][]byte)
	// Close closes all connections. Dispatches in flight end with Reset.
	Close()
}

// Dispatch is a started dispatch whose outcome was not reported yet.
type Dispatch interface {
	// Cancel cancels the dispatch at the engine. It returns false if the outcome was reported or is being reported.
	// Otherwise it calls done once nothing of the dispatch can be in flight any more: when the engine has read the
	// cancellation or the connection has ended.
	Cancel(done func()) bool
	// SetPriority changes the priority if the protocol supports this.
	SetPriority(priority uint8)
}

// Request is the content of a dispatch.
type Request struct {
	ID             []byte // of the job's call; identifies the dispatch at the engine
	Type           []byte // name of the job type
	Statement      []byte
	IdempotencyKey []byte // the engine runs requests with the same key once; empty if none
	GrantMB        float64
	Priority       uint8
	Lane           Lane
	DecidedAt      time.Time // when the decision module ordered the dispatch
	Gate           Gate
}

// Gate grants the permission to send a dispatch. It is safe for concurrent use.
type Gate interface {
	// AwaitPendingInput waits until all pending input that Permit depends on is read, at most while the dispatch may
	// still be sent. It is called before Permit, with no lock held.
	AwaitPendingInput()
	// Permit is called immediately before the first byte of the dispatch is sent, after any delay by queueing, dialing or
	// a move to another connection, and again for each connection that is tried. It does not block.
	Permit() Permission
	// Withdraw is called if no byte was sent after a permission was granted.
	Withdraw()
}

// Permission says whether a dispatch may be sent now. A dispatch without permission ends with Superseded.
type Permission struct {
	Granted   bool
	TimeoutMS int64     // time that the engine has, from now on
	ExpiresAt time.Time // the send must not begin later, as after a stall of the process; zero: no limit
}

// Lane is a class of connections. Dispatches that may be aborted and sent again elsewhere do not share connections with
// those that may not: an unresponsive connection is closed to free the dispatches cancelled on it, and this must not
// abort any dispatch that has to finish.
type Lane uint8

// The lanes. Run-once and keyed jobs use NotRestartable.
const (
	Restartable Lane = iota // also used by probes
	NotRestartable
)

// Outcome is the outcome of a dispatch or a probe.
type Outcome uint8

// The outcomes. Full, Superseded, NotConnected and DialFailed guarantee that the dispatch never ran.
const (
	Running      Outcome = iota // no outcome yet: the reply is a progress notice
	Done                        // all pages are in memory; for a probe, the engine answered
	Failed                      // an error, missing pages or a malformed answer: the dispatch may have run
	Full                        // the engine refused the dispatch
	Superseded                  // the dispatch was not sent, since it was too late
	NotConnected                // the connection was refused: no process listens at the address
	Reset                       // the connection broke: the dispatch may have run
	TimedOut                    // only for probes: a dispatch is cancelled instead
	DialFailed                  // no connection was established in time, or the connection broke before a byte was sent
	NoMemory                    // this process has no memory for the result: it may have run, by no fault of the engine
)

// Reply is a progress notice or the outcome of a dispatch or a probe.
type Reply struct {
	Outcome      Outcome
	Pages        [][]byte // Done only: the result, in order, charged to Limits.ResultBytes until Release
	Load         string   // the load report as the engine sent it, such as inflight:7;util:0.61
	WorkMS       float64  // work done, if the engine reports it
	MemoryMB     float64  // memory used, if the engine reports it
	Notice       string   // Running only: frac, missing or parked
	NoticeAmount float64  // value of the notice

	ConnectedAt time.Time // when the connection that carried the answer was established; zero if unknown
}
