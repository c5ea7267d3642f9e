package engine

import (
	"net"
	"slices"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// reservedConnDivisor sets the number of connections reserved for engines that have none: the maximum divided by it.
// Once only those are left, dispatches to other engines share connections.
const reservedConnDivisor = 8

// place assigns a dispatch to a connection and continues with it.
func (p *Pool) place(to backend.Host, d *Dispatch) {
	p.mu.Lock()
	state := p.assign(to, d)
	p.mu.Unlock()
	d.proceed(state)
}

// assign assigns a dispatch to a connection and returns its new state. The pool's lock must be held; after releasing
// it, the caller passes the state to proceed.
//
// A malformed line, a reset or a silent connection loses every dispatch open on it, so each dispatch gets an idle or a
// new connection of its own while descriptors last. Only then do dispatches of one lane share connections.
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

// chooseConn returns the connection for a dispatch, or nil if there is none. The pool's lock is held.
func (p *Pool) chooseConn(to backend.Host, d *Dispatch) *conn {
	if c := p.mostRecentlyIdle(to, d); c != nil {
		return c
	}
	limit := p.limits.Conns.Max()
	if p.connCount < limit-limit/reservedConnDivisor {
		if c := p.connect(to, d.lane); c != nil {
			return c
		}
	}
	if c := p.leastLoaded(to, d); c != nil {
		return c
	}
	return p.connect(to, d.lane)
}

// isUsable reports whether a connection may carry a dispatch. A suspect connection may not, as it may be closed soon;
// nor may one that has carried the same id, as a late answer could be mistaken for that of the new dispatch. The pool's
// lock is held.
func (c *conn) isUsable(to backend.Host, d *Dispatch) bool {
	return c.engine == to && !c.isRemoved && !c.isSuspect && !c.hasCarried(d.id)
}

// mostRecentlyIdle returns the usable idle connection that was used last, so that the others reach the idle limit and
// are closed. The pool's lock is held.
func (p *Pool) mostRecentlyIdle(to backend.Host, d *Dispatch) *conn {
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

// leastLoaded returns the usable connection of the dispatch's lane with the fewest open dispatches, or nil if none may
// carry another one. The pool's lock is held.
func (p *Pool) leastLoaded(to backend.Host, d *Dispatch) *conn {
	var fewest *conn
	for _, c := range p.conns[to.Name] {
		if c.lane != d.lane || len(c.open) >= p.limits.StreamsPerConn || !c.isUsable(to, d) {
			continue
		}
		if fewest == nil || len(c.open) < len(fewest.open) {
			fewest = c
		}
	}
	return fewest
}

// connect starts a connection, closing an idle one if the pool is full. It returns nil if there is no room. The pool's
// lock is held.
func (p *Pool) connect(to backend.Host, lane backend.Lane) *conn {
	if p.isClosed {
		return nil
	}
	if p.connCount >= p.limits.Conns.Max() && !p.removeLongestIdle() {
		return nil
	}
	c := &conn{
		pool:          p,
		engine:        to,
		lane:          lane,
		open:          map[string]*Dispatch{},
		pendingAborts: map[string]func(){},
	}
	p.conns[to.Name] = append(p.conns[to.Name], c)
	p.connCount++
	go c.run()
	return c
}

// removeLongestIdle closes the connection that has been idle longest and reports whether there was one. The pool's lock
// is held.
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
	p.remove(oldest, evictedForCapacity)
	return true
}

// markSuspect marks the connections to an engine on which nothing was received since the given time, after which one of
// them was silent. A run-once job sent over such a connection could be lost, whereas dialling a new one shows at once
// whether the engine is reachable. The pool's lock is held.
func (p *Pool) markSuspect(name string, since time.Time) {
	for _, c := range p.conns[name] {
		c.isSuspect = c.isSuspect || c.lastReceived.Before(since)
	}
}

// closeReason is the reason for closing a connection. Its value is the name of a counter.
type closeReason string

// Close reasons.
const (
	closedIdle          closeReason = "engine_conns_closed_idle"
	closedSuspect       closeReason = "engine_conns_closed_suspect"
	evictedForCapacity  closeReason = "engine_conns_closed_for_another" // idle longest, and the pool was full
	closedEngineRemoved closeReason = "engine_conns_closed_engine_removed"
	closedSilent        closeReason = "engine_conns_closed_silent" // an abort was not answered in time
	closedMalformed     closeReason = "engine_conns_closed_malformed"
	closedSendFailed    closeReason = "engine_conns_closed_send_failed"
	closedLost          closeReason = "engine_conns_lost" // ended by the engine or the network, or no longer readable
	closedDialFailed    closeReason = "engine_conns_not_dialled"
	closedAtStop        closeReason = "engine_conns_closed_at_stop"
)

// remove removes a connection from the pool and closes it; its reader ends what is open on it. The pool's lock is held.
func (p *Pool) remove(target *conn, reason closeReason) {
	if target.isRemoved {
		return
	}
	counters.Increment(string(reason))
	discard := target.mayHaveUnsentData()
	target.isRemoved = true
	p.connCount--
	// Cloned, as callers iterate over the current slice.
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

// mayHaveUnsentData reports whether data that is no longer wanted may still be in this machine's send buffer, because
// the engine read nothing or could not be reached. The pool's lock is held.
func (c *conn) mayHaveUnsentData() bool {
	return !c.isIdle() || c.isSuspect || len(c.pendingAborts) > 0
}

// closeSocket closes a socket without blocking. Without discard, the operating system still delivers data already
// written. With discard, that data is dropped and the engine sees a reset, so that it cannot start a dispatch that was
// cancelled.
func closeSocket(socket net.Conn, discard bool) {
	if discard {
		if lingering, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingering.SetLinger(0) // after an error the close does not discard
		}
	}
	_ = socket.Close() // an error is irrelevant: unread data is lost anyway
}
