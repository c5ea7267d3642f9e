package client

import (
	"slices"
	"time"

	"swiftreel/internal/counters"
)

const (
	minSilentAge   = 50 * time.Millisecond // a connection may say nothing for so long while others wait for its place
	floodShare     = 8                     // silent connections of one in so many of all are a flood
	clientIdleTime = 5 * time.Second       // usual clients close a connection that is idle for 4 s
)

// awaitCapacity waits until one more connection may be held. Its descriptor, already open, is one of the reserved
// ones (package limits).
func (s *Server) awaitCapacity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.limits.ClientConns.Max() && !s.isClosed {
		counters.Increment("client_conns_full")
		if c := s.evictionCandidate(time.Now()); c != nil {
			if c.halfCloseIfIdle() { // else a call came just now: it stays, and another makes room
				s.linger(c)
			}
			continue
		}
		wake := time.AfterFunc(minSilentAge/4, s.capacityFreed.Signal)
		s.capacityFreed.Wait()
		wake.Stop()
	}
}

// evictionCandidate returns the connection that makes room; nil: none. In a flood of clients that say nothing it is
// the oldest of those, once it had its moment. Else it is the one idle longest, if usual clients would have closed it
// by now or nobody is silent: its client loses nothing, while one that waits to be accepted loses time. It is never a
// connection with unread bytes, which may be a call. The lock is held.
func (s *Server) evictionCandidate(now time.Time) *conn {
	var found candidates
	for c := range s.conns {
		found.consider(c, now)
	}
	isFlood := found.silentCount > len(s.conns)/floodShare
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

// candidates are the connections that may make room.
type candidates struct {
	silentCount  int   // connections on which nothing was said
	oldestSilent *conn // of those that had their moment
	longestIdle  *conn
	idleSince    time.Time // of longestIdle
}

// consider takes a connection into account.
func (found *candidates) consider(candidate *conn, now time.Time) {
	used := candidate.activity()
	if used.hasSpoken {
		isLongest := found.longestIdle == nil || used.lastUsed.Before(found.idleSince)
		if used.isIdle && isLongest && !candidate.hasBufferedInput() {
			found.longestIdle = candidate
			found.idleSince = used.lastUsed
		}
		return
	}
	found.silentCount++
	isDue := now.Sub(candidate.acceptedAt) >= minSilentAge
	isOldest := found.oldestSilent == nil || candidate.acceptedAt.Before(found.oldestSilent.acceptedAt)
	if isDue && isOldest && !candidate.hasBufferedInput() {
		found.oldestSilent = candidate
	}
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
