package quota

import (
	"maps"
	"math"
	"slices"

	"swiftreel/internal/canary"
)

const (
	memory   = 10e9 // ns: what was asked so long ago counts a third
	floor    = 0.25 // of a mean controller's part: also one that is asked nothing has it, for what comes next
	steady   = 0.1  // of a mean controller's part: parts that would change less stay
	quiet    = 5e9  // ns: one that is not heard of for so long keeps a mean part at the most
	reserved = 30e9 // and this long, as it may serve on by its own guess
)

// Seen is what a controller was asked for since the look before.
type Seen struct {
	Member string
	Heard  bool
	Span   int64 // ns since it was last heard; 0: before, it was not
	Work   map[canary.Group]canary.Work
}

// Demand is what controllers are asked for of late, and the parts that follow from it.
type Demand struct {
	members map[string]*asked
	took    map[string]*mean // by type: how long its jobs hold their threads
	last    map[string]Share // told: kept while it is near enough
}

type asked struct {
	heard int64
	rate  map[canary.Group]float64 // jobs a second
}

type mean struct{ sum, n float64 }

// NewDemand knows nothing.
func NewDemand() *Demand { return &Demand{members: map[string]*asked{}, took: map[string]*mean{}} }

// Look takes a look in. Members that are not in it are forgotten.
func (d *Demand) Look(now int64, seen []Seen, halfLatency func(took []uint64) float64) {
	named := map[string]bool{}
	for _, s := range seen {
		named[s.Member] = true
		m := d.members[s.Member]
		if m == nil {
			m = &asked{rate: map[canary.Group]float64{}, heard: now}
			d.members[s.Member] = m
		}
		if !s.Heard {
			continue
		}
		m.heard = now
		if s.Span <= 0 {
			continue
		}
		weight := 1 - math.Exp(-float64(s.Span)/memory)
		for g := range s.Work {
			m.rate[g] += 0 // it is there
		}
		for _, g := range slices.SortedFunc(maps.Keys(m.rate), canary.Group.Compare) {
			w := s.Work[g]
			m.rate[g] += weight * (float64(w.Jobs)/(float64(s.Span)/1e9) - m.rate[g])
			if m.rate[g] < 1e-3 && w.Jobs == 0 {
				delete(m.rate, g)
			}
			if w.Done > 0 {
				t := d.took[g.Type]
				if t == nil {
					t = &mean{}
					d.took[g.Type] = t
				}
				t.sum, t.n = t.sum+halfLatency(w.Took)*float64(w.Done), t.n+float64(w.Done)
				if t.n > 10_000 {
					t.sum, t.n = t.sum/2, t.n/2
				}
			}
		}
	}
	maps.DeleteFunc(d.members, func(name string, _ *asked) bool { return !named[name] })
}

// holds is how long a type's job holds its threads; that of the mean type where none of it was done yet.
func (d *Demand) holds(typ string) float64 {
	if t := d.took[typ]; t != nil && t.sum > 0 {
		return t.sum / t.n
	}
	sum, n := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(d.took)) {
		sum, n = sum+d.took[name].sum, n+d.took[name].n
	}
	if sum == 0 {
		return 1
	}
	return sum / n
}

// Rates are jobs a second that the fleet is asked for, by group, as seen from each member.
func (d *Demand) Rates() map[string]map[canary.Group]float64 {
	all := map[string]map[canary.Group]float64{}
	for name, m := range d.members {
		all[name] = maps.Clone(m.rate)
	}
	return all
}

// Want is each member's part now. All of them together are the whole, or less. They stay as they were where none would
// change by much, so that what is agreed is not written anew at each look.
func (d *Demand) Want(now int64) map[string]Share {
	names := slices.Sorted(maps.Keys(d.members))
	n := float64(len(names))
	weights := map[Of]map[string]float64{Fleet: {}}
	sums := map[Of]float64{Fleet: 0}
	there := []string{}
	for _, name := range names {
		m := d.members[name]
		if now-m.heard >= reserved {
			continue
		}
		there = append(there, name)
		groups := slices.SortedFunc(maps.Keys(m.rate), canary.Group.Compare)
		for _, g := range groups {
			threads := m.rate[g] * d.holds(g.Type)
			for of, w := range map[Of]float64{Fleet: threads, Quota(g.Tenant): m.rate[g]} {
				if weights[of] == nil {
					weights[of] = map[string]float64{}
				}
				weights[of][name] += w
				sums[of] += w
			}
		}
	}
	want, far := map[string]Share{}, len(d.last) != len(there)
	for _, name := range there {
		want[name] = Share{}
		for of, by := range weights {
			rest := floor * sums[of] / n
			part := 1 / n
			if sums[of] > 0 {
				part = (by[name] + rest) / (sums[of] + n*rest)
			}
			if now-d.members[name].heard >= quiet {
				part = min(part, 1/n)
			}
			want[name][of] = int64(part * Whole)
		}
		was := d.last[name]
		for _, of := range ofs(want[name], was) {
			far = far || math.Abs(float64(want[name][of]-was[of])) > steady*Whole/n
		}
	}
	if far || d.last == nil {
		d.last = want
	}
	return d.last
}
