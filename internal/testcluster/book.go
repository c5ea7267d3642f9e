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
type Book struct {
	mu   sync.Mutex
	list []rulecheck.Entry
}

// Add logs an entry, now.
func (b *Book) Add(e rulecheck.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.T = time.Now().UnixNano()
	b.list = append(b.list, e)
}

// Log is all that was logged, in order.
func (b *Book) Log() []rulecheck.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rulecheck.Merge(b.list)
}

// Fates draws what becomes of dispatches; the draws are a seed's, which dispatch gets which is time's.
type Fates struct {
	mu   sync.Mutex
	r    *rand.Rand
	on   bool
	work time.Duration
	bad  map[string]bool // engines
}

// NewFates draws from a seed; off, all go well.
func NewFates(seed uint64, on bool, work time.Duration) *Fates {
	return &Fates{r: rand.New(rand.NewPCG(seed, 1)), on: on, work: work}
}

// Fate is what becomes of a dispatch.
type Fate uint8

// The fates: one in five is none of Well.
const (
	Well Fate = iota
	Full
	Breaks
	Fails
	Slow
)

// Draw draws one.
func (f *Fates) Draw() Fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.r.IntN(100); f.on && n < 20 {
		return Fate(1 + n/5)
	}
	return Well
}

// Work is what a dispatch takes from now on.
func (f *Fates) Work() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work
}

// Takes says what a dispatch takes from now on.
func (f *Fates) Takes(work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = work
}

// Break has an engine fail all that it is asked, or serve again.
func (f *Fates) Break(engine string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bad == nil {
		f.bad = map[string]bool{}
	}
	f.bad[engine] = is
}

// Broken tells whether it does.
func (f *Fates) Broken(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad[engine]
}
