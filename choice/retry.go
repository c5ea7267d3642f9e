package choice

import "math"

const (
	retryTokensPerJob = 0.2  // retries of what may have run, that an admitted job pays for
	maxRetryTokens    = 10.0 // that may be saved up

	overdueFactor        = 4.0    // times its expected time: an attempt is overdue
	badPlanFactor        = 3.0    // times its expected time, projected from its progress: it has a bad plan
	minBadPlanRemainder  = 1.5    // times its expected time that such an attempt must have to go
	minProgress          = 0.01   // a lower reported fraction counts as this
	durationErrorFactor  = 2.5    // mean errors of expected times that are chance: later where estimates scatter
	initialDurationError = 0.4    // of the log of actual over expected time, until the first answers
	missedHalfPeriods    = 5      // without a report of progress: reports stopped
	cancelMargin         = second // before its window ends a job by key is no more canceled
)

// repeatAllowed is rule 2 for a job that may have run.
func (c *Controller) repeatAllowed(j *job, e *engine) bool {
	t := j.jobType
	inScope := t.keyScope == "all" || (t.keyScope == "zone" && e.Zone == j.firstEngine.Zone) ||
		(t.keyScope == "cell" && e.Cell == j.firstEngine.Cell)
	return t.repeatable || (t.repeatableByKey && inScope && c.now < c.repeatDeadline(j))
}

// retryBudgetAllows is rule 7: whether one more dispatch beyond a job's first keeps within the stated budget.
func (c *Controller) retryBudgetAllows() bool {
	window, free, ratio := c.settings.retryWindow, c.settings.freeRetries, c.settings.retryRatio
	c.retryBudget.trim(c.now - window)
	if c.now-c.predecessorEndedAt < window {
		free = 0 // the predecessor may have used it
	}
	retries, admitted := float64(len(c.retryBudget.retriedAt)+1), float64(len(c.retryBudget.admittedAt))
	return math.IsInf(ratio, 1) || retries <= free+ratio*admitted
}

// mayRetry tells whether a job whose attempt ended is worth another one. What may have run and was not
// canceled takes a token of the retry budget.
func (c *Controller) mayRetry(a *attempt, r Result) bool {
	j := a.job
	retry := !j.mayHaveRun || j.jobType.repeatable || j.jobType.repeatableByKey
	if !a.cancelRequested && !r.NeverRan() {
		retry = retry && c.retryBudget.tokens >= 1
		c.retryBudget.tokens = max(0, c.retryBudget.tokens-1)
	}
	return retry && j.attemptCount < c.settings.maxAttempts && !c.shouldShed(j)
}

// mayCancelToRetry tells whether a job's attempt may be canceled for another: by key, well inside its window.
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

// handleProgress reads how far an attempt is. One whose pace shows a bad plan is canceled for another.
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

// durationSpread is how far over those times a good attempt may run as estimates are low, as answers show.
func (c *Controller) durationSpread() float64 {
	return max(1, math.Exp(durationErrorFactor*c.durationError.mean)/badPlanFactor)
}

// progressStopped tells that reports of an attempt's progress stopped, though they should come.
func (c *Controller) progressStopped(a *attempt) bool {
	period := c.settings.progressPeriod
	return period > 0 && c.now-a.lastProgressAt > missedHalfPeriods*period/2
}

// checkAttempt looks after an attempt that is out too long: its reports stopped, or it is far over its time,
// which counts as an error of its engine.
func (c *Controller) checkAttempt(a *attempt) {
	t, stopped := a.job.jobType, c.progressStopped(a)
	if t.locksTables { // loads may rightly stand still
		if stopped && !t.repeatableByKey && !t.repeatable {
			c.finishUnserved(a.job) // its answer will not come, and its key's next jobs wait for it
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
		c.recordOutcome(a.engine, TimedOut)
	}
	c.cancelToRetry(a)
}
