package choice

// Refusal says why an attempt may not be ordered or sent now; 0: it may.
type Refusal uint8

// The reasons, with the rule that each keeps. Permitted is none.
const (
	Permitted         Refusal = iota
	JobOver                   // rule 1: the job has its final answer, or no time is left for one
	AttemptOver               // rule 1: another attempt is out; this one has ended or is being canceled
	ClientLeft                // rule 1: nobody waits for the answer
	AttemptsUsedUp            // the job had all its attempts
	RepeatUnsafe              // rule 2: the job may have run, and a repeat may have an effect
	EngineUnavailable         // rule 3: the engine drains, was removed, or has another address by now
	OrderTooOld               // rules 2 and 3: it is past its send deadline, or older than a dial may take
	ListTooOld                // rule 3: what the list said of late may be unread, as after a stall
	EngineWarmingUp           // rule 4: our part of what the engine withstands in its slow start is used
	EngineRestarted           // rule 4: it started after the order, which was not counted for its slow start
	OutOfOrder                // rule 5: an earlier job of the key is not over, or the key pauses
	PlaceNotAllowed           // rule 6
	RetryBudgetSpent          // rule 7
)

var refusalNames = [...]string{
	Permitted:         "permitted",
	JobOver:           "job_over",
	AttemptOver:       "attempt_over",
	ClientLeft:        "client_left",
	AttemptsUsedUp:    "attempts_used_up",
	RepeatUnsafe:      "repeat_unsafe",
	EngineUnavailable: "engine_unavailable",
	OrderTooOld:       "order_too_old",
	ListTooOld:        "list_too_old",
	EngineWarmingUp:   "engine_warming_up",
	EngineRestarted:   "engine_restarted",
	OutOfOrder:        "out_of_order",
	PlaceNotAllowed:   "place_not_allowed",
	RetryBudgetSpent:  "retry_budget_spent",
}

// String returns the name of the reason, as logs and counters have it.
func (r Refusal) String() string { return refusalNames[r] }

// orderRefusal decides whether a job's next attempt may be ordered at an engine now; no order bypasses it.
func (c *Controller) orderRefusal(j *job, e *engine) Refusal {
	if refusal := c.attemptRefusal(j, e); refusal != Permitted {
		return refusal
	}
	t := j.jobType
	switch {
	case e.State != Ready: // with no use of the grace
		return EngineUnavailable
	case c.inSlowStart(e) && !c.slowStartAllows(j, e):
		return EngineWarmingUp
	case !c.orderingAllows(j):
		return OutOfOrder
	case j.requiredProtocols&e.Unsupported != 0,
		!t.allowedZones.contains(float64(e.Zone)), !t.allowedKinds.contains(float64(e.Kind)):
		return PlaceNotAllowed
	case j.attemptCount > 0 && !c.retryBudgetAllows():
		return RetryBudgetSpent
	}
	return Permitted
}

// attemptRefusal decides whether a job may have another attempt, before it matters what the engine is like.
func (c *Controller) attemptRefusal(j *job, e *engine) Refusal {
	switch {
	case j.finished, c.now >= j.expiresAt:
		return JobOver
	case j.attempt != nil:
		return AttemptOver
	case j.attemptCount >= c.settings.maxAttempts:
		return AttemptsUsedUp
	case j.mayHaveRun && !c.repeatAllowed(j, e):
		return RepeatUnsafe
	}
	return Permitted
}

// dispatchAllowed reports whether a job's next attempt may be ordered at an engine now.
func (c *Controller) dispatchAllowed(j *job, e *engine) bool {
	return c.orderRefusal(j, e) == Permitted
}

// minTimeLeft is the least time for which an engine is asked: it is told whole milliseconds.
const minTimeLeft = ms

// SendFacts are what the caller knows of an ordered attempt as its first byte would go out.
type SendFacts struct {
	Job             JobID
	Seq             AttemptSeq
	ClientConnected bool  // its connection shows no end
	TimeLeft        Nanos // until its client gives up, or the attempt's own limit; the engine is told so
	SameAddress     bool  // the engine is listed where the connection goes
	MaxAge          Nanos // of the order; later the engine may have been drained without our knowing
	ListCurrentAt   Nanos // what was told of engines by then is known here; 0: the caller cannot tell
}

// SendRefusal decides whether the first byte of an ordered attempt may go out now. Since the order a dial, a
// move to another connection or a stall of the process may have passed, so what the order relied on is looked
// at again. Nothing changes by it. An attempt that is refused never ran: its caller reports it as Superseded.
func (c *Controller) SendRefusal(now Nanos, facts SendFacts) Refusal {
	j := c.jobs[facts.Job]
	switch {
	case j == nil, j.finished, now >= j.expiresAt, facts.TimeLeft < minTimeLeft:
		return JobOver
	case j.attempt == nil, j.attempt.seq != facts.Seq, j.attempt.cancelRequested:
		return AttemptOver
	case !facts.ClientConnected:
		return ClientLeft
	case now > j.attempt.sendDeadline, now-j.attempt.dispatchedAt > facts.MaxAge:
		return OrderTooOld
	case now-c.listCurrentAt(facts) > c.settings.drainGrace:
		return ListTooOld
	case j.attempt.engine.State != Ready, !facts.SameAddress:
		return EngineUnavailable
	case j.attempt.engine.StartedAt != j.attempt.engineStartedAt:
		return EngineRestarted
	}
	return Permitted
}

// listCurrentAt is when the list of engines was last known to be complete. Where the caller cannot tell, it
// is the last sweep: what came later may be unread, as the process may have stalled since.
func (c *Controller) listCurrentAt(facts SendFacts) Nanos {
	if facts.ListCurrentAt != 0 {
		return facts.ListCurrentAt
	}
	return c.lastSweepAt
}
