package ingress

import (
	"time"

	"swiftreel/internal/counters"
)

// MinSilentAge is the age from which on a connection without any input may be evicted.
const MinSilentAge = 50 * time.Millisecond

const (
	minPartialAge  = time.Second     // before a connection with an incomplete first request may be evicted
	floodShare     = 8               // silent connections are a flood if they exceed one in floodShare of all
	clientIdleTime = 5 * time.Second // regular clients close a connection after 4 s without use
)

// evictOne tries to evict a connection, and reports whether it did. The chosen connection is kept if it has just become
// active. t.mu must be held.
func (t *Table) evictOne(now time.Time) bool {
	found := t.evictionCandidates(now)
	evicted := found.best(now, len(t.conns))
	switch {
	case evicted != nil && evicted.HalfCloseIfIdle():
		counters.Increment("client_conns_evicted")
		t.linger(evicted)
		return true
	case evicted == nil && found.oldestPartial != nil && found.oldestPartial.HalfCloseIfSilent():
		counters.Increment("partial_messages_evicted")
		t.linger(found.oldestPartial)
		return true
	}
	return false
}

// evictionCandidates examines all connections. t.mu must be held.
func (t *Table) evictionCandidates(now time.Time) candidates {
	var found candidates
	for c := range t.conns {
		found.consider(c, now)
	}
	return found
}

// candidates are the connections that may be evicted.
type candidates struct {
	silentCount   int  // connections on which no complete request was read
	oldestSilent  Conn // without any input and at least MinSilentAge old
	oldestPartial Conn // minPartialAge old, first request incomplete: such clients could use up all connections
	longestIdle   Conn
	idleSince     time.Time // last use of longestIdle
}

// best returns the connection to evict, or nil if there is none. In a flood of silent connections it is the oldest of
// those that have reached MinSilentAge. Otherwise it is the connection that has been idle longest, provided that a
// regular client would have closed it by now or no connection is silent: its client loses nothing, while a connection
// waiting to be served is delayed. Failing that, it is the oldest silent connection. A connection with unread bytes or
// part of a request is never chosen, because its input may become a request.
func (found candidates) best(now time.Time, connCount int) Conn {
	isFlood := found.silentCount > connCount/floodShare
	isIdleTooLong := now.Sub(found.idleSince) >= clientIdleTime
	nobodyIsSilent := found.oldestSilent == nil && !isFlood
	switch {
	case found.oldestSilent != nil && isFlood:
		return found.oldestSilent
	case found.longestIdle != nil && (nobodyIsSilent || isIdleTooLong):
		return found.longestIdle
	}
	return found.oldestSilent
}

// consider updates the candidates with a connection.
func (found *candidates) consider(candidate Conn, now time.Time) {
	used := candidate.Activity()
	switch {
	case used.HasReceivedRequest:
		found.considerIdle(candidate, used)
	case candidate.HasPendingInput():
		found.silentCount++
		if now.Sub(candidate.AcceptedAt()) >= minPartialAge {
			found.oldestPartial = older(found.oldestPartial, candidate)
		}
	default:
		found.silentCount++
		if now.Sub(candidate.AcceptedAt()) >= MinSilentAge {
			found.oldestSilent = older(found.oldestSilent, candidate)
		}
	}
}

// considerIdle updates longestIdle with a connection on which a request was read before.
func (found *candidates) considerIdle(candidate Conn, used Activity) {
	isLongest := found.longestIdle == nil || used.LastUsed.Before(found.idleSince)
	if used.IsIdle && isLongest && !candidate.HasPendingInput() {
		found.longestIdle = candidate
		found.idleSince = used.LastUsed
	}
}

// older returns the connection that was accepted first. a may be nil.
func older(a, b Conn) Conn {
	if a == nil || b.AcceptedAt().Before(a.AcceptedAt()) {
		return b
	}
	return a
}
