package choice

import (
	"encoding/json"
	"fmt"
	"math"
)

// TypeStats is what was learned of a reservation type's jobs.
type TypeStats struct {
	meanWork, workCount                      float64 // of a job, ns
	costBias, costCount                      float64 // log of true work over its estimate
	memoryBias, memoryDeviation, memoryCount float64 // log of true memory over its estimate, and its mean deviation
	bestSlowdown, slowdown                   float64 // latency over (work / threads): the best seen, and recent
}

// EngineHealth is what was learned of an engine.
type EngineHealth struct {
	Engine       EngineID
	LatencyRatio float64 // recent latency over the best
	FailureRate  float64 // from 0 to 1
	Ejected      bool
}

// TypeStats returns the statistics of all reservation types, in the order of the settings, for a successor.
func (c *Controller) TypeStats() (stats []TypeStats) {
	for _, t := range c.types {
		stats = append(stats, t.TypeStats)
	}
	return stats
}

// EngineHealth returns the health of ready engines, by ID, for a successor.
func (c *Controller) EngineHealth() (health []EngineHealth) {
	for _, e := range c.engines {
		if e.State == Ready {
			health = append(health, EngineHealth{e.Engine, e.latencyRatio, e.failureRate, e.ejected})
		}
	}
	return health
}

// adoptState takes over the statistics of a predecessor, which has seen more jobs than this process.
func (c *Controller) adoptState(ev Event) {
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
		if h.Ejected { // its ejection time begins now
			c.eject(e, false)
		}
	}
}

// Bounds of what a process can have learned.
const (
	maxPlausibleRatio = 1000          // of latencies
	maxPlausibleBias  = 30            // log
	maxPlausible      = 3600 * second // of any figure
)

// plausible reports whether a process can have learned this.
func (h EngineHealth) plausible() bool {
	return h.LatencyRatio > 0 && h.LatencyRatio <= maxPlausibleRatio && h.FailureRate >= 0 && h.FailureRate <= 1
}

// figures are all of them, in the order of the JSON form.
func (s *TypeStats) figures() [9]*float64 {
	return [9]*float64{&s.meanWork, &s.workCount, &s.costBias, &s.costCount, &s.memoryBias, &s.memoryDeviation,
		&s.memoryCount, &s.bestSlowdown, &s.slowdown}
}

// plausible reports whether a process can have learned this.
func (s TypeStats) plausible() bool {
	for _, v := range s.figures() {
		if math.IsNaN(*v) || math.Abs(*v) > float64(maxPlausible) {
			return false
		}
	}
	neverNegative := min(s.workCount, s.costCount, s.memoryCount, s.memoryDeviation)
	alwaysPositive := min(s.meanWork, s.bestSlowdown, s.slowdown)
	largestBias := max(math.Abs(s.costBias), math.Abs(s.memoryBias))
	return neverNegative >= 0 && alwaysPositive > 0 && largestBias <= maxPlausibleBias && s.slowdown <= maxPlausibleRatio
}

// MarshalJSON writes the figures as a list.
func (s TypeStats) MarshalJSON() ([]byte, error) {
	var list [9]float64
	for i, v := range s.figures() {
		list[i] = *v
	}
	return json.Marshal(list)
}

// UnmarshalJSON reads such a list; one of another length was written by another version, and is an error.
func (s *TypeStats) UnmarshalJSON(text []byte) error {
	var list []float64
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	figures := s.figures()
	if len(list) != len(figures) {
		return fmt.Errorf("%d figures, %d are known", len(list), len(figures))
	}
	for i, v := range figures {
		*v = list[i]
	}
	return nil
}
