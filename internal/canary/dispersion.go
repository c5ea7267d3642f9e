package canary

import "math"

const (
	// priorDispersion and priorDegreesOfFreedom are the prior of the estimate.
	priorDispersion       = 1.2
	priorDegreesOfFreedom = 8
)

// dispersion estimates the overdispersion of the counts of controllers at the same time, relative to independent jobs:
// Pearson's chi-squared statistic divided by its degrees of freedom.
type dispersion struct {
	ChiSquared       float64 `json:"Sum"`
	DegreesOfFreedom float64 `json:"Freedom"`
}

// observe adds the counts of the controllers on one version at one time.
func (d *dispersion) observe(byController []proportion) {
	var all proportion
	for _, p := range byController {
		all = all.plus(p)
	}
	rate := all.bad / all.total
	hasBoth := rate > 0 && rate < 1 // also false without jobs, as the rate is NaN
	if !hasBoth {
		return
	}
	controllers := 0.0
	for _, p := range byController {
		if p.total == 0 {
			continue
		}
		deviation := p.bad - p.total*rate
		d.ChiSquared += deviation * deviation / (p.total * rate * (1 - rate))
		controllers++
	}
	d.DegreesOfFreedom += math.Max(0, controllers-1)
}

// value returns the estimate, at least 1.
func (d *dispersion) value() float64 {
	chiSquared := d.ChiSquared + priorDispersion*priorDegreesOfFreedom
	return math.Max(1, chiSquared/(d.DegreesOfFreedom+priorDegreesOfFreedom))
}

// dispersions holds a group's estimates, by measure.
type dispersions [measureCount]dispersion

// observe adds one sample of each controller on one version.
func (d *dispersions) observe(samples []Sample, g Group, thresholds latencyThresholds) {
	for m := range measureCount {
		byController := make([]proportion, 0, len(samples))
		for _, s := range samples {
			byController = append(byController, m.proportionOf(s.Counts[g], thresholds))
		}
		d[m].observe(byController)
	}
}
