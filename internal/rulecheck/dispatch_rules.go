package rulecheck

import "slices"

// checkEffect holds a dispatch that began against rule 2.
func (c *checker) checkEffect(entry Entry, repeated *job, to *engine) {
	if repeated.began == 0 {
		return
	}
	t := c.rules.Types[repeated.Type]
	switch t.Effect {
	case RunOnce:
		c.report(ruleEffect, entry, "begins a second time, first at %s", repeated.first.Engine)
	case Keyed:
		previous := c.engines[repeated.first.Engine]
		if t.DedupScope != scopeAll && previous != nil && previous.Group != to.Group {
			c.report(ruleEffect, entry, "begins again in group %s, first in %s", to.Group, previous.Group)
		} else if !t.dropsRepeats(repeated.first.TimeNS, entry.TimeNS) {
			c.report(ruleEffect, entry, "begins again %d ns after the first time", entry.TimeNS-repeated.first.TimeNS)
		}
	}
}

// checkDrain holds a dispatch against rule 3.
func (c *checker) checkDrain(entry Entry, to *engine) {
	if to.State != stateReady && entry.TimeNS > to.unavailableSince+c.rules.DrainGrace {
		c.report(ruleDrain, entry, "reaches engine %s %d ns after it was %s",
			entry.Engine, entry.TimeNS-to.unavailableSince, to.State)
	}
}

// checkWarmUp holds a dispatch that began against rule 4, over all controllers.
func (c *checker) checkWarmUp(entry Entry, to *engine) {
	if to.Started == 0 || c.rules.WarmUp == 0 || entry.TimeNS >= to.Started+c.rules.WarmUp {
		return
	}
	to.warmUpWork = slices.DeleteFunc(append(to.warmUpWork, entry), func(earlier Entry) bool {
		return earlier.TimeNS < entry.TimeNS-c.rules.WarmUpWindow
	})
	sum := int64(0)
	for _, began := range to.warmUpWork {
		sum += began.Work
	}
	if limit := c.rules.WarmUpWorkPerCore * to.Cores; sum > limit {
		c.report(ruleWarmUp, entry, "cold engine %s is given %d ns of work in a window, %d it stands",
			entry.Engine, sum, limit)
	}
}

// checkOrder holds a dispatch that began against rule 5.
func (c *checker) checkOrder(entry Entry, j *job) {
	if !c.rules.Types[j.Type].Ordered || j.Key == "" {
		return
	}
	for _, earlier := range c.lines[orderLine{front: j.Front, key: j.Key}] {
		if earlier == j {
			return
		}
		if earlier.finishedAt == 0 {
			c.report(ruleOrder, entry, "begins before job %s of its key is over", earlier.Job)
		} else if earlier.unsureAt > 0 && entry.TimeNS < earlier.unsureAt+c.rules.OrderPause {
			c.report(ruleOrder, entry, "begins %d ns after an unsure outcome of job %s of its key",
				entry.TimeNS-earlier.unsureAt, earlier.Job)
		}
	}
}

// checkPlacement holds a dispatch against rule 6.
func (c *checker) checkPlacement(entry Entry, j *job, to *engine) {
	if !c.rules.Types[j.Type].allows(to) {
		c.report(rulePlacement, entry, "reaches engine %s in zone %s of kind %s", entry.Engine, to.Zone, to.Kind)
	}
}

// checkRetries holds a retry against rule 7.
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
		c.report(ruleRetries, entry, "%d further dispatches for %d jobs taken", retries, accepted)
	}
}
