package main

import (
	"log/slog"
	"os"
	"time"

	"swiftreel/internal/counters"
)

// Shutdown goes through two phases. For lateArrivalWindow after the stop signal, calls are still served: clients may
// open connections for another 0.4 s and use open ones for 0.2 s more; the rest is a margin. Later calls are throttled,
// and the process exits after quietPeriod without a pending answer or unread client input. It waits for the rest of a
// partly received message for at most partialMessageTimeout.
const (
	quietPeriod    = 100 * time.Millisecond
	quietPoll      = 10 * time.Millisecond
	stallTolerance = 5 * quietPoll // a longer poll interval means that the process was stalled: the poll does not count

	// idleCloseDelay is the time between the end of lateArrivalWindow and the closing of connections without an open
	// call. In between, clients that keep sending have their calls throttled; the close makes them connect elsewhere.
	idleCloseDelay = 200 * time.Millisecond

	minCloseTime = 20 * time.Millisecond  // lower bound of the time for closing the remaining connections
	maxCloseTime = 500 * time.Millisecond // upper bound; calls that arrive after the last poll are still answered
	exitMargin   = 70 * time.Millisecond  // between the close of the connections and when the process may be killed
)

// Variables so that tests can shorten the window or lengthen the timeout.
var (
	lateArrivalWindow     = time.Second
	partialMessageTimeout = 2 * time.Second
)

// stop waits until no answer is pending, then closes all components of the server.
func (s *server) stop(signal os.Signal) {
	stoppedAt := time.Now()
	s.gateway.Stop()
	if s.mayBeReplacedUnnoticed {
		s.gateway.SetUncoordinatedSuccessor(true)
	}
	slog.Info("stopping", "signal", signal, "owed", s.clients.PendingAnswers())
	s.awaitQuiet(stoppedAt)
	_ = s.listener.Close() // an error does not matter: no more connections are accepted
	s.clients.CloseWithin(s.closeTime(stoppedAt))
	s.sparql.close()
	s.reloader.close()
	s.stats.close()
	s.discovery.Close()
	s.plans.close()
	s.gateway.Close()
	s.predecessor.close()
	after := time.Since(stoppedAt).Milliseconds()
	slog.Info("stopped", append([]any{"after_ms", after}, counters.LogAttributes()...)...)
}

// closeTime returns the time limit for closing the connections, so that the process exits before it may be killed.
func (s *server) closeTime(stoppedAt time.Time) time.Duration {
	killedAt := stoppedAt.Add(s.gateway.KilledAfter())
	return min(maxCloseTime, max(minCloseTime, time.Until(killedAt)-exitMargin))
}

// awaitQuiet waits until there has been no pending answer and no unread input for quietPeriod, or until the stop
// timeout has passed and no answer is pending. It closes connections as they become idle: clients that keep using
// theirs would otherwise keep the process running indefinitely.
func (s *server) awaitQuiet(stoppedAt time.Time) {
	quiet := time.Duration(0)
	lastPoll := stoppedAt
	for quiet < quietPeriod {
		time.Sleep(quietPoll)
		now := time.Now()
		sinceStop := now.Sub(stoppedAt)
		if sinceStop >= lateArrivalWindow {
			s.clients.ThrottleNewCalls()
		}
		if sinceStop >= lateArrivalWindow+idleCloseDelay {
			s.clients.CloseIdle()
		}
		if s.isQuiet(sinceStop, now.Sub(lastPoll)) {
			quiet += quietPoll
		} else {
			quiet = 0
		}
		if sinceStop >= s.gateway.StopTimeout() && s.pendingAnswers() == 0 {
			return
		}
		lastPoll = now
	}
}

func (s *server) pendingAnswers() int64 {
	return s.clients.PendingAnswers() + s.sparql.pendingAnswers()
}

func (s *server) isQuiet(sinceStop, sincePoll time.Duration) bool {
	switch {
	case sinceStop < lateArrivalWindow, s.pendingAnswers() > 0, sincePoll > stallTolerance:
		return false
	case sinceStop < lateArrivalWindow+partialMessageTimeout:
		return !s.clients.HasPendingWork()
	default:
		return true
	}
}
