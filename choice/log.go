package choice

import "fmt"

// Log lines: a short text, then key=value with keys in snake_case.

func (c *Controller) logf(text string, v ...any) {
	c.emit(Action{Kind: Log, Text: fmt.Sprintf(text, v...)})
}

// logPlan logs that a plan is followed from now on, or no more.
func (c *Controller) logPlan(weight, missing, demandRatio float64) {
	followed := weight > 0
	if followed == (c.planWeight > 0) {
		return
	}
	c.logf("plan followed=%v missing_share=%.2f demand_ratio=%.2f", followed, missing, demandRatio)
}

// logPressure logs when pressure on more than half of the engines begins, and when it is on less than a quarter.
func (c *Controller) logPressure(engines int) {
	majority := 2*engines > len(c.engines)
	minority := 4*engines < len(c.engines)
	between := !majority && !minority
	if majority == c.fleet.underPressure || between {
		return
	}
	c.fleet.underPressure = majority
	c.logf("fleet pressure=%v pressed_engines=%d engines=%d latency_ratio=%.2f", majority, engines, len(c.engines),
		c.fleet.meanLatencyRatio)
}

// logOverload logs when an overload begins and ends: work has a price.
func (c *Controller) logOverload(price, headWait float64) {
	on := price > 0
	if on == c.overloadLogged {
		return
	}
	c.overloadLogged = on
	c.logf("overload=%v price=%.2f head_wait=%.2f", on, price, headWait)
}

func (c *Controller) logOutage(e *engine) {
	c.logf("outage began engine=%d", e.Engine)
}

func (c *Controller) logEjection(e *engine) {
	c.logf("engine ejected engine=%d consecutive_failures=%d latency_ratio=%.2f attempts_out=%d",
		e.Engine, e.consecutiveFailures, e.latencyRatio, len(e.attempts))
}

func (c *Controller) logRestoration(e *engine) {
	c.logf("engine restored engine=%d probes_passed=%d ejected_seconds=%.1f",
		e.Engine, e.probesPassed, float64(c.now-e.ejectedAt)/float64(second))
}

// restartReason is why an engine seems to have restarted, with keys of its own.
type restartReason string

const reconnected restartReason = "reconnected"

func fewJobs(jobs, expected float64) restartReason {
	return restartReason(fmt.Sprintf("few_jobs jobs=%.0f expected_jobs=%.0f", jobs, expected))
}

func (c *Controller) logSuspectedRestart(e *engine, reason restartReason) {
	c.logf("engine restart suspected engine=%d reason=%s", e.Engine, reason)
}

// logSurvivedDials logs that an engine did not restart though dials to it failed.
func (c *Controller) logSurvivedDials(e *engine) {
	c.logf("engine answers over an older connection engine=%d dials_failed_for=%d", e.Engine, c.now-e.dialFailedAt)
}
