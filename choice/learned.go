package choice

import (
	"encoding/json"
	"fmt"
	"math"
)

// Learned is what the module's jobs have taught it, by type. It decides nothing: a newer process is told of it (Taught).
func (c *Controller) TypeStats() (list []TypeStats) {
	for _, t := range c.types {
		list = append(list, t.TypeStats)
	}
	return list
}

// Health is what the module's jobs have taught it of engines that are ready, in its order. It decides nothing.
func (c *Controller) EngineHealth() (list []EngineHealth) {
	for _, e := range c.engines {
		if e.State == Ready {
			list = append(list, EngineHealth{e.Engine, e.slow, e.bad, e.aside})
		}
	}
	return list
}

// sound tells whether a process can have learned this.
func (h EngineHealth) sound() bool {
	return h.LatencyRatio > 0 && h.LatencyRatio <= 1000 && h.FailureRate >= 0 && h.FailureRate <= 1
}

// Carries is what it goes by now of the fleet, of 1: told, or guessed. It decides nothing.
func (c *Controller) FleetShare() float64 { return c.share }

func (m *TypeStats) parts() [9]*float64 {
	return [9]*float64{&m.usual, &m.usualN, &m.costBias, &m.costN, &m.memBias, &m.memDev, &m.memN, &m.best, &m.slow}
}

// sound tells whether a process can have learned this: no mean of jobs is outside these bounds.
func (m TypeStats) sound() bool {
	for _, v := range m.parts() {
		if math.IsNaN(*v) || math.Abs(*v) > float64(3600*second) {
			return false
		}
	}
	return m.usual > 0 && m.usualN >= 0 && m.costN >= 0 && m.memN >= 0 && m.memDev >= 0 && math.Abs(m.costBias) <= 30 && math.Abs(m.memBias) <= 30 &&
		m.best > 0 && m.slow > 0 && m.slow <= 1000
}

// MarshalJSON writes the figures as a list, in the order of parts.
func (m TypeStats) MarshalJSON() ([]byte, error) {
	var list [9]float64
	for i, v := range m.parts() {
		list[i] = *v
	}
	return json.Marshal(list)
}

// UnmarshalJSON reads such a list: of another length, it is of another version.
func (m *TypeStats) UnmarshalJSON(text []byte) error {
	var list []float64
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	parts := m.parts()
	if len(list) != len(parts) {
		return fmt.Errorf("%d figures, %d are known", len(list), len(parts))
	}
	for i, v := range parts {
		*v = list[i]
	}
	return nil
}
