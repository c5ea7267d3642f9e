package choice

import (
	"encoding/json"
	"fmt"
	"math"
)

// TypeStats holds the statistics of a type's jobs.
type TypeStats struct {
	meanWork, workCount                      float64 // of a job, ns
	costBias, costCount                      float64 // log of actual work over estimate
	memoryBias, memoryDeviation, memoryCount float64 // log of actual memory over estimate, mean deviation
	bestSlowdown, slowdown                   float64 // latency over (work / threads): best and recent
}

// EngineHealth is the observed health of an engine.
type EngineHealth struct {
	Engine       EngineID
	LatencyRatio float64 // recent slowdowns over the best
	FailureRate  float64 // recent, from 0 to 1
	Ejected      bool
}

// TypeStats returns the statistics of all types by TypeID, for a successor.
func (c *Controller) TypeStats() (stats []TypeStats) {
	for _, t := range c.types {
		stats = append(stats, t.TypeStats)
	}
	return stats
}

// EngineHealth returns the health of ready engines, ordered by ID, for a successor.
func (c *Controller) EngineHealth() (health []EngineHealth) {
	for _, e := range c.engines {
		if e.State == Ready {
			health = append(health, EngineHealth{e.Engine, e.latencyRatio, e.failureRate, e.ejected})
		}
	}
	return health
}

// restoreState replaces this process's statistics by those of its predecessor, which has seen more jobs.
// Implausible statistics are ignored.
func (c *Controller) restoreState(ev Event) {
	for i := range min(len(ev.TypeStats), len(c.types)) {
		if ev.TypeStats[i].plausible() {
			c.types[i].TypeStats = ev.TypeStats[i]
		}
	}
	for _, h := range ev.EngineHealth {
		e := c.engineByID(h.Engine)
		if e == nil || !h.plausible() {
			continue
		}
		e.latencyRatio = h.LatencyRatio
		e.failureRate = h.FailureRate
		if h.Ejected { // the ejection time starts anew
			c.eject(e, false)
		}
	}
}

// Upper bounds of plausible statistics.
const (
	maxPlausibleRatio = 1000          // of latency ratios and slowdowns
	maxPlausibleBias  = 30            // of biases, natural log
	maxPlausible      = 3600 * second // of any value
)

// plausible reports whether the values are within the bounds that a working process keeps.
func (h EngineHealth) plausible() bool {
	return h.LatencyRatio > 0 && h.LatencyRatio <= maxPlausibleRatio && h.FailureRate >= 0 && h.FailureRate <= 1
}

// fields returns pointers to all values, in the order of their JSON encoding.
func (s *TypeStats) fields() [9]*float64 {
	return [9]*float64{&s.meanWork, &s.workCount, &s.costBias, &s.costCount, &s.memoryBias, &s.memoryDeviation,
		&s.memoryCount, &s.bestSlowdown, &s.slowdown}
}

// plausible reports whether the values are within the bounds that a working process keeps.
func (s TypeStats) plausible() bool {
	for _, v := range s.fields() {
		if math.IsNaN(*v) || math.Abs(*v) > float64(maxPlausible) {
			return false
		}
	}
	neverNegative := min(s.workCount, s.costCount, s.memoryCount, s.memoryDeviation)
	alwaysPositive := min(s.meanWork, s.bestSlowdown, s.slowdown)
	largestBias := max(math.Abs(s.costBias), math.Abs(s.memoryBias))
	return neverNegative >= 0 && alwaysPositive > 0 && largestBias <= maxPlausibleBias &&
		s.slowdown <= maxPlausibleRatio
}

// MarshalJSON encodes the values as an array.
func (s TypeStats) MarshalJSON() ([]byte, error) {
	var list [9]float64
	for i, v := range s.fields() {
		list[i] = *v
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes the array that MarshalJSON writes. An array of another length is an error, because
// another version wrote it.
func (s *TypeStats) UnmarshalJSON(text []byte) error {
	var list []float64
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	fields := s.fields()
	if len(list) != len(fields) {
		return fmt.Errorf("type statistics have %d values, want %d", len(list), len(fields))
	}
	for i, v := range fields {
		*v = list[i]
	}
	return nil
}
