package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

const (
	// maxInputWait is how long a send waits until the input from its client is read. It exceeds any slowdown of reading
	// and is well below the 100 ms after which a cancelled job must not be sent.
	maxInputWait = 60 * time.Millisecond
	// permissionLifetime is how long a permission to send is valid. Together with the age of the list it must not exceed
	// the drain grace, and it must not exceed the time for which a job may be sent after its client has disconnected.
	permissionLifetime = 50 * time.Millisecond
	// minListWait is the shortest wait for the endpoint list that is counted and logged.
	minListWait = time.Millisecond
)

// EngineListAge reports the age of the endpoint list that the gateway has. Implementations must be safe for concurrent
// use.
type EngineListAge interface {
	// CurrentAt returns a time up to which all updates from the list's source were passed on. A known time within maxAge
	// is returned without another check. It does not block.
	CurrentAt(maxAge time.Duration) time.Time
	// AwaitCurrent waits, at most for limit, until CurrentAt is within maxAge, and returns it.
	AwaitCurrent(maxAge, limit time.Duration) time.Time
}

// sendGate asks the decision module for permission to send an attempt, just before its first byte is sent. It is
// immutable and safe for concurrent use, since connections call it rather than the goroutine of the job.
type sendGate struct {
	gateway  *Gateway
	job      *job
	attempt  *attempt
	host     backend.Host // the connection's destination
	deadline time.Time    // of the attempt, not after that of the job
}

// AwaitPendingInput implements backend.Gate. After a stall of the process, unread input may contain a cancellation by
// the client or an update of the endpoint list.
func (s sendGate) AwaitPendingInput() {
	s.job.Client.AwaitInput(maxInputWait)
	if s.gateway.list != nil && s.gateway.settings.drainGrace > 0 {
		s.awaitList()
	}
}

// awaitList waits until all updates of the endpoint list are read, at most while the dispatch may still be sent.
func (s sendGate) awaitList() {
	g := s.gateway
	startedAt := time.Now()
	limit := min(g.settings.drainGrace, g.settings.dialTimeout) - startedAt.Sub(s.attempt.startedAt)
	currentAt := g.list.AwaitCurrent(g.settings.listMaxAge(), limit)
	waited := time.Since(startedAt)
	if waited < minListWait {
		return
	}
	counters.Increment("sends_awaited_list")
	g.listLog.Warn("send_awaited_list", "waited_ms", waited.Milliseconds(),
		"list_age_ms", time.Since(currentAt).Milliseconds(), "order_age_ms", time.Since(s.attempt.startedAt).Milliseconds())
}

// Permit implements backend.Gate.
func (s sendGate) Permit() backend.Permission {
	connected := s.job.Client.Connected()
	listCurrentAt := s.listCurrentAt()
	now := time.Now()
	left := s.deadline.Sub(now)
	refusal, unavailableSince := s.refusal(connected, left, listCurrentAt)
	if refusal != choice.Permitted {
		counters.Increment("send_refused_" + refusal.String())
		s.trace("send_refused", refusal)
		return backend.Permission{}
	}
	timeLimit := left.Truncate(time.Millisecond)
	s.trace("sent_with", timeLimit)
	dispatch := audit.Dispatch{Job: s.job.id, At: now, TimeLimit: timeLimit, UnavailableSince: unavailableSince}
	s.gateway.reportViolations(s.job, s.attempt.engine, s.gateway.audit.Dispatched(dispatch))
	return backend.Permission{Granted: true, TimeoutMS: timeLimit.Milliseconds(), ExpiresAt: now.Add(permissionLifetime)}
}

// listCurrentAt returns when the endpoint list was last known to be up to date; 0 means unknown.
func (s sendGate) listCurrentAt() choice.Nanos {
	g := s.gateway
	if g.list == nil {
		return 0
	}
	return g.clock.at(g.list.CurrentAt(g.settings.listMaxAge()))
}

// trace logs an event of the attempt if tracing is on.
func (s sendGate) trace(what string, value any) {
	s.gateway.trace.job(s.job.id, "call", string(s.job.ID), "attempt", s.attempt.sequence, "engine", s.attempt.engine,
		what, value)
}

// Withdraw implements backend.Gate.
func (s sendGate) Withdraw() { s.gateway.audit.Withdrawn(s.job.id) }

// refusal asks the module whether the attempt may be sent. It also returns since when the engine has been listed as
// draining or removed; zero if it is ready.
func (s sendGate) refusal(
	connected bool, left time.Duration, listCurrentAt choice.Nanos,
) (refusal choice.Refusal, unavailableSince time.Time) {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.table.byID[s.attempt.engine]
	sameProcess := entry != nil && g.table.hostBy(entry, s.job.Protocol) == s.host
	now := max(g.lastTime, g.clock.now())
	refusal = g.module.SendRefusal(now, choice.SendConditions{
		Job:             s.job.id,
		Seq:             s.attempt.sequence,
		ClientConnected: connected,
		TimeLeft:        choice.Nanos(left),
		SameAddress:     sameProcess,
		MaxAge:          choice.Nanos(g.settings.dialTimeout),
		ListCurrentAt:   listCurrentAt,
	})
	if entry != nil {
		unavailableSince = entry.unavailableSince
	}
	return refusal, unavailableSince
}
