package change

import (
	"cmp"
	"fmt"
	"slices"
)

// Stage specifies which controllers run the new version once the stage is applied: either the named members or a share
// of the fleet. Each stage includes the controllers of the previous ones.
type Stage struct {
	Members  []string `json:"members"`
	PerMille int64    `json:"per_mille"`
}

// Candidate holds the properties of a controller that determine when it is changed.
type Candidate struct {
	Name         string
	Zone         string
	Types        []string // the job types that it serves; empty: all
	BaselineJobs uint64   // jobs that it answered during the baseline
}

// PlanStages returns the names of the controllers of each stage. A stage that would equal the previous one, in a small
// fleet, is omitted.
//
// The first controller of a share is a typical one: that in the largest zone whose traffic is nearest to the median of
// the fleet. Each further controller comes from the zone with the most controllers left on the old version, again
// nearest to the median first, so that zones stay comparable and controllers with unusually high or low traffic are
// changed late. Until the last stage, one controller of each zone with at least two, and one that serves each
// job type, stay on the old version.
func PlanStages(stages []Stage, candidates []Candidate) ([][]string, error) {
	known := map[string]bool{}
	for _, candidate := range candidates {
		known[candidate.Name] = true
	}
	var plan [][]string
	var chosen []string
	for i, stage := range stages {
		for k, name := range stage.Members {
			if !known[name] {
				return nil, fmt.Errorf("/stages/%d/members/%d: no controller %q", i, k, name)
			}
			if !slices.Contains(chosen, name) {
				chosen = append(chosen, name)
			}
		}
		chosen = extendToShare(chosen, stage, candidates)
		if len(plan) > 0 && len(plan[len(plan)-1]) == len(chosen) {
			continue
		}
		plan = append(plan, slices.Clone(chosen))
	}
	return plan, nil
}

// extendToShare adds candidates until the stage's share is reached or no further candidate may leave the old version.
func extendToShare(chosen []string, stage Stage, candidates []Candidate) []string {
	isLast := stage.PerMille == perMilleOfAll
	for len(chosen) < stage.size(len(candidates)) {
		name, found := nextCandidate(candidates, chosen, isLast)
		if !found {
			break
		}
		chosen = append(chosen, name)
	}
	return chosen
}

// size returns the number of controllers in the stage's share of a fleet: at least one, and all in the last stage only.
func (s Stage) size(fleet int) int {
	switch s.PerMille {
	case 0:
		return 0
	case perMilleOfAll:
		return fleet
	}
	roundedUp := int((s.PerMille*int64(fleet) + perMilleOfAll - 1) / perMilleOfAll)
	return min(roundedUp, fleet-1)
}

// fleetCounts holds the numbers of a fleet's controllers on which the choice of the next one depends.
type fleetCounts struct {
	zoneSize    map[string]int
	zoneOnOld   map[string]int // by zone: controllers that are not chosen yet
	typeOnOld   map[string]int // by job type: controllers that are not chosen yet
	medianOfAll uint64         // of the controllers' baseline jobs
}

func countFleet(candidates []Candidate, chosen []string) fleetCounts {
	counts := fleetCounts{zoneSize: map[string]int{}, zoneOnOld: map[string]int{}, typeOnOld: map[string]int{}}
	jobs := make([]uint64, 0, len(candidates))
	for _, candidate := range candidates {
		jobs = append(jobs, candidate.BaselineJobs)
		counts.zoneSize[candidate.Zone]++
		if slices.Contains(chosen, candidate.Name) {
			continue
		}
		counts.zoneOnOld[candidate.Zone]++
		for _, jobType := range candidate.Types {
			counts.typeOnOld[jobType]++
		}
	}
	slices.Sort(jobs)
	counts.medianOfAll = jobs[len(jobs)/2]
	return counts
}

// isLastOnOld reports whether the candidate is the last controller on the old version in its zone or for one of its
// job types.
func (c fleetCounts) isLastOnOld(candidate Candidate) bool {
	if c.zoneSize[candidate.Zone] > 1 && c.zoneOnOld[candidate.Zone] == 1 {
		return true
	}
	return slices.ContainsFunc(candidate.Types, func(t string) bool { return c.typeOnOld[t] == 1 })
}

// distance returns the absolute difference between a candidate's traffic and the median.
func (c fleetCounts) distance(candidate Candidate) uint64 {
	return max(candidate.BaselineJobs, c.medianOfAll) - min(candidate.BaselineJobs, c.medianOfAll)
}

// compare orders candidates so that the one to change first comes first.
func (c fleetCounts) compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(c.zoneOnOld[b.Zone], c.zoneOnOld[a.Zone]),
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(a.Name, b.Name),
	)
}

// nextCandidate returns the controller to change next, or false if no further one may be changed before the last stage.
func nextCandidate(candidates []Candidate, chosen []string, isLastStage bool) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	counts := countFleet(candidates, chosen)
	var eligible []Candidate
	for _, candidate := range candidates {
		if slices.Contains(chosen, candidate.Name) {
			continue
		}
		if !isLastStage && counts.isLastOnOld(candidate) {
			continue
		}
		eligible = append(eligible, candidate)
	}
	if len(eligible) == 0 {
		return "", false
	}
	return slices.MinFunc(eligible, counts.compare).Name, true
}
