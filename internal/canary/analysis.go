package canary

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxMargin bounds the sum of a measure's margin and the members' excess rate.
	maxMargin = 0.9
	// minLatencyJobs is the minimum number of done jobs of the old version for latencies to be compared.
	minLatencyJobs = 20
)

// Analysis evaluates one stage of a rollout.
type Analysis struct {
	limits     Limits
	baseline   *Baseline
	members    map[string]bool // the controllers that the stage moves to the new version
	groups     map[Group]*groupAnalysis
	oldCounts  map[Group]*JobCounts // of this stage
	newCounts  map[Group]*JobCounts
	fleet      fleetAnalysis
	guardrails guardrails

	crashes     uint64 // on the new version
	lastCrashed string // name of the member that crashed last
}

// groupAnalysis holds the evidence of one group, by measure.
type groupAnalysis struct {
	evidence    [measureCount]eProcess
	excessRates [measureCount]float64 // of the members in the baseline
	dispersions dispersions
}

// fleetAnalysis holds the evidence that old and new controllers together are worse than before the stage. They share
// the engines, so a regression caused by the change may show on both versions.
type fleetAnalysis struct {
	logEValues [len(effectSizes)]float64 // by effect size
	missed     proportion                // in this stage
}

// NewAnalysis returns the analysis of a stage that moves the named members to the new version. The baseline is not
// changed.
func NewAnalysis(limits Limits, baseline *Baseline, members []string) *Analysis {
	a := &Analysis{
		limits:     limits,
		baseline:   baseline,
		members:    map[string]bool{},
		groups:     map[Group]*groupAnalysis{},
		oldCounts:  map[Group]*JobCounts{},
		newCounts:  map[Group]*JobCounts{},
		guardrails: guardrails{limits: limits, consecutive: map[string]int{}},
	}
	for _, name := range members {
		a.members[name] = true
	}
	for g := range baseline.Counts {
		a.addGroup(g)
	}
	return a
}

// addGroup adds a group to the analysis unless it is part of it already.
func (a *Analysis) addGroup(g Group) {
	if a.groups[g] != nil {
		return
	}
	group := &groupAnalysis{}
	if known := a.baseline.Dispersions[g]; known != nil {
		group.dispersions = *known
	}
	counts := a.baseline.Counts[g].orZero()
	thresholds := thresholdsOf(counts)
	for m := range measureCount {
		group.excessRates[m] = a.baseline.excessRate(g, m, a.members)
		group.evidence[m] = newEProcess(m.proportionOf(counts, thresholds))
	}
	a.groups[g] = group
}

// Observe adds one sample of each controller. Crashes count for every member of the stage, also before the end of its
// settle time.
func (a *Analysis) Observe(samples []Sample) {
	var oldSamples, newSamples []Sample
	for _, s := range samples {
		isMember := a.members[s.Member]
		switch {
		case s.IsNew:
			newSamples = append(newSamples, s)
		case !isMember:
			oldSamples = append(oldSamples, s)
		}
		if isMember && s.Crashes > 0 {
			a.crashes += s.Crashes
			a.lastCrashed = s.Member
		}
	}
	for _, g := range groupsOf(samples) {
		a.addGroup(g)
		a.observeGroup(g, oldSamples, newSamples)
	}
	a.fleet.observe(missedBySamples(samples), a.baseline, a.limits)
	a.guardrails.observe(oldSamples, newSamples)
}

// observeGroup adds a sample to the evidence of a group.
func (a *Analysis) observeGroup(key Group, oldSamples, newSamples []Sample) {
	group := a.groups[key]
	stageCounts := a.oldCounts[key].orZero()
	baselineCounts := a.baseline.Counts[key].orZero()
	thresholds := thresholdsOf(stageCounts, baselineCounts)
	hasLatencies := stageCounts.Done+baselineCounts.Done >= minLatencyJobs
	for m := range measureCount {
		if m.isLatency() && !hasLatencies {
			continue
		}
		candidate := m.proportionOfGroup(newSamples, key, thresholds)
		reference := m.proportionOfGroup(oldSamples, key, thresholds)
		margin := math.Min(maxMargin, a.limits.margin(m)+group.excessRates[m])
		group.evidence[m].observe(candidate, reference.worsenedBy(margin), group.dispersions[m].value())
	}
	group.dispersions.observe(oldSamples, key, thresholds)
	for _, s := range oldSamples {
		addTo(a.oldCounts, key, s.Counts[key])
	}
	for _, s := range newSamples {
		addTo(a.newCounts, key, s.Counts[key])
	}
}

// observe compares the rate of jobs over their SLA time in one sample of the fleet with the baseline's rate.
func (f *fleetAnalysis) observe(missed proportion, baseline *Baseline, limits Limits) {
	f.missed = f.missed.plus(missed)
	before := missedOf(baseline.Counts)
	if before.total == 0 || missed.total == 0 {
		return
	}
	rate := smoothedRate(before)
	rate += float64(limits.SharedPerMille) / 1000 * (1 - rate)
	for i, effect := range effectSizes {
		alternative := rate + (1-rate)*effect
		f.logEValues[i] += logLikelihoodRatio(missed, alternative, rate) / baseline.FleetDispersion.value()
	}
}

// logValue returns the logarithm of the e-value.
func (f *fleetAnalysis) logValue() float64 {
	return logMean(f.logEValues[:])
}

// scarceType returns the first type, by name, of which the new version has had too few jobs, or "". Only types that the
// members served before the stage are required: without jobs of a type there is no evidence about it.
func (a *Analysis) scarceType() string {
	before := map[string]float64{}
	total := 0.0
	for name := range a.members {
		for g, counts := range a.baseline.CountsByMember[name] {
			before[g.Type] += float64(counts.Jobs)
			total += float64(counts.Jobs)
		}
	}
	jobs := map[string]uint64{}
	for g, counts := range a.newCounts {
		jobs[g.Type] += counts.Jobs
	}
	for _, name := range sortedKeys(before) {
		isCommon := 1000*before[name] >= float64(a.limits.MinTypePerMille)*total
		if isCommon && jobs[name] < uint64(a.limits.MinJobs) {
			return name
		}
	}
	if total == 0 {
		return "any type"
	}
	return ""
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
