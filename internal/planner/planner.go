// Package planner decides when a new plan for the fleet is due, and builds the problem to solve from the recent load
// of the controllers and the engines that they see. It does not solve the problem.
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

// Timing says how often the fleet is planned, in nanoseconds.
type Timing struct {
	MaxInterval int64 // after which a new plan is due though nothing has changed
	MinInterval int64 // between two attempts, doubled with each failed one in a row
}

const (
	// maxBackoffDoublings bounds the interval after failed attempts to 64 times MinInterval.
	maxBackoffDoublings = 6
	// engineConfirmations is how many observations in a row must show a change of the engines.
	engineConfirmations = 2
)

// Planner is the planning state of one leader. A new leader starts with a new one, and plans as soon as it knows the
// load.
type Planner struct {
	timing    Timing
	base      solve.Problem // what the operator has set; its engines are all that there may be, its demand is ignored
	startedAt int64

	attemptedAt    int64 // 0: never
	failures       int   // in a row
	plannedLoad    map[loadSource]float64
	plannedEngines []string
	engineChanges  int // observations in a row with other engines than planned
}

// Observation is what the leader sees of the fleet at one time.
type Observation struct {
	Rates   map[string]map[canary.Group]float64 // jobs a second, by zone of origin
	Engines [][]string                          // the ready engines that each controller sees, sorted
}

// New returns a Planner for the operator's problem.
func New(base solve.Problem, timing Timing, now int64) *Planner {
	return &Planner{timing: timing, base: base, startedAt: now}
}

// Next returns the problem to solve now and why it is due, or nil if no new plan is.
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
	reason := p.reason(now, engines, load)
	if reason == "" {
		return nil, ""
	}
	p.attemptedAt = now
	p.plannedLoad = load
	p.plannedEngines = engines
	p.engineChanges = 0
	return p.problem(observed.Rates, engines), reason
}

// isTooEarly reports whether the minimum interval since the start or the last attempt has not passed.
func (p *Planner) isTooEarly(now int64) bool {
	if now-p.startedAt < p.timing.MinInterval {
		return true
	}
	backoff := p.timing.MinInterval << min(p.failures, maxBackoffDoublings)
	return p.attemptedAt != 0 && now-p.attemptedAt < backoff
}

// reason returns why a plan is due, or "".
func (p *Planner) reason(now int64, engines []string, load map[loadSource]float64) string {
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

// ReportResult takes in whether a plan was found. After failures attempts become less frequent.
func (p *Planner) ReportResult(isPlanned bool) {
	if isPlanned {
		p.failures = 0
		return
	}
	p.failures++
}

// UnknownEngines returns the ready engines that the operator's problem does not list; nothing is planned for them.
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

// readyEngines returns the engines that more than half of the controllers see ready, sorted: a single list may be
// late.
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
