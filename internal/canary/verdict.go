package canary

import (
	"fmt"
	"math"
)

// Conclusion is the outcome of an analysis so far.
type Conclusion string

const (
	// Inconclusive means that there is no regression so far, but that the stage may not pass yet.
	Inconclusive Conclusion = "open"
	// Regressed means that the new version is worse than the old version.
	Regressed Conclusion = "worse"
	// AllRegressed means that both versions are worse than before the stage; the cause may be the change or something
	// else.
	AllRegressed Conclusion = "shared"
	// NoRegression means that there were enough jobs and that there is no evidence of a regression.
	NoRegression Conclusion = "even"
)

// maxLogEValue keeps the reported e-value finite.
const maxLogEValue = 300

// Verdict is a conclusion with its reason and evidence.
type Verdict struct {
	Conclusion Conclusion `json:"kind"`
	Reason     string     `json:"why"`
	EValue     float64    `json:"odds"`   // evidence of a regression; about 1 without any
	Threshold  float64    `json:"wanted"` // e-value at which the conclusion is a regression
	NewJobs    uint64     `json:"new"`    // answered by the new version in the stage
	OldJobs    uint64     `json:"old"`    // answered by the old version in the stage
	ScarceType string     `json:"scarce"` // a type of which there were too few jobs, or ""
}

// finding is the evidence of a regression in one group and measure.
type finding struct {
	group     Group
	measure   measure
	logEValue float64
}

// Verdict returns the conclusion so far. isBaked states that the minimum bake time has elapsed; before that the stage
// does not pass.
func (a *Analysis) Verdict(isBaked bool) Verdict {
	strongest, logEValue := a.evidence()
	v := Verdict{
		Conclusion: Inconclusive,
		EValue:     math.Exp(min(maxLogEValue, logEValue)),
		Threshold:  a.limits.eValueThreshold(),
	}
	for g := range a.groups {
		v.NewJobs += a.newCounts[g].orZero().Jobs
		v.OldJobs += a.oldCounts[g].orZero().Jobs
	}
	if reason := a.regression(v, strongest); reason != "" {
		v.Conclusion = Regressed
		v.Reason = reason
		return v
	}
	if a.fleet.logValue() >= math.Log(v.Threshold) {
		v.Conclusion = AllRegressed
		v.Reason = fmt.Sprintf("all miss more than before the stage: %.1f%% of %.0f",
			a.fleet.missed.percent(), a.fleet.missed.total)
		return v
	}
	v.ScarceType = a.scarceType()
	switch maxEValue := float64(a.limits.MaxEValuePerMille) / 1000; {
	case v.EValue > maxEValue:
		v.Reason = "evidence of harm, not enough: " + a.describe(strongest)
	case v.ScarceType != "":
		v.Reason = "too few jobs of " + v.ScarceType
	case !isBaked:
		v.Reason = "baking"
	default:
		v.Conclusion = NoRegression
		v.Reason = "no evidence of harm"
	}
	return v
}

// evidence returns the strongest finding and the logarithm of the e-value over all groups and measures.
func (a *Analysis) evidence() (finding, float64) {
	strongest := finding{logEValue: math.Inf(-1)}
	var logs []float64
	for _, g := range sortedGroups(a.groups) {
		for m := range measureCount {
			logEValue := a.groups[g].evidence[m].logValue()
			logs = append(logs, logEValue)
			if logEValue > strongest.logEValue {
				strongest = finding{group: g, measure: m, logEValue: logEValue}
			}
		}
	}
	return strongest, logMean(logs)
}

// regression returns why the new version is worse than the old version, or "" if there is no sufficient evidence.
func (a *Analysis) regression(v Verdict, strongest finding) string {
	if a.crashes >= uint64(max(1, a.limits.MaxCrashes)) {
		return fmt.Sprintf("the new version ended or failed to start %d times, last at %s", a.crashes, a.lastCrashed)
	}
	if v.EValue >= v.Threshold {
		return a.describe(strongest)
	}
	if name := a.guardrails.violated(); name != "" {
		return "over the old version's: " + name
	}
	return ""
}

// describe returns a finding with the proportions of both versions.
func (a *Analysis) describe(f finding) string {
	oldCounts := a.oldCounts[f.group].orZero()
	thresholds := thresholdsOf(oldCounts, a.baseline.Counts[f.group].orZero())
	candidate := f.measure.proportionOf(a.newCounts[f.group].orZero(), thresholds)
	reference := f.measure.proportionOf(oldCounts, thresholds)
	return fmt.Sprintf("%s of %s: %s, new %.1f%% of %.0f, old %.1f%% of %.0f",
		f.group.Type, f.group.Tenant, measureDescriptions[f.measure],
		candidate.percent(), candidate.total, reference.percent(), reference.total)
}

// percent returns the rate of bad jobs in percent, or 0 without jobs.
func (p proportion) percent() float64 {
	return 100 * p.bad / max(1, p.total)
}
