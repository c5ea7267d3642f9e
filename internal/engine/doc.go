// Package engine implements the engines' line protocol over pooled TCP connections. Pool implements backend.Engines.
//
// A controller sends commands of the form COMMAND ID [FIELDS] [NUMBER] CR LF; a fetch command is followed by its
// statement. An engine answers with ID KIND FIELDS LENGTH CR LF, followed by a body of that length and CR LF. Each
// dispatch gets a connection of its own while descriptors last; beyond that, dispatches of one lane share connections,
// and answers are matched by id.
//
// # Ownership and concurrency
//
// A Pool is safe for concurrent use. It owns its connections. Each connection has one goroutine that dials, sends the
// dispatches queued during the dial, and reads answers until the connection ends. The pool's lock guards the state of
// all connections and dispatches and is never held during a read, write or dial. Replies are delivered without the
// lock: notices and results by the connection's reader, other outcomes by the goroutine that causes them. Each dispatch
// ends exactly once.
//
// # Outcomes
//
// backend.Outcome tells whether a dispatch may have run at the engine. The package sends a dispatch again only if none
// of its bytes was sent.
package engine
