package client

import (
	"slices"
	"time"

	"swiftreel/internal/counters"
)

const (
	minSilentAge   = 50 * time.Millisecond // a connection may say nothing for so long while others wait for its place
	minPartialAge  = time.Second           // and take so long over its first message
	floodShare     = 8                     // silent connections of one in so many of all are a flood
	clientIdleTime = 5 * time.Second       // usual clients close a connection that is idle for 4 s
)

// awaitCapacity waits until one more connection may be held. Its descriptor, already open, is one of the reserved
// ones (package limits). Once calls are refused, those of a connection that waits are refused, too, and need no room.
func (s *Server) awaitCapacity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.limits.ClientConns.Max() && !s.isClosed && !s.isRefusing.Load() {
		counters.Increment("client_conns_full")
		if s.evictOne(time.Now()) {
			continue
		}
		wake := time.AfterFunc(minSilentAge/4, s.capacityFreed.Signal)
		s.capacityFreed.Wait()
		wake.Stop()
	}
}

// evictOne has a connection make room, if there is one that may, and reports whether it is worth looking again at
// once: a call may have come just now on the one that was found. The lock is held.
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

// evictionCandidates looks at all connections. The lock is held.
func (s *Server) evictionCandidates(now time.Time) candidates {
	var found candidates
	for c := range s.conns {
		found.consider(c, now)
	}
	return found
}

// candidates are the connections that may make room.
type candidates struct {
	silentCount   int   // connections on which no complete message came
	oldestSilent  *conn // of those that had their moment and sent nothing
	oldestPartial *conn // of those that take long over their first message: clients that never end it fill the place
	longestIdle   *conn
	idleSince     time.Time // of longestIdle
}

// best returns the connection that makes room; nil: none. In a flood of clients that say nothing it is the oldest of
// those, once it had its moment. Else it is the one idle longest, if usual clients would have closed it by now or
// nobody is silent: its client loses nothing, while one that waits to be accepted loses time. It is never a connection
// with unread bytes or part of a message, which may become a call.
func (found candidates) best(now time.Time, connCount int) *conn {
	isFlood := found.silentCount > connCount/floodShare
	isAbandoned := now.Sub(found.idleSince) >= clientIdleTime
	nobodyIsSilent := found.oldestSilent == nil && !isFlood
	switch {
	case found.oldestSilent != nil && isFlood:
		return found.oldestSilent
	case found.longestIdle != nil && (nobodyIsSilent || isAbandoned):
		return found.longestIdle
	}
	return found.oldestSilent
}

// consider takes a connection into account.
func (found *candidates) consider(candidate *conn, now time.Time) {
	used := candidate.activity()
	switch {
	case used.hasSpoken:
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

// considerIdle takes a connection into account on which messages came before.
func (found *candidates) considerIdle(candidate *conn, used activity) {
	isLongest := found.longestIdle == nil || used.lastUsed.Before(found.idleSince)
	if used.isIdle && isLongest && !candidate.hasPendingInput() {
		found.longestIdle = candidate
		found.idleSince = used.lastUsed
	}
}

// older returns the connection that was accepted first; a may be nil.
func older(a, b *conn) *conn {
	if a == nil || b.acceptedAt.Before(a.acceptedAt) {
		return b
	}
	return a
}

// linger takes a half-closed connection out of the count. Its descriptor is one of the reserved ones (package limits)
// until its client closes it too; if too many do not, the oldest is closed for good. The lock is held.
func (s *Server) linger(c *conn) {
	delete(s.conns, c)
	s.lingering = append(s.lingering, c)
	if len(s.lingering) > max(1, s.limits.Lingering.Max()) {
		counters.Increment("lingering_full")
		_ = s.lingering[0].socket.Close() // its reader ends with an error
		s.lingering = slices.Delete(s.lingering, 0, 1)
	}
}

// stopLingering forgets a lingering connection. The lock is held.
func (s *Server) stopLingering(c *conn) {
	s.lingering = slices.DeleteFunc(s.lingering, func(other *conn) bool { return other == c })
}
