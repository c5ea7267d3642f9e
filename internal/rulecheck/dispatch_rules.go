package rulecheck

import "slices"

// checkEffect checks a dispatch that began against rule 2.
func (c *checker) checkEffect(entry Entry, repeated *job, target *engine) {
	if repeated.began == 0 {
		return
	}
	t := c.rules.Types[repeated.Type]
	switch t.Effect {
	case RunOnce:
		c.report(ruleEffect, entry, "begins a second time, first at %s", repeated.first.Engine)
	case Keyed:
		previous := c.engines[repeated.first.Engine]
		if t.DedupScope != scopeAll && previous != nil && previous.Group != target.Group {
			c.report(ruleEffect, entry, "begins again in group %s, first in %s", target.Group, previous.Group)
		} else if !t.dropsRepeats(repeated.first.TimeNS, entry.TimeNS) {
			c.report(ruleEffect, entry, "begins again %d ns after the first time", entry.TimeNS-repeated.first.TimeNS)
		}
	}
}

// checkDrain checks a dispatch against rule 3.
func (c *checker) checkDrain(entry Entry, target *engine) {
	if target.State != stateReady && entry.TimeNS > target.unavailableSince+c.rules.DrainGrace {
		c.report(ruleDrain, entry, "reaches engine %s %d ns after it was %s",
			entry.Engine, entry.TimeNS-target.unavailableSince, target.State)
	}
}

// checkWarmUp checks a dispatch that began against rule 4, which limits the sum over all controllers.
func (c *checker) checkWarmUp(entry Entry, target *engine) {
	if target.Started == 0 || c.rules.WarmUp == 0 || entry.TimeNS >= target.Started+c.rules.WarmUp {
		return
	}
	target.warmUpWork = slices.DeleteFunc(append(target.warmUpWork, entry), func(earlier Entry) bool {
		return earlier.TimeNS < entry.TimeNS-c.rules.WarmUpWindow
	})
	sum := int64(0)
	for _, began := range target.warmUpWork {
		sum += began.Work
	}
	if limit := c.rules.WarmUpWorkPerCore * target.Cores; sum > limit {
		c.report(ruleWarmUp, entry, "engine %s is warming up and gets %d ns of work in a window, limit %d ns",
			entry.Engine, sum, limit)
	}
}

// checkOrder checks a dispatch that began against rule 5.
func (c *checker) checkOrder(entry Entry, j *job) {
	if !c.rules.Types[j.Type].Ordered || j.Key == "" {
		return
	}
	for _, earlier := range c.orderedJobs[orderKey{scope: j.OrderScope, key: j.Key}] {
		if earlier == j {
			return
		}
		if earlier.finishedAt == 0 {
			c.report(ruleOrder, entry, "begins before job %s of its key has finished", earlier.Job)
		} else if earlier.uncertainAt > 0 && entry.TimeNS < earlier.uncertainAt+c.rules.OrderPause {
			c.report(ruleOrder, entry, "begins %d ns after an uncertain outcome of job %s of its key",
				entry.TimeNS-earlier.uncertainAt, earlier.Job)
		}
	}
}

// checkPlacement checks a dispatch against rule 6.
func (c *checker) checkPlacement(entry Entry, j *job, target *engine) {
	if !c.rules.Types[j.Type].allows(target) {
		c.report(rulePlacement, entry, "reaches engine %s in zone %s of kind %s", entry.Engine, target.Zone, target.Kind)
	}
}

// checkRetries checks a retry against rule 7.
func (c *checker) checkRetries(entry Entry) {
	c.retriedAt = append(c.retriedAt, entry.TimeNS)
	if c.rules.RetryWindow == 0 {
		return
	}
	expired := func(timeNS int64) bool { return timeNS <= entry.TimeNS-c.rules.RetryWindow }
	c.retriedAt = slices.DeleteFunc(c.retriedAt, expired)
	c.acceptedAt = slices.DeleteFunc(c.acceptedAt, expired)
	retries := int64(len(c.retriedAt))
	accepted := int64(len(c.acceptedAt))
	if 1000*retries > 1000*c.rules.FreeRetries+c.rules.RetriesPerMille*accepted {
		c.report(ruleRetries, entry, "%d retries for %d jobs accepted", retries, accepted)
	}
}
