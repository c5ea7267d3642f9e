package rulecheck

import (
	"fmt"
	"slices"
)

// The effects of a type's jobs.
const (
	Restartable = "restartable"
	Keyed       = "keyed"
	RunOnce     = "run-once"
)

// Type is what the rules say of a reservation type.
type Type struct {
	Effect      string
	DedupScope  string // keyed: "group" or "all" engines drop repeats
	DedupWindow int64  // keyed: for so long after the first dispatch
	Ordered     bool   // one after the other by key
	Zones       []string
	Kinds       []string
}

// Rules are the figures. 0 means that a rule is not stated, but for the slack.
type Rules struct {
	Types             map[string]Type
	AnswerSlack       int64 // an answer may be so late
	DrainGrace        int64 // after an engine drains or is gone
	OrderPause        int64 // of a key after an unsure outcome
	WarmUp            int64 // a started engine is cold for so long
	WarmUpWindow      int64 // in a window of so long ...
	WarmUpWorkPerCore int64 // ... a cold engine stands so much work a core
	RetryWindow       int64 // of rule 7
	FreeRetries       int64 // further dispatches in it ...
	RetriesPerMille   int64 // ... and so many for a thousand jobs taken
}

// Violation is a broken rule.
type Violation struct {
	Rule   int
	TimeNS int64
	Job    string
	Text   string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %d: job %s: %s", v.Rule, v.TimeNS, v.Job, v.Text)
}

type job struct {
	Entry
	answer  string // "" while owed
	sent    int    // dispatches that reached an engine
	first   Entry  // that began
	began   int
	running int
	unsure  int64 // the last unsure outcome
	over    int64 // answered, and nothing runs
}

type engine struct {
	Entry
	since int64 // it drains, or is gone
	work  []Entry
}

type checker struct {
	rules   Rules
	jobs    map[string]*job
	order   map[string][]*job // by front, type's key
	engines map[string]*engine
	taken   []int64
	further []int64
	found   []Violation
}

// Check finds every broken rule in a merged log, in its order.
func Check(r Rules, log []Entry) []Violation {
	c := &checker{rules: r, jobs: map[string]*job{}, order: map[string][]*job{}, engines: map[string]*engine{}}
	for _, e := range log {
		switch e.Event {
		case Listed:
			c.listed(e)
		case Accepted:
			c.take(e)
		case Answered, ClientLeft:
			c.answered(e)
		case Reached, Began:
			c.reached(e)
		case Ended:
			c.ended(e)
		}
	}
	for _, e := range log {
		if j := c.jobs[e.Job]; e.Event == Accepted && j.answer == "" {
			c.broken(1, e, "no final answer")
		}
	}
	return c.found
}

func (c *checker) broken(rule int, e Entry, text string, v ...any) {
	c.found = append(c.found, Violation{rule, e.TimeNS, e.Job, fmt.Sprintf(text, v...)})
}

func (c *checker) listed(e Entry) {
	was := c.engines[e.Engine]
	now := &engine{Entry: e}
	if was != nil && was.Started == e.Started {
		now.work = was.work
	}
	if e.State != "ready" {
		if now.since = e.TimeNS; was != nil && was.State != "ready" {
			now.since = was.since
		}
	}
	c.engines[e.Engine] = now
}

func (c *checker) take(e Entry) {
	if c.jobs[e.Job] != nil {
		c.broken(1, e, "taken twice under one name")
		return
	}
	j := &job{Entry: e}
	c.jobs[e.Job] = j
	c.taken = append(c.taken, e.TimeNS)
	if c.rules.Types[e.Type].Ordered && e.Key != "" {
		line := e.Front + "\n" + e.Key
		c.order[line] = append(c.order[line], j)
	}
}

func (c *checker) answered(e Entry) {
	j := c.jobs[e.Job]
	switch {
	case j == nil:
		c.broken(1, e, "an answer for a job that nobody asked for")
		return
	case j.answer == ClientLeft:
		c.broken(1, e, "an answer after the client left")
	case j.answer != "":
		c.broken(1, e, "a second final answer: %s after %s", e.Answer, j.answer)
	case e.Event == Answered && e.TimeNS > j.DeadlineNS+c.rules.AnswerSlack:
		c.broken(1, e, "its final answer comes %d ns late", e.TimeNS-j.DeadlineNS)
	}
	if j.answer = e.Answer; e.Event == ClientLeft {
		j.answer = ClientLeft
	}
	t := c.rules.Types[j.Type]
	if e.Answer == Throttled && j.began > 0 && (t.Effect == RunOnce || t.Effect == Keyed && (t.DedupScope != "all" || e.TimeNS > j.first.TimeNS+t.DedupWindow)) {
		c.broken(2, e, "throttled though it may have run")
	}
	if e.Answer == Done && j.began == 0 {
		c.broken(1, e, "done, and no engine began it")
	}
	c.rest(j, e.TimeNS)
}

func (c *checker) rest(j *job, t int64) {
	if j.answer != "" && j.running == 0 {
		j.over = max(j.over, t)
	}
}

func (c *checker) reached(e Entry) {
	j, to := c.jobs[e.Job], c.engines[e.Engine]
	if j == nil || to == nil {
		c.broken(1, e, "a dispatch of what nobody asked for, or to engine %s that is in no list", e.Engine)
		return
	}
	t := c.rules.Types[j.Type]
	if j.sent++; j.sent > 1 {
		c.further = append(c.further, e.TimeNS)
		c.budget(e)
	}
	if to.State != "ready" && e.TimeNS > to.since+c.rules.DrainGrace {
		c.broken(3, e, "reaches engine %s %d ns after it was %s", e.Engine, e.TimeNS-to.since, to.State)
	}
	if len(t.Zones) > 0 && !slices.Contains(t.Zones, to.Zone) || len(t.Kinds) > 0 && !slices.Contains(t.Kinds, to.Kind) {
		c.broken(6, e, "reaches engine %s in zone %s of kind %s", e.Engine, to.Zone, to.Kind)
	}
	if e.Event != Began {
		return
	}
	c.effect(j, t, to, e)
	c.cold(to, e)
	if t.Ordered && j.Key != "" {
		for _, o := range c.order[j.Front+"\n"+j.Key] {
			if o == j {
				break
			}
			if o.over == 0 {
				c.broken(5, e, "begins before job %s of its key is over", o.Job)
			} else if o.unsure > 0 && e.TimeNS < o.unsure+c.rules.OrderPause {
				c.broken(5, e, "begins %d ns after an unsure outcome of job %s of its key", e.TimeNS-o.unsure, o.Job)
			}
		}
	}
	if j.began++; j.began == 1 {
		j.first = e
	}
	j.running++
}

// effect is rule 2.
func (c *checker) effect(j *job, t Type, to *engine, e Entry) {
	if j.began == 0 {
		return
	}
	switch t.Effect {
	case RunOnce:
		c.broken(2, e, "begins a second time, first at %s", j.first.Engine)
	case Keyed:
		if was := c.engines[j.first.Engine]; t.DedupScope != "all" && was != nil && was.Group != to.Group {
			c.broken(2, e, "begins again in group %s, first in %s", to.Group, was.Group)
		} else if e.TimeNS > j.first.TimeNS+t.DedupWindow {
			c.broken(2, e, "begins again %d ns after the first time", e.TimeNS-j.first.TimeNS)
		}
	}
}

// cold is rule 4, over all controllers.
func (c *checker) cold(to *engine, e Entry) {
	if to.Started == 0 || c.rules.WarmUp == 0 || e.TimeNS >= to.Started+c.rules.WarmUp {
		return
	}
	to.work = slices.DeleteFunc(append(to.work, e), func(o Entry) bool { return o.TimeNS < e.TimeNS-c.rules.WarmUpWindow })
	sum := int64(0)
	for _, o := range to.work {
		sum += o.Work
	}
	if most := c.rules.WarmUpWorkPerCore * to.Cores; sum > most {
		c.broken(4, e, "cold engine %s is given %d ns of work in a window, %d it stands", e.Engine, sum, most)
	}
}

// budget is rule 7.
func (c *checker) budget(e Entry) {
	if c.rules.RetryWindow == 0 {
		return
	}
	past := func(t int64) bool { return t <= e.TimeNS-c.rules.RetryWindow }
	c.further, c.taken = slices.DeleteFunc(c.further, past), slices.DeleteFunc(c.taken, past)
	if n := int64(len(c.further)); 1000*n > 1000*c.rules.FreeRetries+c.rules.RetriesPerMille*int64(len(c.taken)) {
		c.broken(7, e, "%d further dispatches for %d jobs taken", n, len(c.taken))
	}
}

func (c *checker) ended(e Entry) {
	j := c.jobs[e.Job]
	if j == nil || j.running == 0 {
		c.broken(1, e, "ends at engine %s where it did not run", e.Engine)
		return
	}
	j.running--
	if e.Answer == Broken {
		j.unsure = e.TimeNS
	}
	c.rest(j, e.TimeNS)
}
