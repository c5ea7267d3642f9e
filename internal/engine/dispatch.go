package engine

import (
	"slices"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// fetchOverhead is the buffer space reserved for a fetch command without its statement, in bytes.
const fetchOverhead = 128

// dispatchState is the state of a dispatch.
type dispatchState uint8

const (
	stateQueued     dispatchState = iota // waits for its connection to be dialled
	stateSending                         // the dispatch is being written, or is about to be
	stateDispatched                      // in flight at the engine
	stateEnded                           // the outcome was reported, or is about to be
)

// Dispatch is a dispatch or probe whose outcome was not reported yet. It implements backend.Dispatch and is safe for
// concurrent use.
type Dispatch struct {
	pool      *Pool
	id        string
	reply     func(backend.Reply)
	decidedAt time.Time
	isProbe   bool
	lane      backend.Lane
	probe     []byte           // the command of a probe
	request   *backend.Request // of a dispatch, until it is sent; used by its sender only

	// Guarded by the pool's lock.
	moves         int // to another connection, before any byte was sent
	conn          *conn
	state         dispatchState
	writtenAt     time.Time
	reservedBytes int // of the memory budget, for result pages

	// Used by the connection's reader goroutine only.
	noticeCount  int
	result       backend.Reply
	pages        [][]byte // nil until the first data answer
	missingPages int      // pages of the result that have not arrived
}

// proceed continues after assign, without waiting for a write. A dispatch on a connection that is still being dialled
// is sent by the goroutine that dials it.
func (d *Dispatch) proceed(state dispatchState) {
	switch state {
	case stateSending:
		go d.conn.send(d) // a write to an engine that reads nothing must not block the caller, which answers the job
	case stateEnded:
		counters.Increment("engine_conns_full")
		d.notifyEnd(backend.Reply{Outcome: backend.Full}) // the dispatch never ran, and the engine did not refuse it
	case stateQueued, stateDispatched:
	}
}

// markDispatched marks a dispatch as in flight. The pool's lock is held.
func (d *Dispatch) markDispatched() {
	d.state = stateDispatched
}

// notifyEnd reports the outcome. It is called once, by whoever sets stateEnded.
func (d *Dispatch) notifyEnd(r backend.Reply) { d.reply(r) }

// end ends a dispatch that has not ended yet and reports its outcome.
func (d *Dispatch) end(r backend.Reply) {
	d.pool.mu.Lock()
	wasOpen := d.state != stateEnded
	if wasOpen {
		r.ConnectedAt = d.conn.connectedAt
		d.conn.release(d)
		d.markEnded(r.Outcome)
		if r.Outcome != backend.Done { // the id may be sent again, and a second copy of this answer may arrive
			d.conn.rememberID(d.id)
		}
	}
	d.pool.mu.Unlock()
	if wasOpen {
		d.notifyEnd(r)
	}
}

// markEnded marks a dispatch as ended and frees pages that are not delivered. The pool's lock is held.
func (d *Dispatch) markEnded(end backend.Outcome) {
	d.state = stateEnded
	if end != backend.Done {
		d.pool.limits.ResultBytes.Release(d.reservedBytes)
		d.reservedBytes = 0
	}
}

// closeForInvalidAnswer closes the connection of a dispatch that received an answer which the protocol does not allow.
// The dispatch may run on until the engine notices the close, so it ends as Reset after CancelDelay, with all others
// open on the connection. Only the connection's reader calls it.
func (d *Dispatch) closeForInvalidAnswer(reason string) {
	p := d.pool
	d.conn.hasInvalidAnswer = true
	p.mu.Lock()
	d.conn.isClosedLocally = true
	p.remove(d.conn, closedMalformed)
	p.mu.Unlock()
	p.logInvalidAnswer(d.conn, reason)
}

// failInvalidResult ends a dispatch whose result arrived and cannot be used: it has run. The connection is closed, as
// it can no longer be trusted for other dispatches either.
func (d *Dispatch) failInvalidResult(reason string) {
	p := d.pool
	p.mu.Lock()
	wasOpen := d.state != stateEnded
	if wasOpen {
		d.conn.release(d)
		d.markEnded(backend.Failed)
		d.conn.isClosedLocally = true
		p.remove(d.conn, closedMalformed) // the reader of the connection ends the others
	}
	p.mu.Unlock()
	if wasOpen {
		p.logInvalidAnswer(d.conn, reason)
		d.notifyEnd(backend.Reply{Outcome: backend.Failed})
	}
}

// awaitGate waits until the gate can decide whether the dispatch may be sent. No lock is held.
func (d *Dispatch) awaitGate() {
	if !d.isProbe {
		d.request.Gate.AwaitPendingInput()
	}
}

// requestPermission asks whether the dispatch may be sent now. A probe always may.
func (d *Dispatch) requestPermission() backend.Permission {
	if d.isProbe {
		return backend.Permission{Granted: true}
	}
	return d.request.Gate.Permit()
}

// withdrawPermission returns a permission that was not used.
func (d *Dispatch) withdrawPermission(granted backend.Permission) {
	if granted.Granted && !d.isProbe {
		d.request.Gate.Withdraw()
	}
}

// appendCommand appends the command of a permitted dispatch.
func (d *Dispatch) appendCommand(b []byte, granted backend.Permission) []byte {
	if d.isProbe {
		return append(b, d.probe...)
	}
	b = slices.Grow(b, len(d.request.Statement)+fetchOverhead)
	return appendFetch(b, d.request, granted.TimeoutMS)
}

// SetPriority changes the priority of a dispatch in flight.
func (d *Dispatch) SetPriority(priority uint8) {
	d.pool.mu.Lock()
	isInFlight := d.state == stateDispatched
	c := d.conn
	d.pool.mu.Unlock()
	if isInFlight {
		c.write(appendNumberCommand(nil, commandRenice, d.id, int(priority)))
	}
}
