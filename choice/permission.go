package choice

// Refusal is the reason why an attempt must not be dispatched or sent now. Zero permits it.
type Refusal uint8

// The refusals, each with the rule of the package comment that it enforces. Permitted is no refusal.
const (
	Permitted           Refusal = iota
	JobOver                     // rule 1: the job has its final answer, or no time is left for one
	AttemptOver                 // rule 1: another attempt is in flight, or this one ended or is being canceled
	ClientLeft                  // rule 1: the client no longer waits for the answer
	AttemptsUsedUp              // the job has had the maximum number of attempts
	RetryUnsafe                 // rule 2: the job may have run, and another run may not be harmless
	EngineUnavailable           // rule 3: the engine is draining, was removed, or changed its address
	DispatchTooOld              // rules 2 and 3: the send deadline passed, or more time than a dial may take
	EngineListStale             // rule 3: recent updates of the list may be unread, as after a stall
	EngineInSlowStart           // rule 4: this controller's part of the engine's slow-start budget is used up
	EngineRestarted             // rule 4: the engine restarted since; its slow start does not count the dispatch
	OutOfOrder                  // rule 5: an earlier job of the key has not ended, or the key is paused
	PlacementNotAllowed         // rule 6: the job does not allow the engine's zone, kind or protocols
	RetryBudgetSpent            // rule 7: the retry budget is used up
)

var refusalNames = [...]string{
	Permitted:           "permitted",
	JobOver:             "job_over",
	AttemptOver:         "attempt_over",
	ClientLeft:          "client_left",
	AttemptsUsedUp:      "attempts_used_up",
	RetryUnsafe:         "repeat_unsafe",
	EngineUnavailable:   "engine_unavailable",
	DispatchTooOld:      "order_too_old",
	EngineListStale:     "list_too_old",
	EngineInSlowStart:   "engine_warming_up",
	EngineRestarted:     "engine_restarted",
	OutOfOrder:          "out_of_order",
	PlacementNotAllowed: "place_not_allowed",
	RetryBudgetSpent:    "retry_budget_spent",
}

// String returns the name used in logs and counters.
func (r Refusal) String() string { return refusalNames[r] }

// dispatchRefusal decides whether a job's next attempt may be dispatched to an engine now. Every dispatch
// passes this check.
func (c *Controller) dispatchRefusal(j *job, e *engine) Refusal {
	if refusal := c.attemptRefusal(j, e); refusal != Permitted {
		return refusal
	}
	t := j.jobType
	switch {
	case e.State != Ready: // the drain grace is not for new dispatches
		return EngineUnavailable
	case c.inSlowStart(e) && !c.slowStartAllows(j, e):
		return EngineInSlowStart
	case !c.orderingAllows(j):
		return OutOfOrder
	case j.requiredProtocols&e.Unsupported != 0,
		!t.allowedZones.contains(float64(e.Zone)), !t.allowedKinds.contains(float64(e.Kind)):
		return PlacementNotAllowed
	case j.attemptCount > 0 && !c.retryBudgetAllows():
		return RetryBudgetSpent
	}
	return Permitted
}

// attemptRefusal does the checks of dispatchRefusal that do not depend on the engine's state.
func (c *Controller) attemptRefusal(j *job, e *engine) Refusal {
	switch {
	case j.finished, c.now >= j.expiresAt:
		return JobOver
	case j.attempt != nil:
		return AttemptOver
	case j.attemptCount >= c.settings.maxAttempts:
		return AttemptsUsedUp
	case j.mayHaveRun && !c.retrySafe(j, e):
		return RetryUnsafe
	}
	return Permitted
}

// dispatchAllowed reports whether a job's next attempt may be dispatched to an engine now.
func (c *Controller) dispatchAllowed(j *job, e *engine) bool {
	return c.dispatchRefusal(j, e) == Permitted
}

// minTimeLeft is the shortest timeout that can be sent to an engine, which is given whole milliseconds.
const minTimeLeft = ms

// SendConditions hold what the caller knows of a dispatched attempt just before its first byte is sent.
type SendConditions struct {
	Job             JobID
	Seq             AttemptSeq
	ClientConnected bool  // the client's connection is not known to have closed
	TimeLeft        Nanos // until the client or the attempt times out; sent to the engine
	SameAddress     bool  // the engine is still listed at the address of the connection
	MaxAge          Nanos // of the dispatch: after this the engine may have been drained unnoticed
	ListCurrentAt   Nanos // all updates of the endpoint list until then were applied; 0: unknown
}

// SendRefusal decides whether the first byte of a dispatched attempt may be sent now. It checks the
// conditions of the dispatch again: a dial, a move to another connection or a stall of the process may
// have happened since. It changes no state. A refused attempt never ran: the caller reports it as Superseded.
func (c *Controller) SendRefusal(now Nanos, conditions SendConditions) Refusal {
	j := c.jobs[conditions.Job]
	switch {
	case j == nil, j.finished, now >= j.expiresAt, conditions.TimeLeft < minTimeLeft:
		return JobOver
	case j.attempt == nil, j.attempt.seq != conditions.Seq, j.attempt.cancelRequested:
		return AttemptOver
	case !conditions.ClientConnected:
		return ClientLeft
	case now > j.attempt.sendDeadline, now-j.attempt.dispatchedAt > conditions.MaxAge:
		return DispatchTooOld
	case now-c.listCurrentAt(conditions) > c.settings.drainGrace:
		return EngineListStale
	case j.attempt.engine.State != Ready, !conditions.SameAddress:
		return EngineUnavailable
	case j.attempt.engine.StartedAt != j.attempt.engineStartedAt:
		return EngineRestarted
	}
	return Permitted
}

// listCurrentAt returns when the endpoint list was last known to be complete: the time of the last sweep if
// the caller does not know. The process may have stalled since that sweep, and later updates may be unread.
func (c *Controller) listCurrentAt(conditions SendConditions) Nanos {
	if conditions.ListCurrentAt != 0 {
		return conditions.ListCurrentAt
	}
	return c.lastSweepAt
}
