// Package testcluster plays real processes of the program against stand-ins on loopback, with faults between them, and logs all
// that the rules need: who asked for what, what reached engines, what was answered.
package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"

	"swiftreel/internal/rulecheck"
)

// Book is what all stand-ins of a run log.
type EventLog struct {
	mu      sync.Mutex
	entries []rulecheck.Entry
}

// Add logs an entry, now.
func (b *EventLog) Add(e rulecheck.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.T = time.Now().UnixNano()
	b.entries = append(b.entries, e)
}

// Log is all that was logged, in order.
func (b *EventLog) Entries() []rulecheck.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rulecheck.Merge(b.entries)
}

// Fates draws what becomes of dispatches; the draws are a seed's, which dispatch gets which is time's.
type FaultPlan struct {
	mu      sync.Mutex
	random  *rand.Rand
	enabled bool
	work    time.Duration
	failing map[string]bool // engines
}

// NewFates draws from a seed; off, all go well.
func NewFaultPlan(seed uint64, on bool, work time.Duration) *FaultPlan {
	return &FaultPlan{random: rand.New(rand.NewPCG(seed, 1)), enabled: on, work: work}
}

// Fate is what becomes of a dispatch.
type DispatchFault uint8

// The fates: one in five is none of Well.
const (
	NoFault DispatchFault = iota
	RefusesDispatch
	ResetsConnection
	FailsDispatch
	AnswersSlowly
)

// Draw draws one.
func (f *FaultPlan) Draw() DispatchFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.random.IntN(100); f.enabled && n < 20 {
		return DispatchFault(1 + n/5)
	}
	return NoFault
}

// Work is what a dispatch takes from now on.
func (f *FaultPlan) WorkDuration() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work
}

// Takes says what a dispatch takes from now on.
func (f *FaultPlan) SetWorkDuration(work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = work
}

// Break has an engine fail all that it is asked, or serve again.
func (f *FaultPlan) SetFailing(engine string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing == nil {
		f.failing = map[string]bool{}
	}
	f.failing[engine] = is
}

// Broken tells whether it does.
func (f *FaultPlan) Failing(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing[engine]
}
