package choice

import "math"

const (
	retryTokensPerJob = 0.2  // retries earned per admitted job, for attempts that may have run
	maxRetryTokens    = 10.0 // retries saved up

	overdueFactor        = 4.0    // an attempt is overdue at this many times its expected duration
	badPlanFactor        = 3.0    // its plan is bad if progress projects this many times its expected duration,
	minBadPlanRemainder  = 1.5    // with at least this many times that still to go
	minProgress          = 0.01   // smaller reported fractions count as this
	durationErrorFactor  = 2.5    // mean errors of expected durations that count as normal spread
	initialDurationError = 0.4    // mean error, natural log, assumed until the first answers
	missedHalfPeriods    = 5      // half report periods without progress, after which reports have stopped
	cancelMargin         = second // a keyed job is not canceled this close to the end of its repeat window
)

// repeatAllowed is rule 2 for a job that may have run: it is repeatable, or engines drop repeats of its key.
func (c *Controller) repeatAllowed(j *job, e *engine) bool {
	t := j.jobType
	inScope := t.keyScope == "all" || (t.keyScope == "zone" && e.Zone == j.firstEngine.Zone) ||
		(t.keyScope == "cell" && e.Cell == j.firstEngine.Cell)
	return t.repeatable || (t.repeatableByKey && inScope && c.now < c.repeatDeadline(j))
}

// repeatDeadline is when engines may stop dropping repeats of a job's key, less how late events may arrive.
func (c *Controller) repeatDeadline(j *job) Nanos {
	return j.firstAttemptAt + j.jobType.repeatWindow - 2*c.settings.batchStep
}

// mayCancel reports whether an attempt may be canceled: once, and only where that is allowed.
func (c *Controller) mayCancel(a *attempt) bool {
	return !a.cancelRequested && c.settings.cancelAllowed
}

// retryBudgetAllows is rule 7: one more dispatch beyond a job's first stays within the configured budget.
func (c *Controller) retryBudgetAllows() bool {
	window, free, ratio := c.settings.retryWindow, c.settings.freeRetries, c.settings.retryRatio
	c.retryBudget.trim(c.now - window)
	if c.now-c.predecessorEndedAt < window {
		free = 0 // the predecessor may have used it
	}
	retries, admitted := float64(len(c.retryBudget.retriedAt)+1), float64(len(c.retryBudget.admittedAt))
	return math.IsInf(ratio, 1) || retries <= free+ratio*admitted
}

// mayRetry reports whether a job whose attempt ended gets another one. An attempt that may have run and was
// not canceled takes a token of the retry budget.
func (c *Controller) mayRetry(a *attempt, r Result) bool {
	j := a.job
	retry := !j.mayHaveRun || j.jobType.repeatable || j.jobType.repeatableByKey
	if !a.cancelRequested && !r.NeverRan() {
		retry = retry && c.retryBudget.tokens >= 1
		c.retryBudget.tokens = max(0, c.retryBudget.tokens-1)
	}
	return retry && j.attemptCount < c.settings.maxAttempts && c.shedReason(j) == ""
}

// mayCancelToRetry reports whether a job's attempt may be canceled for another, well inside its window.
func (c *Controller) mayCancelToRetry(j *job) bool {
	t := j.jobType
	return !j.finished && !j.streaming && j.attemptCount < c.settings.maxAttempts && c.settings.cancelAllowed &&
		(t.repeatable || (t.repeatableByKey && c.now+cancelMargin < j.firstAttemptAt+t.repeatWindow))
}

// cancelToRetry cancels an attempt to send its job again, within the retry budget.
func (c *Controller) cancelToRetry(a *attempt) {
	j, ends := a.job, c.now+Nanos(a.expectedNanos)
	if j.jobType.repeatable && !a.cancelRequested && c.mayCancelToRetry(j) && c.retryBudget.tokens >= 1 &&
		ends <= j.expiresAt && c.retryBudgetAllows() {
		c.retryBudget.tokens--
		c.cancelAttempt(a)
	}
}

// handleProgress cancels an attempt whose progress shows a bad plan, to retry its job.
func (c *Controller) handleProgress(ev Event) {
	a := c.attemptOf(ev)
	if a == nil {
		return
	}
	a.lastProgressAt, a.engine.lastSeenAt = c.now, c.now
	took := float64(c.now - a.dispatchedAt - a.stalled)
	projected := took / max(ev.Amount, minProgress)
	badPlan := projected > badPlanFactor*c.durationSpread()*a.expectedNanos
	if ev.Progress == ProgressFraction && badPlan && projected-took > minBadPlanRemainder*a.expectedNanos {
		c.cancelToRetry(a)
	}
}

// durationSpread is the factor on those limits for the recent error of expected durations, at least 1.
func (c *Controller) durationSpread() float64 {
	return max(1, math.Exp(durationErrorFactor*c.durationError.mean)/badPlanFactor)
}

// progressStopped reports whether an attempt's progress reports have stopped although they are expected.
func (c *Controller) progressStopped(a *attempt) bool {
	period := c.settings.progressPeriod
	return period > 0 && c.now-a.lastProgressAt > missedHalfPeriods*period/2
}

// checkAttempt handles an attempt whose progress reports stopped or that is overdue: it counts as a timeout
// of its engine and is canceled for a retry.
func (c *Controller) checkAttempt(a *attempt) {
	t, stopped := a.job.jobType, c.progressStopped(a)
	if t.locksTables { // loads may rightly stand still
		if stopped && !t.repeatableByKey && !t.repeatable {
			c.finishUnserved(a.job, ProgressStopped) // its answer will not come, and its key's next jobs wait for it
		}
		return
	}
	limit := max(overdueFactor*c.durationSpread()*a.expectedNanos, float64(t.latencyObjective)/2)
	overdue := float64(c.now-a.dispatchedAt-a.stalled) > limit
	if a.cancelRequested || (!stopped && !overdue) {
		return
	}
	if !a.countedAsTimeout {
		a.countedAsTimeout = true
		c.recordOutcome(a.engine, TimedOut, 0)
	}
	c.cancelToRetry(a)
}
