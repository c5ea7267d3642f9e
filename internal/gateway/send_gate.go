package gateway

import (
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

// sendGate asks the decision module about an ordered attempt in the moment in which its first byte would go out. It
// does not change and is safe for concurrent use: connections call it, not the goroutine of the job.
type sendGate struct {
	gateway  *Gateway
	job      *job
	attempt  *attempt
	host     backend.Host // where the connection goes
	deadline time.Time    // of the attempt, at most that of the job
}

// Permit implements backend.Gate.
func (s sendGate) Permit() backend.Permission {
	connected := s.job.Client.Connected()
	now := time.Now()
	left := s.deadline.Sub(now)
	refusal, unavailableSince := s.refusal(connected, left)
	if refusal != choice.Permitted {
		counters.Increment("send_refused_" + refusal.String())
		s.trace("send_refused", refusal)
		return backend.Permission{}
	}
	given := left.Truncate(time.Millisecond)
	s.trace("sent_with", given)
	dispatch := audit.Dispatch{Job: s.job.id, At: now, Given: given, UnavailableSince: unavailableSince}
	s.gateway.reportViolations(s.job, s.attempt.engine, s.gateway.audit.Dispatched(dispatch))
	return backend.Permission{Granted: true, TimeoutMS: given.Milliseconds()}
}

// trace logs what became of the attempt, where that is wanted.
func (s sendGate) trace(what string, value any) {
	s.gateway.trace.job(s.job.id, "call", string(s.job.ID), "attempt", s.attempt.sequence, "engine", s.attempt.engine,
		what, value)
}

// Withdraw implements backend.Gate.
func (s sendGate) Withdraw() { s.gateway.audit.Withdrawn(s.job.id) }

// refusal asks the module, and says since when the engine is listed as one that takes nothing; zero: it takes jobs.
func (s sendGate) refusal(connected bool, left time.Duration) (refusal choice.Refusal, unavailableSince time.Time) {
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
	})
	if entry != nil {
		unavailableSince = entry.unavailableSince
	}
	return refusal, unavailableSince
}
