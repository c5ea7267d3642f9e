package rulecheck

import "fmt"

// job is the state of a job as of the entries processed so far.
type job struct {
	Entry
	answer      string // final answer; empty: none yet
	dispatches  int    // dispatches that reached an engine
	first       Entry  // first dispatch that began
	began       int    // dispatches that began
	running     int    // dispatches that began and have not ended
	uncertainAt int64  // time of the last uncertain outcome; 0: none
	finishedAt  int64  // when it was answered and no dispatch was running; 0: not yet
}

// engine is the state of an engine as of the entries processed so far.
type engine struct {
	Entry
	unavailableSince int64   // when it began to drain or was removed
	warmUpWork       []Entry // dispatches that began while it warmed up, within the window
}

// orderKey identifies jobs that must run one after the other.
type orderKey struct{ scope, key string }

type checker struct {
	rules       Rules
	jobs        map[string]*job
	orderedJobs map[orderKey][]*job // in order of acceptance
	engines     map[string]*engine
	acceptedAt  []int64 // times of accepted jobs within the retry window
	retriedAt   []int64 // times of retries within the retry window
	violations  []Violation
}

// Check returns every violation in a merged log. Violations are in the order of the log; missing answers come last.
func Check(rules Rules, log []Entry) []Violation {
	c := &checker{
		rules:       rules,
		jobs:        map[string]*job{},
		orderedJobs: map[orderKey][]*job{},
		engines:     map[string]*engine{},
	}
	for _, entry := range log {
		c.handle(entry)
	}
	for _, entry := range log {
		if entry.Event == Accepted && c.jobs[entry.Job].answer == "" {
			c.report(ruleAnswer, entry, "no final answer")
		}
	}
	return c.violations
}

func (c *checker) handle(entry Entry) {
	switch entry.Event {
	case Listed:
		c.listEngine(entry)
	case Accepted:
		c.acceptJob(entry)
	case Answered, ClientLeft:
		c.answer(entry)
	case Reached, Began:
		c.dispatch(entry)
	case Ended:
		c.endDispatch(entry)
	}
}

func (c *checker) report(rule int, entry Entry, format string, values ...any) {
	c.violations = append(c.violations, Violation{
		Rule:   rule,
		TimeNS: entry.TimeNS,
		Job:    entry.Job,
		Text:   fmt.Sprintf(format, values...),
	})
}

func (c *checker) listEngine(entry Entry) {
	previous := c.engines[entry.Engine]
	current := &engine{Entry: entry}
	if previous != nil && previous.Started == entry.Started {
		current.warmUpWork = previous.warmUpWork
	}
	if entry.State != stateReady {
		current.unavailableSince = entry.TimeNS
		if previous != nil && previous.State != stateReady {
			current.unavailableSince = previous.unavailableSince
		}
	}
	c.engines[entry.Engine] = current
}

func (c *checker) acceptJob(entry Entry) {
	if c.jobs[entry.Job] != nil {
		c.report(ruleAnswer, entry, "accepted twice under one ID")
		return
	}
	j := &job{Entry: entry}
	c.jobs[entry.Job] = j
	c.acceptedAt = append(c.acceptedAt, entry.TimeNS)
	if c.rules.Types[entry.Type].Ordered && entry.Key != "" {
		key := orderKey{scope: entry.OrderScope, key: entry.Key}
		c.orderedJobs[key] = append(c.orderedJobs[key], j)
	}
}

func (c *checker) answer(entry Entry) {
	j := c.jobs[entry.Job]
	if j == nil {
		c.report(ruleAnswer, entry, "answer for an unknown job")
		return
	}
	switch {
	case j.answer == ClientLeft:
		c.report(ruleAnswer, entry, "answer after the client disconnected")
	case j.answer != "":
		c.report(ruleAnswer, entry, "second final answer: %s after %s", entry.Answer, j.answer)
	case entry.Event == Answered && entry.TimeNS > j.DeadlineNS+c.rules.AnswerSlack:
		c.report(ruleAnswer, entry, "final answer is %d ns late", entry.TimeNS-j.DeadlineNS)
	}
	j.answer = entry.Answer
	if entry.Event == ClientLeft {
		j.answer = ClientLeft
	}
	if entry.Answer == Throttled && c.mayHaveEffect(j, entry) {
		c.report(ruleEffect, entry, "throttled though it may have run")
	}
	if entry.Answer == Done && j.began == 0 {
		c.report(ruleAnswer, entry, "done, but no engine began it")
	}
	j.finish(entry.TimeNS)
}

// mayHaveEffect reports whether a job may have had an effect, so that a client must not repeat it.
func (c *checker) mayHaveEffect(j *job, entry Entry) bool {
	if j.began == 0 {
		return false
	}
	t := c.rules.Types[j.Type]
	switch t.Effect {
	case RunOnce:
		return true
	case Keyed:
		return t.DedupScope != scopeAll || !t.dropsRepeats(j.first.TimeNS, entry.TimeNS)
	default:
		return false
	}
}

// finish sets finishedAt if the job is answered and no dispatch is running.
func (j *job) finish(timeNS int64) {
	if j.answer != "" && j.running == 0 {
		j.finishedAt = max(j.finishedAt, timeNS)
	}
}

func (c *checker) dispatch(entry Entry) {
	j := c.jobs[entry.Job]
	target := c.engines[entry.Engine]
	if j == nil || target == nil {
		c.report(ruleAnswer, entry, "dispatch of an unknown job, or to unlisted engine %s",
			entry.Engine)
		return
	}
	j.dispatches++
	if j.dispatches > 1 {
		c.checkRetries(entry)
	}
	c.checkDrain(entry, target)
	c.checkPlacement(entry, j, target)
	if entry.Event != Began {
		return
	}
	c.checkEffect(entry, j, target)
	c.checkWarmUp(entry, target)
	c.checkOrder(entry, j)
	if j.began == 0 {
		j.first = entry
	}
	j.began++
	j.running++
}

func (c *checker) endDispatch(entry Entry) {
	j := c.jobs[entry.Job]
	if j == nil || j.running == 0 {
		c.report(ruleAnswer, entry, "ends at engine %s, where it was not running", entry.Engine)
		return
	}
	j.running--
	if entry.Answer == Broken {
		j.uncertainAt = entry.TimeNS
	}
	j.finish(entry.TimeNS)
}
