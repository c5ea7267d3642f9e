package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultPlan decides which dispatches at a cluster's engines meet a fault. The sequence of faults is drawn from a seed,
// but which dispatch meets which fault depends on timing. It is safe for concurrent use.
type FaultPlan struct {
	mu      sync.Mutex
	random  *rand.Rand
	enabled bool
	work    time.Duration
	failing map[string]bool // by engine
}

// NewFaultPlan returns a plan that draws faults from a seed, or none if enabled is false. work is the duration of a
// dispatch.
func NewFaultPlan(seed uint64, enabled bool, work time.Duration) *FaultPlan {
	return &FaultPlan{random: rand.New(rand.NewPCG(seed, 1)), enabled: enabled, work: work, failing: map[string]bool{}}
}

// DispatchFault is a fault of a dispatch.
type DispatchFault uint8

// The faults of a dispatch.
const (
	NoFault DispatchFault = iota
	RefusesDispatch
	ResetsConnection // instead of answering
	FailsDispatch
	AnswersSlowly // after slowFactor times its work duration
)

const (
	faultPercent = 20 // of all dispatches
	faultKinds   = 4  // equally frequent
	slowFactor   = 20
)

// Draw draws the fault of the next dispatch.
func (p *FaultPlan) Draw() DispatchFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.random.IntN(100); p.enabled && n < faultPercent {
		return DispatchFault(1 + n/(faultPercent/faultKinds))
	}
	return NoFault
}

// Duration returns the current duration of a dispatch with the given fault.
func (p *FaultPlan) Duration(fault DispatchFault) time.Duration {
	if fault == AnswersSlowly {
		return slowFactor * p.WorkDuration()
	}
	return p.WorkDuration()
}

// WorkDuration returns the current duration of a dispatch.
func (p *FaultPlan) WorkDuration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work
}

// SetWorkDuration sets the duration of later dispatches.
func (p *FaultPlan) SetWorkDuration(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = work
}

// SetFailing sets whether an engine fails all dispatches and probes.
func (p *FaultPlan) SetFailing(engine string, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[engine] = failing
}

// Failing reports whether an engine fails all dispatches and probes.
func (p *FaultPlan) Failing(engine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing[engine]
}
