package choice

import "fmt"

// Log lines: a short text, then key=value pairs with keys in snake_case.

func (c *Controller) logf(format string, v ...any) {
	c.emit(Action{Kind: Log, Text: fmt.Sprintf(format, v...)})
}

// logPlan logs when the controller starts or stops following its plan.
func (c *Controller) logPlan(weight, missing, demandRatio float64) {
	followed := weight > 0
	if followed == (c.planWeight > 0) {
		return
	}
	c.logf("plan followed=%v missing_share=%.2f demand_ratio=%.2f", followed, missing, demandRatio)
}

// logPressure logs when more than half of the engines come under pressure, and when fewer than a quarter
// remain under it.
func (c *Controller) logPressure(engines int) {
	majority := 2*engines > len(c.engines)
	minority := 4*engines < len(c.engines)
	between := !majority && !minority
	if majority == c.fleet.underPressure || between {
		return
	}
	c.fleet.underPressure = majority
	c.logf("fleet pressure=%v pressed_engines=%d engines=%d latency_ratio=%.2f",
		majority, engines, len(c.engines), c.fleet.meanLatencyRatio)
}

// logOverload logs when an overload begins and ends. It lasts while work has a price.
func (c *Controller) logOverload(price, headWait float64) {
	overloaded := price > 0
	if overloaded == c.overloadLogged {
		return
	}
	c.overloadLogged = overloaded
	c.logf("overload=%v price=%.2f head_wait=%.2f", overloaded, price, headWait)
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

// restartReason is why an engine is suspected to have restarted. It may include key=value pairs.
type restartReason string

const reasonReconnected restartReason = "reconnected"

func reasonFewJobs(jobs, expected float64) restartReason {
	return restartReason(fmt.Sprintf("few_jobs jobs=%.0f expected_jobs=%.0f", jobs, expected))
}

func (c *Controller) logSuspectedRestart(e *engine, reason restartReason) {
	c.logf("engine restart suspected engine=%d reason=%s", e.Engine, reason)
}

// logSurvivedDials logs that an engine did not restart although dials to it failed.
func (c *Controller) logSurvivedDials(e *engine) {
	c.logf("engine answers over an older connection engine=%d dials_failed_for=%d",
		e.Engine, c.now-e.dialFailedAt)
}
