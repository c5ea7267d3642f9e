package engine

import (
	"slices"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// fetchOverhead is room for what a fetch command has beside the statement, in bytes.
const fetchOverhead = 128

// dispatchState is where a dispatch stands.
type dispatchState uint8

const (
	stateQueued     dispatchState = iota // waits for its connection to be dialled
	stateSending                         // its turn to be written has come
	stateDispatched                      // out at the engine
	stateEnded                           // its end was notified, or is about to be
)

// Dispatch is a dispatch or probe whose end was not notified yet. It implements backend.Dispatch and is safe for
// concurrent use.
type Dispatch struct {
	pool      *Pool
	id        string
	reply     func(backend.Reply)
	orderedAt time.Time
	isProbe   bool
	lane      backend.Lane
	probe     []byte           // the command of a probe
	request   *backend.Request // of a dispatch, until it is sent; read by its sender only

	// Guarded by the pool's lock.
	moves         int // to another connection, with no byte out
	conn          *conn
	state         dispatchState
	writtenAt     time.Time
	reservedBytes int // of pages

	// Used by the connection's reader only.
	noteCount    int
	result       backend.Reply
	pages        [][]byte // nil until the first answer
	missingPages int
}

// proceed goes on from an assignment, without waiting for a write. A dispatch on a connection that is still being
// dialled is sent by that.
func (d *Dispatch) proceed(state dispatchState) {
	switch state {
	case stateSending:
		go d.conn.send(d) // an engine that takes no bytes must not hold up whoever answers the job
	case stateEnded:
		counters.Increment("engine_conns_full")
		d.notifyEnd(backend.Reply{Outcome: backend.Full}) // it never ran, and the engine refused nothing
	case stateQueued, stateDispatched:
	}
}

// markDispatched marks a dispatch as out. The lock is held.
func (d *Dispatch) markDispatched() {
	d.state = stateDispatched
}

// notifyEnd passes on the end. Whoever sets the state to ended calls it, once.
func (d *Dispatch) notifyEnd(r backend.Reply) { d.reply(r) }

// end frees the place of a dispatch that has not ended, and passes on its end.
func (d *Dispatch) end(r backend.Reply) {
	d.pool.mu.Lock()
	wasOpen := d.state != stateEnded
	if wasOpen {
		r.ConnectedAt = d.conn.connectedAt
		d.conn.release(d)
		d.close(r.Outcome)
		if r.Outcome != backend.Done { // it may be sent again, and the answer to this one come twice
			d.conn.rememberID(d.id)
		}
	}
	d.pool.mu.Unlock()
	if wasOpen {
		d.notifyEnd(r)
	}
}

// close marks a dispatch as ended; pages that nobody gets are freed. The lock is held.
func (d *Dispatch) close(end backend.Outcome) {
	d.state = stateEnded
	if end != backend.Done {
		d.pool.bounds.ResultBytes.Release(d.reservedBytes)
		d.reservedBytes = 0
	}
}

// cutOff closes the connection of a dispatch for which an answer came that makes no sense: it may go on running, until
// the engine sees the close. So it ends as reset, with all that is open there, and not before the cancel delay. Only
// the connection's reader calls it.
func (d *Dispatch) cutOff(reason string) {
	p := d.pool
	d.conn.isCutOff = true
	p.mu.Lock()
	d.conn.isCutByUs = true
	p.remove(d.conn, closedMalformed)
	p.mu.Unlock()
	p.noteUnusable(d.conn, reason)
}

// failMalformed ends a dispatch whose result came and cannot be used: it has run. A connection that carried such an
// answer is of no further use for others either.
func (d *Dispatch) failMalformed(reason string) {
	p := d.pool
	p.mu.Lock()
	wasOpen := d.state != stateEnded
	if wasOpen {
		d.conn.release(d)
		d.close(backend.Failed)
		d.conn.isCutByUs = true
		p.remove(d.conn, closedMalformed) // its reader ends the others
	}
	p.mu.Unlock()
	if wasOpen {
		p.noteUnusable(d.conn, reason)
		d.notifyEnd(backend.Reply{Outcome: backend.Failed})
	}
}

// awaitGate waits until it can be decided whether the dispatch may be sent. No lock is held.
func (d *Dispatch) awaitGate() {
	if !d.isProbe {
		d.request.Gate.Await()
	}
}

// permission asks whether the dispatch may be sent now. A probe always may.
func (d *Dispatch) permission() backend.Permission {
	if d.isProbe {
		return backend.Permission{Granted: true}
	}
	return d.request.Gate.Permit()
}

// withdraw gives a permission back of which no use was made.
func (d *Dispatch) withdraw(granted backend.Permission) {
	if granted.Granted && !d.isProbe {
		d.request.Gate.Withdraw()
	}
}

// appendCommand appends the command of a dispatch that was permitted.
func (d *Dispatch) appendCommand(b []byte, granted backend.Permission) []byte {
	if d.isProbe {
		return append(b, d.probe...)
	}
	b = slices.Grow(b, len(d.request.Statement)+fetchOverhead)
	return appendFetch(b, d.request, granted.TimeoutMS)
}

// SetPriority gives a dispatch that is out a new priority.
func (d *Dispatch) SetPriority(priority uint8) {
	d.pool.mu.Lock()
	isOut := d.state == stateDispatched
	c := d.conn
	d.pool.mu.Unlock()
	if isOut {
		c.write(appendNumberCommand(nil, commandRenice, d.id, int(priority)))
	}
}
