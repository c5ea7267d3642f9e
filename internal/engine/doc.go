// Package engine speaks the line protocol of query engines over pooled TCP connections. It implements
// backend.Engines.
//
// A controller writes commands (COMMAND ID [FIELDS] [NUMBER], CR LF; fetch has a statement behind its line), an
// engine answers with ID KIND FIELDS LENGTH, CR LF, a body of that length, CR LF. Each dispatch gets a connection of
// its own while descriptors last; then dispatches of one lane share connections, and answers are matched by id.
//
// # Ownership and concurrency
//
// A Pool is safe for concurrent use. It owns its connections; each has one goroutine that dials, sends what waited
// for the dial, and reads answers until the connection ends. The pool's lock guards the state of all connections and
// dispatches and is never held over a read, write or dial. Replies are delivered without the lock: notes and the
// result by the connection's reader, other ends by whoever caused them. Each dispatch ends exactly once.
//
// # What an end proves
//
// backend.Outcome tells whether a dispatch may have run at the engine. The package never sends a dispatch twice
// unless no byte of it went out.
package engine
