package choice

import "math"

const (
	retryTokensPerJob = 0.2  // retries of attempts that may have run, earned per admitted job
	maxRetryTokens    = 10.0 // cap on saved retries

	overdueFactor        = 4.0    // an attempt is overdue at this many times its expected duration
	badPlanFactor        = 3.0    // an execution plan is bad if it is projected to take this many times as long
	minBadPlanRemainder  = 1.5    // and to need at least this many expected durations more
	minProgress          = 0.01   // lower bound of reported fractions
	durationErrorFactor  = 2.5    // normal spread of durations, in mean errors
	initialDurationError = 0.4    // mean error (natural log) assumed before the first answers
	maxMissedHalfPeriods = 5      // half report periods without a report, after which reports have stopped
	keyedCancelMargin    = second // no keyed job is canceled this close to the end of its repeat window
)

// retrySafe implements rule 2 for a job that may have run: the job is restartable, or it is keyed and engines
// still drop repeats of its key.
func (c *Controller) retrySafe(j *job, e *engine) bool {
	t := j.jobType
	inScope := t.keyScope == "all" || (t.keyScope == "zone" && e.Zone == j.firstEngine.Zone) ||
		(t.keyScope == "cell" && e.Cell == j.firstEngine.Cell)
	return t.restartable || (t.keyed && inScope && c.now < c.retrySafeUntil(j))
}

// retrySafeUntil returns when engines may stop dropping repeats of a job's key, less the delay of events.
func (c *Controller) retrySafeUntil(j *job) Nanos {
	return j.firstAttemptAt + j.jobType.repeatWindow - 2*c.settings.maxEventDelay
}

// mayCancel reports whether an attempt may be canceled: only once, and only if the settings allow it.
func (c *Controller) mayCancel(a *attempt) bool {
	return !a.cancelRequested && c.settings.cancelAllowed
}

// retryBudgetAllows implements rule 7: another dispatch beyond a job's first is within the configured budget.
func (c *Controller) retryBudgetAllows() bool {
	window, freeRetries, ratio := c.settings.retryWindow, c.settings.freeRetries, c.settings.retryRatio
	c.retryBudget.trim(c.now - window)
	if c.now-c.predecessorEndedAt < window {
		freeRetries = 0 // the predecessor may have used them
	}
	retries, admitted := float64(len(c.retryBudget.retriedAt)+1), float64(len(c.retryBudget.admittedAt))
	return math.IsInf(ratio, 1) || retries <= freeRetries+ratio*admitted
}

// takeRetry decides whether a job whose attempt ended gets another one. An attempt that may have run and was
// not canceled takes a retry token, also if no retry follows.
func (c *Controller) takeRetry(a *attempt, r Result) bool {
	j := a.job
	allowed := !j.mayHaveRun || j.jobType.restartable || j.jobType.keyed
	if !a.cancelRequested && !r.NeverRan() {
		allowed = allowed && c.retryBudget.tokens >= 1
		c.retryBudget.tokens = max(0, c.retryBudget.tokens-1)
	}
	return allowed && j.attemptCount < c.settings.maxAttempts && c.shedReason(j) == ""
}

// mayCancelToRetry reports whether a job's attempt may be canceled and retried. A keyed job must be well
// within its repeat window.
func (c *Controller) mayCancelToRetry(j *job) bool {
	t := j.jobType
	return !j.finished && !j.streaming && j.attemptCount < c.settings.maxAttempts && c.settings.cancelAllowed &&
		(t.restartable || (t.keyed && c.now+keyedCancelMargin < j.firstAttemptAt+t.repeatWindow))
}

// cancelToRetry cancels an attempt so that its job is retried, within the retry budget.
func (c *Controller) cancelToRetry(a *attempt) {
	j, expectedEnd := a.job, c.now+Nanos(a.expectedDuration)
	if j.jobType.restartable && !a.cancelRequested && c.mayCancelToRetry(j) && c.retryBudget.tokens >= 1 &&
		expectedEnd <= j.expiresAt && c.retryBudgetAllows() {
		c.retryBudget.tokens--
		c.cancelAttempt(a)
	}
}

// handleProgress cancels an attempt whose progress shows a bad execution plan, to retry its job.
func (c *Controller) handleProgress(ev Event) {
	a := c.attemptOf(ev)
	if a == nil {
		return
	}
	a.lastProgressAt, a.engine.lastSeenAt = c.now, c.now
	elapsed := float64(c.now - a.dispatchedAt - a.stallTime)
	projected := elapsed / max(ev.Amount, minProgress)
	badPlan := projected > badPlanFactor*c.durationSpread()*a.expectedDuration
	if ev.Progress == ProgressFraction && badPlan && projected-elapsed > minBadPlanRemainder*a.expectedDuration {
		c.cancelToRetry(a)
	}
}

// durationSpread returns the factor, at least 1, by which recent errors of expected durations widen the
// limits for bad execution plans and overdue attempts.
func (c *Controller) durationSpread() float64 {
	return max(1, math.Exp(durationErrorFactor*c.durationError.mean)/badPlanFactor)
}

// progressStopped reports whether progress reports of an attempt are expected but have stopped.
func (c *Controller) progressStopped(a *attempt) bool {
	period := c.settings.progressPeriod
	return period > 0 && c.now-a.lastProgressAt > maxMissedHalfPeriods*period/2
}

// checkAttempt handles an attempt that is overdue or whose progress reports stopped: the attempt counts as a
// timeout of its engine, and is canceled to retry its job.
func (c *Controller) checkAttempt(a *attempt) {
	t, stopped := a.job.jobType, c.progressStopped(a)
	if t.locksTables { // a load may wait without progress, which is no fault
		if stopped && !t.keyed && !t.restartable {
			c.finishWithoutResult(a.job, ProgressStopped) // no answer will come, and the next jobs of its key wait
		}
		return
	}
	limit := max(overdueFactor*c.durationSpread()*a.expectedDuration, float64(t.latencyObjective)/2)
	overdue := float64(c.now-a.dispatchedAt-a.stallTime) > limit
	if a.cancelRequested || (!stopped && !overdue) {
		return
	}
	if !a.countedAsTimeout {
		a.countedAsTimeout = true
		c.recordOutcome(a.engine, TimedOut, 0)
	}
	c.cancelToRetry(a)
}
