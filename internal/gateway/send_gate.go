package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

const (
	// inputReadWithin is how long a send waits until what its client has sent is read: longer than its reading is ever
	// slowed down, and well within the 100 ms after which a canceled job must not be sent.
	inputReadWithin = 60 * time.Millisecond
	// permissionTime is for how long a permission holds: with the age of the list at most the grace of a drain, and no
	// longer than a job may be sent after its client has left.
	permissionTime = 50 * time.Millisecond
	// minListWait is the least wait for the endpoint list that is counted and logged.
	minListWait = time.Millisecond
)

// EngineListAge tells how old the endpoint list is that the gateway was given. It is safe for concurrent use.
type EngineListAge interface {
	// CurrentAt returns a moment such that all that the list's source had told by then was passed on; a moment within
	// maxAge is not looked for anew. It does not wait.
	CurrentAt(maxAge time.Duration) time.Time
	// AwaitCurrent waits until CurrentAt is within maxAge, no longer than limit.
	AwaitCurrent(maxAge, limit time.Duration) time.Time
}

// sendGate asks the decision module about an ordered attempt in the moment in which its first byte would go out. It
// does not change and is safe for concurrent use: connections call it, not the goroutine of the job.
type sendGate struct {
	gateway  *Gateway
	job      *job
	attempt  *attempt
	host     backend.Host // where the connection goes
	deadline time.Time    // of the attempt, at most that of the job
}

// Await implements backend.Gate: after a stall, what the client and the endpoint list have said since may lie unread.
func (s sendGate) Await() {
	s.job.Client.AwaitInput(inputReadWithin)
	if s.gateway.list != nil && s.gateway.settings.drainGrace > 0 {
		s.awaitList()
	}
}

// awaitList waits until the endpoint list is read as far as it was told, no longer than the order holds.
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
	given := left.Truncate(time.Millisecond)
	s.trace("sent_with", given)
	dispatch := audit.Dispatch{Job: s.job.id, At: now, TimeLimit: given, UnavailableSince: unavailableSince}
	s.gateway.reportViolations(s.job, s.attempt.engine, s.gateway.audit.Dispatched(dispatch))
	return backend.Permission{Granted: true, TimeoutMS: given.Milliseconds(), ExpiresAt: now.Add(permissionTime)}
}

// listCurrentAt is when the endpoint list was last known to be complete; 0: nobody can tell.
func (s sendGate) listCurrentAt() choice.Nanos {
	g := s.gateway
	if g.list == nil {
		return 0
	}
	return g.clock.at(g.list.CurrentAt(g.settings.listMaxAge()))
}

// trace logs what became of the attempt, where that is wanted.
func (s sendGate) trace(what string, value any) {
	s.gateway.trace.job(s.job.id, "call", string(s.job.ID), "attempt", s.attempt.sequence, "engine", s.attempt.engine,
		what, value)
}

// Withdraw implements backend.Gate.
func (s sendGate) Withdraw() { s.gateway.audit.Withdrawn(s.job.id) }

// refusal asks the module, and says since when the engine is listed as one that takes nothing; zero: it takes jobs.
func (s sendGate) refusal(
	connected bool, left time.Duration, listCurrentAt choice.Nanos,
) (refusal choice.Refusal, unavailableSince time.Time) {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.table.byID[s.attempt.engine]
	sameAddress := entry != nil && g.table.hostBy(entry, s.job.Protocol).Address == s.host.Address
	now := max(g.lastTime, g.clock.now())
	refusal = g.module.SendRefusal(now, choice.SendFacts{
		Job:             s.job.id,
		Seq:             s.attempt.sequence,
		ClientConnected: connected,
		TimeLeft:        choice.Nanos(left),
		SameAddress:     sameAddress,
		MaxAge:          choice.Nanos(g.settings.dialTimeout),
		ListCurrentAt:   listCurrentAt,
	})
	if entry != nil {
		unavailableSince = entry.unavailableSince
	}
	return refusal, unavailableSince
}
