package choice

import "fmt"

// Log lines. Each is one text with keys in snake_case.

func (c *Controller) logf(text string, v ...any) {
	c.emit(Action{Kind: Log, Text: fmt.Sprintf(text, v...)})
}

// logPlan logs that a plan is followed from now on, or no more.
func (c *Controller) logPlan(weight, missing, demandRatio float64) {
	followed := weight > 0
	if followed == (c.planWeight > 0) {
		return
	}
	c.logf("plan followed=%v threads gone=%.2f asked/planned=%.2f", followed, missing, demandRatio)
}

// logPressure logs when pressure on more than half of the engines begins, and when it is on less than a quarter.
func (c *Controller) logPressure(engines int) {
	majority := 2*engines > len(c.engines)
	minority := 4*engines < len(c.engines)
	if majority == c.fleet.underPressure || !(majority || minority) {
		return
	}
	c.fleet.underPressure = majority
	c.logf("pressure=%v on %d of %d engines, latency/best=%.2f", majority, engines, len(c.engines), c.fleet.meanLatencyRatio)
}

// logOverload logs when an overload begins and ends: work has a price.
func (c *Controller) logOverload(price, headWait float64) {
	on := price > 0
	if on == c.overloadLogged {
		return
	}
	c.overloadLogged = on
	c.logf("overload=%v price=%.2f head waited=%.2f of SLA time", on, price, headWait)
}

func (c *Controller) logOutage(e *engine) {
	c.logf("outage: engine %d refused a connection", e.Engine)
}

func (c *Controller) logEjection(e *engine) {
	c.logf("engine %d aside: %d failed or lost in a row, latency/best=%.2f out=%d", e.Engine, e.consecutiveFailures,
		e.latencyRatio, len(e.attempts))
}

func (c *Controller) logRestoration(e *engine) {
	c.logf("engine %d open: %d probes answered after %.1f s", e.Engine, e.probesPassed, float64(c.now-e.ejectedAt)/1e9)
}

// restartReason is why an engine seems to have restarted.
type restartReason string

const reconnected restartReason = "answers after it refused connections"

func fewJobs(jobs, expected float64) restartReason {
	return restartReason(fmt.Sprintf("holds %.0f jobs where %.0f are usual", jobs, expected))
}

func (c *Controller) logSuspectedRestart(e *engine, why restartReason) {
	c.logf("engine %d taken for just started: %s", e.Engine, why)
}
