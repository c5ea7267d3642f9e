package main

import "swiftreel/internal/rulecheck"

// counts holds the numbers of a run's jobs and dispatches.
type counts struct {
	jobs, done, throttled, cancelled int
	dispatches, begun                int
	lookups, lookupsDone             int // from the MessagePack clients
	requests, requestsDone           int // from the SPARQL clients
	violations                       []rulecheck.Violation
}

func (c *counts) add(other counts) {
	c.jobs += other.jobs
	c.done += other.done
	c.throttled += other.throttled
	c.cancelled += other.cancelled
	c.dispatches += other.dispatches
	c.begun += other.begun
	c.violations = append(c.violations, other.violations...)
}

// countLog counts the events in a run's log and checks it against the rules.
func countLog(log []rulecheck.Entry) counts {
	c := counts{violations: rulecheck.Check(rules, log)}
	types := map[string]string{} // job type by job
	for _, e := range log {
		switch e.Event {
		case rulecheck.Accepted:
			types[e.Job] = e.Type
			c.countJob(e.Type)
		case rulecheck.Answered:
			c.countAnswer(types[e.Job], e.Answer)
		case rulecheck.Began:
			c.begun++
			c.dispatches++
		case rulecheck.Reached:
			c.dispatches++
		}
	}
	return c
}

func (c *counts) countJob(jobType string) {
	c.jobs++
	switch jobType {
	case lookupType:
		c.lookups++
	case queryType, updateType:
		c.requests++
	}
}

func (c *counts) countAnswer(jobType, answer string) {
	switch answer {
	case rulecheck.Throttled:
		c.throttled++
	case rulecheck.Cancelled:
		c.cancelled++
	case rulecheck.Done:
		c.done++
		switch jobType {
		case lookupType:
			c.lookupsDone++
		case queryType, updateType:
			c.requestsDone++
		}
	}
}
