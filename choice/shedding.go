package choice

const (
	maxShedSlowdown = 2.0 // largest slowdown assumed to predict a job's end

	overloadWait, overloadEndWait  = 0.15, 0.05 // head wait in latency objectives: the price rises, falls
	priceChangePerSecond, maxPrice = 0.5, 2.0   // price of a second of work, in the mean value of one
)

// shedReason says why a job is not worth its work: it cannot end before it expires or we stop, or its value
// per work (the late value past its deadline) is below the overload price. Empty: it is worth it.
func (c *Controller) shedReason(j *job) Reason {
	t, value := j.jobType, j.value
	ends := c.now + Nanos(j.work/t.threads*min(max(1, t.slowdown), maxShedSlowdown))
	if c.nearExpiry(j) || ends > j.expiresAt {
		return TooLateToServe
	} else if ends > c.stopsAt {
		return WouldNotFinish
	}
	late := ends > j.deadline
	if late {
		value *= t.lateValueFactor
	}
	if (late && value == 0) || value/j.work < t.price*c.demand.meanValue/c.demand.meanWork {
		return ValueTooLow
	}
	return ""
}

// nearExpiry reports whether a job needs its final answer now: it expires before the next sweep.
func (c *Controller) nearExpiry(j *job) bool {
	return c.now+sweepInterval+2*c.settings.batchStep >= j.expiresAt
}

// nearStop reports whether all jobs need their final answers now: our process may be killed after stopsAt,
// also while engines hang under job timeouts that are longer.
func (c *Controller) nearStop() bool {
	return c.now+sweepInterval+2*c.settings.batchStep >= c.stopsAt
}

// finishUnserved gives a final answer without a result: Throttle where a repeat by the client is harmless.
func (c *Controller) finishUnserved(j *job, why Reason) {
	if j.finished || j.streaming {
		return
	}
	t := j.jobType
	neverRan := !j.mayHaveRun && j.attempt == nil
	dropsRepeats := t.repeatableByKey && t.keyScope == "all" && c.now < j.firstAttemptAt+t.repeatWindow
	if neverRan || t.repeatable || dropsRepeats {
		c.emit(Action{Kind: Throttle, Job: j.id, Reason: why, Duration: c.settings.retryAfter})
	} else {
		c.emit(Action{Kind: CancelPermanently, Job: j.id, Reason: why})
	}
	c.closeJob(j)
}

// updatePrices adjusts the price of a second of work to how long queue heads wait. A type follows heads of
// types whose places include its own: full engines cost only the types bound to them.
func (c *Controller) updatePrices() {
	step := float64(sweepInterval) / float64(second)
	highest, longestWait := 0.0, 0.0
	for _, t := range c.types {
		wait := c.longestHeadWait(t)
		if wait > overloadWait {
			t.price = min(maxPrice, t.price+priceChangePerSecond*step)
		} else if wait < overloadEndWait {
			t.price = max(0, t.price-priceChangePerSecond*step)
		}
		if c.now-t.lastLatencyAt >= latencyStaleAfter {
			t.slowdown += latencyDecay * (1 - t.slowdown) // or what is rejected for it would keep it
		}
		highest, longestWait = max(highest, t.price), max(longestWait, wait)
	}
	c.logOverload(highest, longestWait)
}
