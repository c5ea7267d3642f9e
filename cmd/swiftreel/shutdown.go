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
	s.clients.Close()
	s.sparql.close()
	s.reloader.close()
	s.stats.close()
	s.discovery.Close()
	s.plans.close()
	s.gateway.Close()
	after := time.Since(stoppedAt).Milliseconds()
	slog.Info("stopped", append([]any{"after_ms", after}, counters.LogAttributes()...)...)
}

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
		if s.isQuiet(sinceStop, now.Sub(lastPoll)) {
			quiet += quietPoll
		} else {
			quiet = 0
		}
		lastPoll = now
	}
}

func (s *server) isQuiet(sinceStop, sincePoll time.Duration) bool {
	switch {
	case sinceStop < lateArrivalWindow, s.clients.OwedAnswers()+s.sparql.owed() > 0, sincePoll > stallTolerance:
		return false
	case sinceStop < lateArrivalWindow+partialMessageTimeout:
		return !s.clients.HasPendingInput()
	default:
		return true
	}
}
