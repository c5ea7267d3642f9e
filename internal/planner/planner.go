// Package planner decides when the fleet is planned anew, and for what: from what controllers are asked of late, and the
// engines that they see. Free of I/O and clock; it does not solve.
package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"swiftreel/internal/canary"
	"swiftreel/internal/solve"
)

// Pace is how often the fleet is planned. In ns.
type Pace struct {
	Every int64 // at the latest
	Least int64 // from one to the next, whatever changes
}

const (
	changed  = 1.5 // times more or less of a type from a zone, in threads: demand is another
	counts   = 0.1 // of all threads asked for: less is not looked at
	lookEach = 2   // in a row that have to show an engine's coming or going
	slackPer = 1.2 // planned for so much more than is asked: what is asked rises and falls
)

// Planner is its owner's; a new owner begins with none, and plans at once when it knows what is asked.
type Planner struct {
	pace    Pace
	base    solve.Problem // types, tenants, zones, what must hold, and all engines there may be
	began   int64
	tried   int64 // 0: never
	failed  int   // in a row
	asked   map[place]float64
	engines []string
	strange int // looks in a row with other engines
}

// place is a type's jobs from a zone.
type place struct{ typ, zone string }

// New begins from a problem of the operator's, whose demand counts for nothing.
func New(base solve.Problem, p Pace, now int64) *Planner {
	return &Planner{pace: p, base: base, began: now}
}

// Seen is what a look shows.
type Seen struct {
	Rates   map[string]map[canary.Group]float64 // by zone of origin: jobs a second
	Engines [][]string                          // each controller's that told: engines that are ready, in order
}

// Look tells the problem to solve now and why, or nil.
func (p *Planner) Look(now int64, s Seen) (*solve.Problem, string) {
	there, asked := there(s.Engines), p.threads(s.Rates)
	if p.strange++; slices.Equal(there, p.engines) {
		p.strange = 0
	}
	why := ""
	switch {
	case len(there) == 0 || len(asked) == 0 || now-p.began < p.pace.Least: // too little is known yet
	case p.tried != 0 && now-p.tried < p.pace.Least<<min(p.failed, 6):
	case p.tried == 0:
		why = "the first"
	case p.strange >= lookEach:
		why = fmt.Sprintf("%d engines, planned for were %d", len(there), len(p.engines))
	case now-p.tried >= p.pace.Every:
		why = "it is time"
	default:
		why = differs(p.asked, asked)
	}
	if why == "" {
		return nil, ""
	}
	p.tried, p.asked, p.engines, p.strange = now, asked, there, 0
	return p.problem(s.Rates, there), why
}

// Solved takes in whether there is a plan; where there is none it is tried less and less often.
func (p *Planner) Solved(is bool) {
	if p.failed++; is {
		p.failed = 0
	}
}

// there are the engines that most controllers see ready: one alone may have a list that is late.
func there(lists [][]string) (names []string) {
	count := map[string]int{}
	for _, list := range lists {
		for _, name := range list {
			count[name]++
		}
	}
	for name, n := range count {
		if 2*n > len(lists) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// threads are those asked for, by type and zone, as far as the problem knows them.
func (p *Planner) threads(rates map[string]map[canary.Group]float64) map[place]float64 {
	asked := map[place]float64{}
	for zone, by := range rates {
		for _, g := range groups(by) {
			if i := slices.IndexFunc(p.base.Types, func(t solve.Type) bool { return t.Name == g.Type }); i >= 0 {
				asked[place{g.Type, zone}] += by[g] * float64(p.base.Types[i].WorkMS) / 1000
			}
		}
	}
	return asked
}

// differs tells what is asked for in other measure than was planned for.
func differs(was, is map[place]float64) string {
	var places []place
	all := 0.0
	for _, m := range []map[place]float64{was, is} {
		for at := range m {
			places = append(places, at)
		}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.typ, b.typ), cmp.Compare(a.zone, b.zone)) })
	places = slices.Compact(places)
	for _, at := range places {
		all += max(was[at], is[at])
	}
	for _, at := range places {
		a, b := was[at], is[at]
		if max(a, b) > counts*all && max(a, b) > changed*max(1e-9, min(a, b)) {
			return fmt.Sprintf("%s from %q asks for %.1f threads, planned for were %.1f", at.typ, at.zone, b, a)
		}
	}
	return ""
}

// problem is the operator's with what is asked and the engines that are there.
func (p *Planner) problem(rates map[string]map[canary.Group]float64, there []string) *solve.Problem {
	q := p.base
	q.Engines, q.Demand = nil, nil
	for _, e := range p.base.Engines {
		if _, is := slices.BinarySearch(there, e.Name); is {
			q.Engines = append(q.Engines, e)
		}
	}
	zones := []string{}
	for zone := range rates {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		if !slices.ContainsFunc(p.base.Zones, func(z solve.Zone) bool { return z.Name == zone }) {
			continue
		}
		for _, g := range groups(rates[zone]) {
			known := slices.ContainsFunc(p.base.Types, func(t solve.Type) bool { return t.Name == g.Type }) &&
				slices.ContainsFunc(p.base.Tenants, func(t solve.Tenant) bool { return t.Name == g.Tenant })
			if n := int64(math.Ceil(rates[zone][g] * 1000 * slackPer)); known && n > 0 {
				q.Demand = append(q.Demand, solve.Demand{Type: g.Type, Tenant: g.Tenant, Zone: zone, JobsPer1000S: n})
			}
		}
	}
	return &q
}

// Strange are engines that are there and that the problem does not know: nothing is planned for them.
func (p *Planner) Strange() (names []string) {
	for _, name := range p.engines {
		if !slices.ContainsFunc(p.base.Engines, func(e solve.Engine) bool { return e.Name == name }) {
			names = append(names, name)
		}
	}
	return names
}

func groups(by map[canary.Group]float64) (list []canary.Group) {
	for g := range by {
		list = append(list, g)
	}
	slices.SortFunc(list, canary.Group.Compare)
	return list
}
