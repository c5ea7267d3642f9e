package client

import (
	"slices"
	"time"

	"swiftreel/internal/counters"
)

const (
	minSilentAge   = 50 * time.Millisecond // before a connection without any input may be evicted
	minPartialAge  = time.Second           // before a connection with an incomplete first message may be evicted
	floodShare     = 8                     // silent connections are a flood if they exceed one in floodShare of all
	clientIdleTime = 5 * time.Second       // regular clients close a connection after 4 s without use
)

// awaitCapacity waits until another connection may be served. The descriptor of the accepted connection comes from the
// reserve (see package limits). Once new calls are throttled, the calls of a waiting connection are throttled too, so
// it need not wait for capacity.
func (s *Server) awaitCapacity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.limits.ClientConns.Max() && !s.isClosed && !s.isThrottling.Load() {
		counters.Increment("client_conns_full")
		if s.evictOne(time.Now()) {
			continue
		}
		wake := time.AfterFunc(minSilentAge/4, s.capacityFreed.Signal)
		s.capacityFreed.Wait()
		wake.Stop()
	}
}

// evictOne tries to evict a connection, and reports whether the caller should check the capacity again at once. That is
// also the case if the chosen connection has just become active and was kept. s.mu must be held.
func (s *Server) evictOne(now time.Time) bool {
	found := s.evictionCandidates(now)
	evicted := found.best(now, len(s.conns))
	switch {
	case evicted != nil:
		if evicted.halfCloseIfIdle().isIdle() {
			counters.Increment("client_conns_evicted")
			s.linger(evicted)
		}
		return true
	case found.oldestPartial != nil && found.oldestPartial.halfCloseIfSilent():
		counters.Increment("partial_messages_evicted")
		s.linger(found.oldestPartial)
		return true
	}
	return false
}

// evictionCandidates examines all connections. s.mu must be held.
func (s *Server) evictionCandidates(now time.Time) candidates {
	var found candidates
	for c := range s.conns {
		found.consider(c, now)
	}
	return found
}

// candidates are the connections that may be evicted.
type candidates struct {
	silentCount   int   // connections on which no complete message was read
	oldestSilent  *conn // without any input and at least minSilentAge old
	oldestPartial *conn // minPartialAge old, first message incomplete: such clients could use up all connections
	longestIdle   *conn
	idleSince     time.Time // last use of longestIdle
}

// best returns the connection to evict, or nil if there is none. In a flood of silent connections it is the oldest of
// those that have reached minSilentAge. Otherwise it is the connection that has been idle longest, provided that a
// regular client would have closed it by now or no connection is silent: its client loses nothing, while a connection
// waiting to be served is delayed. Failing that, it is the oldest silent connection. A connection with unread bytes or
// part of a message is never chosen, because its input may become a call.
func (found candidates) best(now time.Time, connCount int) *conn {
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
func (found *candidates) consider(candidate *conn, now time.Time) {
	used := candidate.activity()
	switch {
	case used.hasReceivedMessage:
		found.considerIdle(candidate, used)
	case candidate.hasPendingInput():
		found.silentCount++
		if now.Sub(candidate.acceptedAt) >= minPartialAge {
			found.oldestPartial = older(found.oldestPartial, candidate)
		}
	default:
		found.silentCount++
		if now.Sub(candidate.acceptedAt) >= minSilentAge {
			found.oldestSilent = older(found.oldestSilent, candidate)
		}
	}
}

// considerIdle updates longestIdle with a connection on which a message was read before.
func (found *candidates) considerIdle(candidate *conn, used activity) {
	isLongest := found.longestIdle == nil || used.lastUsed.Before(found.idleSince)
	if used.isIdle && isLongest && !candidate.hasPendingInput() {
		found.longestIdle = candidate
		found.idleSince = used.lastUsed
	}
}

// older returns the connection that was accepted first. a may be nil.
func older(a, b *conn) *conn {
	if a == nil || b.acceptedAt.Before(a.acceptedAt) {
		return b
	}
	return a
}

// linger removes a half-closed connection from the connection count. Its descriptor counts toward the reserve (see
// package limits) until the client closes it too. If too many are lingering, the oldest is closed. s.mu must be held.
func (s *Server) linger(c *conn) {
	delete(s.conns, c)
	s.lingering = append(s.lingering, c)
	if len(s.lingering) > max(1, s.limits.LingeringConns.Max()) {
		counters.Increment("lingering_full")
		_ = s.lingering[0].socket.Close() // the reader returns with an error
		s.lingering = slices.Delete(s.lingering, 0, 1)
	}
}

// stopLingering unregisters a lingering connection. s.mu must be held.
func (s *Server) stopLingering(c *conn) {
	s.lingering = slices.DeleteFunc(s.lingering, func(other *conn) bool { return other == c })
}
