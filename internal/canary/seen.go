// Package canary tells whether controllers on a new version do worse than those on the old one, in the same time: from
// counts alone, without a clock, a socket or chance of its own. It may be asked after every look without its error growing.
package canary

import (
	"cmp"
	"maps"
	"slices"
)

// Group is what is compared with its like: uneven fronts send types and tenants unevenly.
type Group struct {
	Type   string `json:"type"`
	Tenant string `json:"tenant"`
}

// Work is what a controller did for a group since the look before.
type Work struct {
	Jobs       uint64   `json:"jobs"`           // that got their final answer
	Within     uint64   `json:"within"`         // of these, done within their SLA time
	Done       uint64   `json:"done"`           // of these, done at all
	Throttled  uint64   `json:"throttled"`      // of these
	Cancelled  uint64   `json:"cancelled"`      // for good, of these
	Dispatches uint64   `json:"dispatches"`     // that ended
	Further    uint64   `json:"further"`        // of these, beyond their job's first
	Took       []uint64 `json:"took,omitempty"` // of jobs done, how many by Bucket of their latency
}

// Seen is what was seen of a controller since the look before.
type Seen struct {
	Member   string
	New      bool // it runs the new version, and was asked long enough ago to be steady
	Work     map[Group]Work
	Probes   uint64
	CPU      int64   // ns
	Crashes  uint64  // ends that nobody ordered, and starts that failed
	MemoryMB float64 // now
	Aside    int     // engines that it has set aside, now
}

// measure is one thing in which a version may be worse.
type measure uint8

const (
	missed    measure = iota // not done within the SLA time
	throttled                // answered so
	cancelled                // for good
	further                  // dispatches beyond a job's first
	slower                   // than half of the old version's jobs
	slowest                  // than nine of ten of them
	measures
)

var measureNames = [measures]string{"missed the SLA time", "throttled", "cancelled for good", "dispatched again",
	"slower than the old median", "slower than nine of ten old ones"}

// Limits say how much worse is worse: parts of a thousand that the new version may be worse by, and guards.
type Limits struct {
	MissedPerMille    int64 `json:"missed_per_mille"`
	ThrottledPerMille int64 `json:"throttled_per_mille"`
	CancelledPerMille int64 `json:"cancelled_per_mille"`
	FurtherPerMille   int64 `json:"further_per_mille"`
	SlowerPerMille    int64 `json:"slower_per_mille"`  // of jobs that pass the old version's median, and its ninth decile
	SharedPerMille    int64 `json:"shared_per_mille"`  // of jobs that miss, old and new, against before the stage
	MemoryPercent     int64 `json:"memory_percent"`    // over the old version's median
	CPUPercent        int64 `json:"cpu_percent"`       // a job, over the old version's mean
	ProbesPercent     int64 `json:"probes_percent"`    // a job, over the old version's mean
	Crashes           int64 `json:"crashes"`           // that many of one controller are worse
	WrongPerMillion   int64 `json:"wrong_per_million"` // chance that a change that changes nothing is called worse in a stage
	LeanPerMille      int64 `json:"lean_per_mille"`    // evidence of harm over this, against 1,000, and a stage is not passed
	JobsWanted        int64 `json:"jobs_wanted"`       // of each type that the fleet serves, on the new version
	ScarcePerMille    int64 `json:"scarce_per_mille"`  // a type with a smaller part of the jobs is not waited for
}

// Usual are the limits where a change states none.
func Usual() Limits {
	return Limits{MissedPerMille: 5, ThrottledPerMille: 10, CancelledPerMille: 2, FurtherPerMille: 20, SlowerPerMille: 50,
		SharedPerMille: 50, MemoryPercent: 50, CPUPercent: 100, ProbesPercent: 200, Crashes: 2, WrongPerMillion: 2000,
		LeanPerMille: 5000, JobsWanted: 200, ScarcePerMille: 20}
}

// part is how much worse is worse in a measure.
func (l Limits) part(m measure) float64 {
	return float64([measures]int64{l.MissedPerMille, l.ThrottledPerMille, l.CancelledPerMille, l.FurtherPerMille,
		l.SlowerPerMille, l.SlowerPerMille}[m]) / 1000
}

// count reads a measure's counts off a group's work; over are the buckets past the two latencies.
func count(w Work, m measure, over [2]int) arm {
	slow := func(bucket int) arm {
		a := arm{all: float64(w.Done)}
		for i := bucket + 1; i < len(w.Took); i++ {
			a.bad += float64(w.Took[i])
		}
		return a
	}
	switch m {
	case missed:
		return arm{float64(w.Jobs - w.Within), float64(w.Jobs)}
	case throttled:
		return arm{float64(w.Throttled), float64(w.Jobs)}
	case cancelled:
		return arm{float64(w.Cancelled), float64(w.Jobs)}
	case further:
		return arm{float64(w.Further), float64(w.Dispatches)}
	case slower:
		return slow(over[0])
	}
	return slow(over[1])
}

// put adds work to a group's sum.
func put(sums map[Group]*Work, g Group, o Work) {
	w := sums[g]
	if w == nil {
		w = &Work{}
		sums[g] = w
	}
	w.Jobs, w.Within, w.Done, w.Throttled, w.Cancelled = w.Jobs+o.Jobs, w.Within+o.Within, w.Done+o.Done, w.Throttled+o.Throttled, w.Cancelled+o.Cancelled
	w.Dispatches, w.Further = w.Dispatches+o.Dispatches, w.Further+o.Further
	if n := len(o.Took) - len(w.Took); n > 0 {
		w.Took = append(w.Took, make([]uint64, n)...)
	}
	for i, n := range o.Took {
		w.Took[i] += n
	}
}

// get is a sum that may not be there yet.
func (w *Work) get() Work {
	if w == nil {
		return Work{}
	}
	return *w
}

func (w *Work) took() []uint64 { return w.get().Took }

// deciles are the buckets of the median and the ninth decile of all parts together.
func deciles(parts ...[]uint64) (over [2]int) {
	all, most := uint64(0), 0
	for _, took := range parts {
		for _, n := range took {
			all += n
		}
		most = max(most, len(took))
	}
	for i, per := range [2]uint64{5, 9} {
		for sum := uint64(0); over[i] < most; over[i]++ {
			for _, took := range parts {
				if over[i] < len(took) {
					sum += took[over[i]]
				}
			}
			if 10*sum >= per*all {
				break
			}
		}
	}
	return over
}

// groups are those of some controllers, in order.
func groups(list []Seen) []Group {
	all := map[Group]struct{}{}
	for _, s := range list {
		for g := range s.Work {
			all[g] = struct{}{}
		}
	}
	return sorted(all)
}

func sorted[V any](all map[Group]V) []Group {
	return slices.SortedFunc(maps.Keys(all), func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Tenant, b.Tenant))
	})
}

// Less takes earlier counts off later ones of the same controller.
func (w Work) Less(was Work) Work {
	d := func(now, then uint64) uint64 { return now - min(now, then) }
	n := Work{d(w.Jobs, was.Jobs), d(w.Within, was.Within), d(w.Done, was.Done), d(w.Throttled, was.Throttled), d(w.Cancelled, was.Cancelled),
		d(w.Dispatches, was.Dispatches), d(w.Further, was.Further), make([]uint64, len(w.Took))}
	for i := range w.Took {
		if n.Took[i] = w.Took[i]; i < len(was.Took) {
			n.Took[i] = d(w.Took[i], was.Took[i])
		}
	}
	return n
}

// Sum is what those on one version did together.
func Sum(list []Seen, new bool) Work {
	sums := map[Group]*Work{}
	for _, s := range list {
		for _, w := range s.Work {
			if s.New == new {
				put(sums, Group{}, w)
			}
		}
	}
	return sums[Group{}].get()
}
