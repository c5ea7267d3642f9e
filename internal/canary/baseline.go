package canary

import "math"

// Baseline holds what was observed of all controllers before the first stage. It is stored as JSON; the keys are those
// of its first version.
type Baseline struct {
	CountsByMember  map[string]map[Group]*JobCounts `json:"Work"`
	Counts          map[Group]*JobCounts            `json:"All"`
	Dispersions     map[Group]*dispersions          `json:"Spreads"`
	FleetDispersion dispersion                      `json:"Clumps"` // of jobs over their SLA time between samples

	previousMissed proportion // jobs over their SLA time in the previous sample
}

// NewBaseline returns an empty baseline.
func NewBaseline() *Baseline {
	return &Baseline{
		CountsByMember: map[string]map[Group]*JobCounts{},
		Counts:         map[Group]*JobCounts{},
		Dispersions:    map[Group]*dispersions{},
	}
}

// Observe adds one sample of each controller.
func (b *Baseline) Observe(samples []Sample) {
	for _, s := range samples {
		for _, g := range sortedGroups(s.Counts) {
			if b.CountsByMember[s.Member] == nil {
				b.CountsByMember[s.Member] = map[Group]*JobCounts{}
			}
			addTo(b.CountsByMember[s.Member], g, s.Counts[g])
			addTo(b.Counts, g, s.Counts[g])
		}
	}
	for _, g := range groupsOf(samples) {
		if b.Dispersions[g] == nil {
			b.Dispersions[g] = &dispersions{}
		}
		b.Dispersions[g].observe(samples, g, thresholdsOf(b.Counts[g].orZero()))
	}
	missed := missedBySamples(samples)
	b.FleetDispersion.observe([]proportion{b.previousMissed, missed})
	b.previousMissed = missed
}

// excessRate returns by how much the rate of bad jobs of the members exceeded that of the other controllers, at least
// 0. A difference that existed before the stage is not an effect of the change.
func (b *Baseline) excessRate(g Group, m measure, members map[string]bool) float64 {
	thresholds := thresholdsOf(b.Counts[g].orZero())
	var inside, outside proportion
	for name, counts := range b.CountsByMember {
		p := m.proportionOf(counts[g].orZero(), thresholds)
		if members[name] {
			inside = inside.plus(p)
		} else {
			outside = outside.plus(p)
		}
	}
	if inside.total == 0 || outside.total == 0 {
		return 0
	}
	return math.Max(0, inside.bad/inside.total-outside.bad/outside.total)
}
