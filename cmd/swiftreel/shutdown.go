package main

import (
	"log/slog"
	"os"
	"time"

	"swiftreel/internal/counters"
)

// After a stop signal jobs may still arrive for lateArrivalWindow: on new connections for 0.4 s, 0.2 s more on open
// ones, and a margin; what comes later is throttled. Then the program ends once, for quietPeriod, no answer was owed
// and no bytes of a client lay unread. Half a message is waited for no longer than partialMessageTimeout.
const (
	quietPeriod    = 100 * time.Millisecond
	quietPoll      = 10 * time.Millisecond
	stallTolerance = 5 * quietPoll // a poll later than this says nothing: the process itself has stalled

	// idleCloseDelay is how long after the last call was taken connections without an open call begin to be closed: until
	// then a client that goes on gets its answers, and then it learns that it must go elsewhere.
	idleCloseDelay = 200 * time.Millisecond

	minCloseTime = 20 * time.Millisecond  // for the connections that are left
	maxCloseTime = 500 * time.Millisecond // likewise: what came between the last look and the close is answered
	exitMargin   = 70 * time.Millisecond  // before the process may be killed the connections are closed
)

// Variables for tests, where nothing comes late, or half a message is held for as long as it takes.
var (
	lateArrivalWindow     = time.Second
	partialMessageTimeout = 2 * time.Second
)

// stop waits until no answer is owed, and ends all parts of the server.
func (s *server) stop(signal os.Signal) {
	stoppedAt := time.Now()
	s.gateway.Stop()
	slog.Info("stopping", "signal", signal, "owed", s.clients.OwedAnswers())
	s.awaitQuiet(stoppedAt)
	_ = s.listener.Close() // nothing depends on it: no connection is accepted any more
	s.clients.CloseWithin(s.closeTime(stoppedAt))
	s.sparql.close()
	s.reloader.close()
	s.stats.close()
	s.discovery.Close()
	s.plans.close()
	s.gateway.Close()
	after := time.Since(stoppedAt).Milliseconds()
	slog.Info("stopped", append([]any{"after_ms", after}, counters.LogAttributes()...)...)
}

// closeTime is how long the close of the connections may take, so that the process ends before it may be killed.
func (s *server) closeTime(stoppedAt time.Time) time.Duration {
	killedAt := stoppedAt.Add(s.gateway.KilledAfter())
	return min(maxCloseTime, max(minCloseTime, time.Until(killedAt)-exitMargin))
}

// awaitQuiet waits until no answer is owed and nothing lies unread for a while, or until the process is about to be
// killed: all answers are out by then. Connections are closed as they become idle, since clients that go on using them
// would keep the process busy for good.
func (s *server) awaitQuiet(stoppedAt time.Time) {
	quiet := time.Duration(0)
	lastPoll := stoppedAt
	for quiet < quietPeriod {
		time.Sleep(quietPoll)
		now := time.Now()
		sinceStop := now.Sub(stoppedAt)
		if sinceStop >= lateArrivalWindow {
			s.clients.RefuseCalls()
		}
		if sinceStop >= lateArrivalWindow+idleCloseDelay {
			s.clients.CloseIdle()
		}
		if s.isQuiet(sinceStop, now.Sub(lastPoll)) {
			quiet += quietPoll
		} else {
			quiet = 0
		}
		if sinceStop >= s.gateway.StopTimeout() && s.owedAnswers() == 0 {
			return
		}
		lastPoll = now
	}
}

func (s *server) owedAnswers() int64 { return s.clients.OwedAnswers() + s.sparql.owed() }

func (s *server) isQuiet(sinceStop, sincePoll time.Duration) bool {
	switch {
	case sinceStop < lateArrivalWindow, s.owedAnswers() > 0, sincePoll > stallTolerance:
		return false
	case sinceStop < lateArrivalWindow+partialMessageTimeout:
		return !s.clients.HasPendingInput()
	default:
		return true
	}
}
