package engine

import (
	"net"
	"slices"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// reservedShare is the part of the connections, one in so many, that is reserved for engines that have none;
// dispatches to the others share connections by then.
const reservedShare = 8

// place puts a dispatch on a connection and goes on with it.
func (p *Pool) place(to backend.Host, d *Dispatch) {
	p.mu.Lock()
	state := p.assign(to, d)
	p.mu.Unlock()
	d.proceed(state)
}

// assign puts a dispatch on a connection and returns its state, with which the caller goes on (proceed) without the
// lock, which must be held here.
//
// A malformed line, a reset or silence loses all that is open on a connection, so each dispatch gets one of its own
// while there are descriptors: an idle one, or a new one. Only then do dispatches of one lane share.
func (p *Pool) assign(to backend.Host, dispatch *Dispatch) dispatchState {
	c := p.chooseConn(to, dispatch)
	if c == nil {
		dispatch.state = stateEnded
		return stateEnded
	}
	if c.isIdle() {
		c.idleBefore = time.Since(c.idleSince)
	}
	c.open[dispatch.id] = dispatch
	c.lane = dispatch.lane
	c.idleSince = time.Time{}
	dispatch.conn = c
	if c.socket == nil {
		c.queue = append(c.queue, dispatch)
		dispatch.state = stateQueued
	} else {
		dispatch.state = stateSending
	}
	return dispatch.state
}

// chooseConn returns the connection for a dispatch; nil: there is none. The lock is held.
func (p *Pool) chooseConn(to backend.Host, d *Dispatch) *conn {
	if c := p.lastIdle(to, d); c != nil {
		return c
	}
	limit := p.bounds.Conns.Max()
	if p.connCount < limit-limit/reservedShare {
		if c := p.connect(to, d.lane); c != nil {
			return c
		}
	}
	if c := p.fewestOpen(to, d); c != nil {
		return c
	}
	return p.connect(to, d.lane)
}

// isUsable reports whether a connection may carry a dispatch: not one that may be cut off, nor one that carried the
// same id before, whose late answer could be taken for that of the dispatch. The lock is held.
func (c *conn) isUsable(to backend.Host, d *Dispatch) bool {
	return c.engine.Address == to.Address && !c.isRemoved && !c.isSuspect && !c.hasCarried(d.id)
}

// lastIdle returns the usable idle connection that was used last: the others age and are closed. The lock is held.
func (p *Pool) lastIdle(to backend.Host, d *Dispatch) *conn {
	now := time.Now()
	limit := p.idleLimit.value(now)
	var last *conn
	for _, c := range p.conns[to.Name] {
		if !c.isIdle() || now.Sub(c.idleSince) >= limit || len(c.pendingAborts) > 0 || c.reader.isPartial.Load() {
			continue
		}
		if c.isUsable(to, d) && (last == nil || c.idleSince.After(last.idleSince)) {
			last = c
		}
	}
	return last
}

// fewestOpen returns the usable connection of a dispatch's lane that carries the fewest dispatches, if it may carry
// one more. The lock is held.
func (p *Pool) fewestOpen(to backend.Host, d *Dispatch) *conn {
	var fewest *conn
	for _, c := range p.conns[to.Name] {
		if c.lane != d.lane || len(c.open) >= p.bounds.StreamsPerConn || !c.isUsable(to, d) {
			continue
		}
		if fewest == nil || len(c.open) < len(fewest.open) {
			fewest = c
		}
	}
	return fewest
}

// connect starts a connection, if need be in place of an idle one; nil: there is no room for it. The lock is held.
func (p *Pool) connect(to backend.Host, lane backend.Lane) *conn {
	if p.isClosed {
		return nil
	}
	if p.connCount >= p.bounds.Conns.Max() && !p.removeLongestIdle() {
		return nil
	}
	c := &conn{
		pool:          p,
		engine:        backend.Host{Name: to.Name, Address: to.Address},
		lane:          lane,
		open:          map[string]*Dispatch{},
		pendingAborts: map[string]func(){},
	}
	p.conns[to.Name] = append(p.conns[to.Name], c)
	p.connCount++
	go c.run()
	return c
}

// removeLongestIdle closes the connection that is idle longest and reports whether there was one. The lock is held.
func (p *Pool) removeLongestIdle() bool {
	var oldest *conn
	for _, conns := range p.conns {
		for _, c := range conns {
			if c.isIdle() && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.remove(oldest, closedForAnother)
	return true
}

// suspect marks the connections to an engine on which nothing was received since a moment after which one of them was
// found silent: a run-once job sent there would be lost, where a new connection shows at once whether the engine is
// there. The lock is held.
func (p *Pool) suspect(name string, since time.Time) {
	for _, c := range p.conns[name] {
		c.isSuspect = c.isSuspect || c.lastReceived.Before(since)
	}
}

// closeReason says why a connection is closed. It names a counter.
type closeReason string

// The reasons.
const (
	closedIdle       closeReason = "engine_conns_closed_idle"
	closedSuspect    closeReason = "engine_conns_closed_suspect"
	closedForAnother closeReason = "engine_conns_closed_for_another"
	closedOfEngine   closeReason = "engine_conns_closed_engine_removed"
	closedSilent     closeReason = "engine_conns_closed_silent" // an abort was not read
	closedMalformed  closeReason = "engine_conns_closed_malformed"
	closedBySend     closeReason = "engine_conns_closed_send_failed"
	closedLost       closeReason = "engine_conns_lost" // by the engine or the network, or cut off as of no further use
	closedUndialled  closeReason = "engine_conns_not_dialled"
	closedAtStop     closeReason = "engine_conns_closed_at_stop"
)

// remove takes a connection out of the pool and closes it; its reader ends what is open on it. The lock is held.
func (p *Pool) remove(target *conn, why closeReason) {
	if target.isRemoved {
		return
	}
	counters.Increment(string(why))
	discard := target.mayHoldUnsent()
	target.isRemoved = true
	p.connCount--
	// A new slice: callers range over the old one.
	remaining := slices.Clone(p.conns[target.engine.Name])
	remaining = slices.DeleteFunc(remaining, func(other *conn) bool { return other == target })
	if len(remaining) == 0 {
		delete(p.conns, target.engine.Name)
	} else {
		p.conns[target.engine.Name] = remaining
	}
	if target.socket != nil {
		closeSocket(target.socket, discard)
	}
}

// mayHoldUnsent reports whether something that was written, and matters no more, may not have left this machine: the
// engine took no bytes, or the way to it was cut. The lock is held.
func (c *conn) mayHoldUnsent() bool {
	return !c.isIdle() || c.isSuspect || len(c.pendingAborts) > 0
}

// closeSocket closes a socket and does not wait. Without discard the system goes on to deliver what was written; with
// it that is dropped, and the engine sees a reset: it must not begin later what was given up.
func closeSocket(socket net.Conn, discard bool) {
	if discard {
		if lingering, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingering.SetLinger(0) // an error leaves the close as it was
		}
	}
	_ = socket.Close() // what was written and not read is lost with it anyway
}
