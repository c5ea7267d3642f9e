package rulecheck

import (
	"fmt"
	"slices"
)

// Values of Type.Effect.
const (
	Restartable = "restartable" // may run any number of times
	Keyed       = "keyed"       // engines drop repeats with the same idempotency key
	RunOnce     = "run-once"
)

// scopeAll is the Type.DedupScope of jobs whose repeats are dropped by all engines together.
const scopeAll = "all"

// Type is the set of rules for a job type.
type Type struct {
	Effect      string
	DedupScope  string   // Keyed: which engines drop repeats together, "group" or "all"
	DedupWindow int64    // Keyed: how long after the first dispatch repeats are dropped, in ns
	Ordered     bool     // jobs with the same key run one after the other
	Zones       []string // allowed zones; empty: all
	Kinds       []string // allowed kinds of engines; empty: all
}

// allows reports whether jobs of the type may run on an engine.
func (t Type) allows(e *engine) bool {
	return (len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone)) &&
		(len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind))
}

// dropsRepeats reports whether engines still drop a repeat of a job at nowNS if its first dispatch began at firstNS.
func (t Type) dropsRepeats(firstNS, nowNS int64) bool {
	return nowNS <= firstNS+t.DedupWindow
}

// Rules are the parameters of the rules, with durations in ns. A rule whose parameters are 0 is not checked, except for
// AnswerSlack.
type Rules struct {
	Types       map[string]Type
	AnswerSlack int64 // how late an answer may come
	DrainGrace  int64 // how long dispatches may still arrive after an engine drains or is removed
	OrderPause  int64 // how long a key pauses after an uncertain outcome

	WarmUp            int64 // how long an engine warms up after its start
	WarmUpWindow      int64 // window in which work is summed
	WarmUpWorkPerCore int64 // maximum work per core in a window while warming up

	RetryWindow     int64 // window in which retries are counted
	FreeRetries     int64 // retries allowed in a window regardless of jobs
	RetriesPerMille int64 // further retries allowed per thousand jobs accepted in the window
}

// Violation is a violation of a rule.
type Violation struct {
	Rule   int // number of the rule, 1 to 7
	TimeNS int64
	Job    string
	Text   string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %d: job %s: %s", v.Rule, v.TimeNS, v.Job, v.Text)
}

// The rules by number.
const (
	ruleAnswer    = 1
	ruleEffect    = 2
	ruleDrain     = 3
	ruleWarmUp    = 4
	ruleOrder     = 5
	rulePlacement = 6
	ruleRetries   = 7
)
