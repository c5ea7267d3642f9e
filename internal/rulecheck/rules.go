package rulecheck

import (
	"fmt"
	"slices"
)

// Values of Type.Effect.
const (
	Restartable = "restartable" // it may run any number of times
	Keyed       = "keyed"       // engines drop repeats by its idempotency key
	RunOnce     = "run-once"
)

// scopeAll is the value of Type.DedupScope where all engines drop repeats together.
const scopeAll = "all"

// Type is what the rules say of a job type.
type Type struct {
	Effect      string
	DedupScope  string   // Keyed: which engines drop repeats together, "group" or "all"
	DedupWindow int64    // Keyed: for so long after the first dispatch, in ns
	Ordered     bool     // jobs of one key run one after the other
	Zones       []string // the only ones; none: all
	Kinds       []string // the only ones; none: all
}

// allows reports whether jobs of the type may run on an engine.
func (t Type) allows(e *engine) bool {
	return (len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone)) &&
		(len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind))
}

// dropsRepeats reports whether engines still drop a repeat of a job that one of them began first at a time.
func (t Type) dropsRepeats(firstNS, nowNS int64) bool {
	return nowNS <= firstNS+t.DedupWindow
}

// Rules are the figures of the rules; durations are in ns. A rule whose figures are 0 is not checked, but for
// AnswerSlack.
type Rules struct {
	Types       map[string]Type
	AnswerSlack int64 // how late an answer may be
	DrainGrace  int64 // after an engine drains or is removed
	OrderPause  int64 // of a key after an outcome that is unsure

	WarmUp            int64 // how long a started engine is warming up
	WarmUpWindow      int64 // in a window of this length ...
	WarmUpWorkPerCore int64 // ... it can bear so much work a core

	RetryWindow     int64 // in a window of this length ...
	FreeRetries     int64 // ... there may be so many retries ...
	RetriesPerMille int64 // ... and so many for a thousand jobs accepted
}

// Violation is a broken rule.
type Violation struct {
	Rule   int // 1 to 7
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
