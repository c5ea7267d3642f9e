package change

import (
	"cmp"
	"fmt"
	"slices"
)

// Stage states which controllers run the new version once the stage is applied: either the members named, or a share of
// the fleet. Each stage includes those before it.
type Stage struct {
	Members  []string `json:"members"`
	PerMille int64    `json:"per_mille"`
}

// Candidate is a controller as far as it matters for the order in which controllers are changed.
type Candidate struct {
	Name         string
	Zone         string
	Types        []string // the reservation types that it serves; empty: all
	BaselineJobs uint64   // that it answered while the baseline was observed
}

// PlanStages names the controllers of each stage. A stage that would equal the one before, in a small fleet, is left
// out.
//
// The first controller of a share is a typical one: the one with the median traffic in the largest zone. The
// following come from the zone that has most controllers left on the old version, nearest to the median first, so
// that zones stay comparable and a controller with unusually much or little traffic comes late. Until the last stage,
// one controller of each zone that has two, and one that serves each reservation type, stays on the old version.
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
		chosen = extend(chosen, stage, candidates)
		if len(plan) > 0 && len(plan[len(plan)-1]) == len(chosen) {
			continue
		}
		plan = append(plan, slices.Clone(chosen))
	}
	return plan, nil
}

// extend adds candidates until the stage's share is reached, or no further one may leave the old version yet.
func extend(chosen []string, stage Stage, candidates []Candidate) []string {
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

// size is how many of a fleet's controllers the stage's share holds: at least one, and all in the last stage only.
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

// census counts the controllers of a fleet in the course of a rollout.
type census struct {
	zoneSize    map[string]int
	zoneOnOld   map[string]int // by zone: not chosen yet
	typeOnOld   map[string]int // by reservation type
	medianOfAll uint64         // of the baseline jobs
}

func takeCensus(candidates []Candidate, chosen []string) census {
	counts := census{zoneSize: map[string]int{}, zoneOnOld: map[string]int{}, typeOnOld: map[string]int{}}
	jobs := make([]uint64, 0, len(candidates))
	for _, candidate := range candidates {
		jobs = append(jobs, candidate.BaselineJobs)
		counts.zoneSize[candidate.Zone]++
		if slices.Contains(chosen, candidate.Name) {
			continue
		}
		counts.zoneOnOld[candidate.Zone]++
		for _, reservationType := range candidate.Types {
			counts.typeOnOld[reservationType]++
		}
	}
	slices.Sort(jobs)
	counts.medianOfAll = jobs[len(jobs)/2]
	return counts
}

// isLastOnOld reports whether the old version would vanish from a zone or for a reservation type without the candidate.
func (c census) isLastOnOld(candidate Candidate) bool {
	if c.zoneSize[candidate.Zone] > 1 && c.zoneOnOld[candidate.Zone] == 1 {
		return true
	}
	return slices.ContainsFunc(candidate.Types, func(t string) bool { return c.typeOnOld[t] == 1 })
}

// distance is how far a candidate's traffic is from the median.
func (c census) distance(candidate Candidate) uint64 {
	return max(candidate.BaselineJobs, c.medianOfAll) - min(candidate.BaselineJobs, c.medianOfAll)
}

// compare orders candidates by who is to be changed first.
func (c census) compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(c.zoneOnOld[b.Zone], c.zoneOnOld[a.Zone]),
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(a.Name, b.Name),
	)
}

// nextCandidate returns the controller to change next, or false where none may be changed before the last stage.
func nextCandidate(candidates []Candidate, chosen []string, isLastStage bool) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	counts := takeCensus(candidates, chosen)
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
