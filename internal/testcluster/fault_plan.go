package testcluster

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultPlan says what becomes of dispatches at all engines of a cluster. The faults follow a seed; which dispatch
// meets which one follows time. It is safe for concurrent use.
type FaultPlan struct {
	mu      sync.Mutex
	random  *rand.Rand
	enabled bool
	work    time.Duration
	failing map[string]bool // engines
}

// NewFaultPlan draws faults from a seed; not enabled, no dispatch meets one. Work is what a dispatch takes.
func NewFaultPlan(seed uint64, enabled bool, work time.Duration) *FaultPlan {
	return &FaultPlan{random: rand.New(rand.NewPCG(seed, 1)), enabled: enabled, work: work, failing: map[string]bool{}}
}

// DispatchFault is what becomes of a dispatch.
type DispatchFault uint8

// The faults of a dispatch.
const (
	NoFault DispatchFault = iota
	RefusesDispatch
	ResetsConnection // in place of an answer
	FailsDispatch
	AnswersSlowly // after slowFactor times its work
)

const (
	faultPercent = 20 // of all dispatches
	faultKinds   = 4  // equally frequent
	slowFactor   = 20
)

// Draw draws what becomes of the next dispatch.
func (p *FaultPlan) Draw() DispatchFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.random.IntN(100); p.enabled && n < faultPercent {
		return DispatchFault(1 + n/(faultPercent/faultKinds))
	}
	return NoFault
}

// Duration is how long a dispatch with a fault takes at present.
func (p *FaultPlan) Duration(fault DispatchFault) time.Duration {
	if fault == AnswersSlowly {
		return slowFactor * p.WorkDuration()
	}
	return p.WorkDuration()
}

// WorkDuration is what a dispatch takes at present.
func (p *FaultPlan) WorkDuration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work
}

// SetWorkDuration sets what each later dispatch takes.
func (p *FaultPlan) SetWorkDuration(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = work
}

// SetFailing has an engine fail all dispatches and probes, or serve again.
func (p *FaultPlan) SetFailing(engine string, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[engine] = failing
}

// Failing reports whether an engine fails all that reaches it.
func (p *FaultPlan) Failing(engine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing[engine]
}
