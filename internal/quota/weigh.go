package quota

import (
	"maps"
	"math"
	"slices"

	"swiftreel/internal/canary"
)

const (
	smoothingTime   = 10e9 // ns: what was asked so long ago counts a third
	minMeanFraction = 0.25 // of a mean controller's part: also one that is asked nothing has it, for what comes next
	changeThreshold = 0.1  // of a mean controller's part: parts that would change less stay
	unseenLimit     = 5e9  // ns: one that is not heard of for so long keeps a mean part at the most
	unseenTimeout   = 30e9 // and this long, as it may serve on by its own guess
)

// Seen is what a controller was asked for since the look before.
type Observation struct {
	Member    string
	Reachable bool
	Interval  int64 // ns since it was last heard; 0: before, it was not
	Work      map[canary.Group]canary.Work
}

// Demand is what controllers are asked for of late, and the parts that follow from it.
type Demand struct {
	members      map[string]*memberDemand
	serviceTimes map[string]*mean  // by type: how long its jobs hold their threads
	lastTargets  map[string]Shares // told: kept while it is near enough
}

type memberDemand struct {
	lastSeen int64
	rates    map[canary.Group]float64 // jobs a second
}

type mean struct{ sum, n float64 }

// NewDemand knows nothing.
func NewDemand() *Demand {
	return &Demand{members: map[string]*memberDemand{}, serviceTimes: map[string]*mean{}}
}

// Look takes a look in. Members that are not in it are forgotten.
func (d *Demand) Observe(now int64, seen []Observation, halfLatency func(took []uint64) float64) {
	named := map[string]bool{}
	for _, s := range seen {
		named[s.Member] = true
		m := d.members[s.Member]
		if m == nil {
			m = &memberDemand{rates: map[canary.Group]float64{}, lastSeen: now}
			d.members[s.Member] = m
		}
		if !s.Reachable {
			continue
		}
		m.lastSeen = now
		if s.Interval <= 0 {
			continue
		}
		weight := 1 - math.Exp(-float64(s.Interval)/smoothingTime)
		for g := range s.Work {
			m.rates[g] += 0 // it is there
		}
		for _, g := range slices.SortedFunc(maps.Keys(m.rates), canary.Group.Compare) {
			w := s.Work[g]
			m.rates[g] += weight * (float64(w.Jobs)/(float64(s.Interval)/1e9) - m.rates[g])
			if m.rates[g] < 1e-3 && w.Jobs == 0 {
				delete(m.rates, g)
			}
			if w.Done > 0 {
				t := d.serviceTimes[g.Type]
				if t == nil {
					t = &mean{}
					d.serviceTimes[g.Type] = t
				}
				t.sum, t.n = t.sum+halfLatency(w.Took)*float64(w.Done), t.n+float64(w.Done)
				if t.n > 10_000 {
					t.sum, t.n = t.sum/2, t.n/2
				}
			}
		}
	}
	maps.DeleteFunc(d.members, func(name string, _ *memberDemand) bool { return !named[name] })
}

// holds is how long a type's job holds its threads; that of the mean type where none of it was done yet.
func (d *Demand) meanServiceTime(typ string) float64 {
	if t := d.serviceTimes[typ]; t != nil && t.sum > 0 {
		return t.sum / t.n
	}
	sum, n := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(d.serviceTimes)) {
		sum, n = sum+d.serviceTimes[name].sum, n+d.serviceTimes[name].n
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
		all[name] = maps.Clone(m.rates)
	}
	return all
}

// Want is each member's part now. All of them together are the whole, or less. They stay as they were where none would
// change by much, so that what is agreed is not written anew at each look.
func (d *Demand) Targets(now int64) map[string]Shares {
	names := slices.Sorted(maps.Keys(d.members))
	n := float64(len(names))
	weights := map[Resource]map[string]float64{Fleet: {}}
	sums := map[Resource]float64{Fleet: 0}
	there := []string{}
	for _, name := range names {
		m := d.members[name]
		if now-m.lastSeen >= unseenTimeout {
			continue
		}
		there = append(there, name)
		groups := slices.SortedFunc(maps.Keys(m.rates), canary.Group.Compare)
		for _, g := range groups {
			threads := m.rates[g] * d.meanServiceTime(g.Type)
			for of, w := range map[Resource]float64{Fleet: threads, TenantQuota(g.Tenant): m.rates[g]} {
				if weights[of] == nil {
					weights[of] = map[string]float64{}
				}
				weights[of][name] += w
				sums[of] += w
			}
		}
	}
	want, far := map[string]Shares{}, len(d.lastTargets) != len(there)
	for _, name := range there {
		want[name] = Shares{}
		for of, by := range weights {
			rest := minMeanFraction * sums[of] / n
			part := 1 / n
			if sums[of] > 0 {
				part = (by[name] + rest) / (sums[of] + n*rest)
			}
			if now-d.members[name].lastSeen >= unseenLimit {
				part = min(part, 1/n)
			}
			want[name][of] = int64(part * FullShare)
		}
		was := d.lastTargets[name]
		for _, of := range resources(want[name], was) {
			far = far || math.Abs(float64(want[name][of]-was[of])) > changeThreshold*FullShare/n
		}
	}
	if far || d.lastTargets == nil {
		d.lastTargets = want
	}
	return d.lastTargets
}
