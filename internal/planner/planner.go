// Package planner decides when a new plan for the fleet is due, and builds the planning problem from the recent load of
// the controllers and the engines that they see. It does not solve the problem.
//
// The package is free of I/O and clock: callers pass the time in nanoseconds. A Planner is not safe for concurrent
// use.
package planner

import (
	"fmt"
	"slices"

	"swiftreel/internal/canary"
	"swiftreel/internal/solve"
)

// Timing bounds how often the fleet is planned. Times are in nanoseconds.
type Timing struct {
	MaxInterval int64 // after which a new plan is due even if nothing has changed
	MinInterval int64 // between two attempts; doubled with each consecutive failure
}

const (
	// maxBackoffDoublings bounds the interval after failed attempts to 64 times MinInterval.
	maxBackoffDoublings = 6
	// engineConfirmations is the number of consecutive observations that must show a change of the engines.
	engineConfirmations = 2
)

// Planner is the planning state of one leader. A new leader starts with a new Planner, and plans once it knows the
// load.
type Planner struct {
	timing    Timing
	base      solve.Problem // as configured by the operator: lists all possible engines; its demand is ignored
	startedAt int64

	attemptedAt    int64 // 0 if never
	failures       int   // consecutive
	plannedLoad    map[loadSource]float64
	plannedEngines []string
	engineChanges  int // consecutive observations with engines other than planned
}

// Observation is the leader's view of the fleet at one time.
type Observation struct {
	Rates   map[string]map[canary.Group]float64 // jobs per second, by zone of origin
	Engines [][]string                          // ready engines as seen by each controller, sorted
}

// New returns a Planner for the problem configured by the operator.
func New(base solve.Problem, timing Timing, now int64) *Planner {
	return &Planner{timing: timing, base: base, startedAt: now}
}

// Next returns the problem to solve and the reason why a new plan is due, or nil if none is due.
func (p *Planner) Next(now int64, observed Observation) (*solve.Problem, string) {
	engines := readyEngines(observed.Engines)
	load := p.threadLoad(observed.Rates)
	if slices.Equal(engines, p.plannedEngines) {
		p.engineChanges = 0
	} else {
		p.engineChanges++
	}
	if len(engines) == 0 || len(load) == 0 || p.isTooEarly(now) {
		return nil, ""
	}
	reason := p.dueReason(now, engines, load)
	if reason == "" {
		return nil, ""
	}
	p.attemptedAt = now
	p.plannedLoad = load
	p.plannedEngines = engines
	p.engineChanges = 0
	return p.buildProblem(observed.Rates, engines), reason
}

// isTooEarly reports whether the minimum interval since the start or the last attempt has not yet passed.
func (p *Planner) isTooEarly(now int64) bool {
	if now-p.startedAt < p.timing.MinInterval {
		return true
	}
	backoff := p.timing.MinInterval << min(p.failures, maxBackoffDoublings)
	return p.attemptedAt != 0 && now-p.attemptedAt < backoff
}

// dueReason returns the reason why a plan is due, or "".
func (p *Planner) dueReason(now int64, engines []string, load map[loadSource]float64) string {
	switch {
	case p.attemptedAt == 0:
		return "first plan"
	case p.engineChanges >= engineConfirmations:
		return fmt.Sprintf("%d engines, planned for %d", len(engines), len(p.plannedEngines))
	case now-p.attemptedAt >= p.timing.MaxInterval:
		return "interval elapsed"
	}
	return loadChange(p.plannedLoad, load)
}

// ReportResult records whether a plan was found. Consecutive failures lengthen the interval between attempts.
func (p *Planner) ReportResult(isPlanned bool) {
	if isPlanned {
		p.failures = 0
		return
	}
	p.failures++
}

// UnknownEngines returns the ready engines that the operator's problem does not list. They are left out of plans.
func (p *Planner) UnknownEngines() []string {
	var unknown []string
	for _, name := range p.plannedEngines {
		isListed := slices.ContainsFunc(p.base.Engines, func(engine solve.Engine) bool { return engine.Name == name })
		if !isListed {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// readyEngines returns the sorted names of the engines that more than half of the controllers see as ready, because a
// single controller's list may be out of date.
func readyEngines(lists [][]string) []string {
	counts := map[string]int{}
	for _, list := range lists {
		for _, name := range list {
			counts[name]++
		}
	}
	var names []string
	for name, count := range counts {
		if 2*count > len(lists) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
