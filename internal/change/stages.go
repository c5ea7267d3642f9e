package change

import (
	"cmp"
	"fmt"
	"slices"
)

// Place is what bears on which controllers go first.
type Candidate struct {
	Name         string
	Zone         string
	Types        []string // that it is there for; none: all
	BaselineJobs uint64   // it answered while all were watched
}

// Layout names the controllers of each stage, each stage holding those of the one before.
//
// By rule the first is a usual one: that with the median of the traffic, in the zone with most. The next come from the
// zone that has most left on the old version, nearest to the median first: rooms stay apart, and a front that sends far
// more, or hardly anything, comes late. Until the last stage one of each zone that has two, and one that is there for each
// type, stays on the old version.
func PlanStages(stages []Stage, places []Candidate) (list [][]string, err error) {
	byName := map[string]Candidate{}
	for _, p := range places {
		byName[p.Name] = p
	}
	var on []string
	for i, s := range stages {
		for k, name := range s.Members {
			if _, known := byName[name]; !known {
				return nil, fmt.Errorf("/stages/%d/members/%d: no controller %q", i, k, name)
			}
			if !slices.Contains(on, name) {
				on = append(on, name)
			}
		}
		want := int((s.PerMille*int64(len(places)) + 999) / 1000)
		if s.PerMille == 1000 {
			want = len(places)
		} else if s.PerMille > 0 {
			want = min(want, len(places)-1)
		}
		for len(on) < want {
			p, is := next(places, on, s.PerMille == 1000)
			if !is {
				break // nobody more without taking the last of a zone or a type
			}
			on = append(on, p.Name)
		}
		if n := len(list); n > 0 && len(list[n-1]) == len(on) {
			continue // a small fleet: this stage would be the one before
		}
		list = append(list, slices.Clone(on))
	}
	return list, nil
}

// next is who goes next.
func next(places []Candidate, on []string, last bool) (Candidate, bool) {
	jobs := make([]uint64, 0, len(places))
	left, has, types := map[string]int{}, map[string]int{}, map[string]int{} // by zone; by type
	for _, p := range places {
		jobs = append(jobs, p.BaselineJobs)
		has[p.Zone]++
		if !slices.Contains(on, p.Name) {
			left[p.Zone]++
			for _, t := range p.Types {
				types[t]++
			}
		}
	}
	slices.Sort(jobs)
	far := func(p Candidate) uint64 {
		m := jobs[len(jobs)/2]
		return max(p.BaselineJobs, m) - min(p.BaselineJobs, m)
	}
	var best Candidate
	for _, p := range places {
		if slices.Contains(on, p.Name) {
			continue
		}
		alone := has[p.Zone] > 1 && left[p.Zone] == 1
		for _, t := range p.Types {
			alone = alone || types[t] == 1
		}
		if alone && !last {
			continue
		}
		if best.Name == "" || cmp.Or(cmp.Compare(left[best.Zone], left[p.Zone]), cmp.Compare(far(p), far(best)), cmp.Compare(p.Name, best.Name)) < 0 {
			best = p
		}
	}
	return best, best.Name != ""
}
