package canary

import (
	"fmt"
	"math"
	"slices"
)

// Kind is what is thought of a stage.
type Kind string

// The kinds. Open: neither is shown yet; a stage may stand longer. Even: as many jobs as wanted, and no evidence of harm.
const (
	Open   Kind = "open"
	Worse  Kind = "worse"
	Shared Kind = "shared" // all are worse than before the stage, old and new alike: the change, or the day
	Even   Kind = "even"
)

// Verdict is a kind with what it rests on.
type Verdict struct {
	Kind   Kind    `json:"kind"`
	Why    string  `json:"why"`
	Odds   float64 `json:"odds"`   // evidence of harm, against 1
	Wanted float64 `json:"wanted"` // that would be enough
	NewJob uint64  `json:"new"`    // jobs answered by the new version in the stage
	OldJob uint64  `json:"old"`    // by the old one meanwhile
	Scarce string  `json:"scarce"` // the type of which too few jobs came, or ""
}

// Base is what all did before the first stage.
type Base struct {
	Work    map[string]map[Group]*Work  `json:"Work"` // by member
	All     map[Group]*Work             `json:"All"`
	Spreads map[Group]*[measures]spread `json:"Spreads"`
	Clumps  spread                      `json:"Clumps"` // of the fleet's missed jobs from one look to the next
	before  arm                         // missed in the last look
}

// NewBase is empty.
func NewBase() *Base {
	return &Base{Work: map[string]map[Group]*Work{}, All: map[Group]*Work{}, Spreads: map[Group]*[measures]spread{}}
}

// Look takes a look in.
func (b *Base) Look(list []Seen) {
	for _, s := range list {
		for _, g := range sorted(s.Work) {
			if b.Work[s.Member] == nil {
				b.Work[s.Member] = map[Group]*Work{}
			}
			put(b.Work[s.Member], g, s.Work[g])
			put(b.All, g, s.Work[g])
		}
	}
	for _, g := range groups(list) {
		scatter(b.Spreads, g, list, deciles(b.All[g].took()))
	}
	now := total(list)
	b.Clumps.look([]arm{b.before, now})
	b.before = now
}

// scatter takes a look of controllers of one version into a group's spreads.
func scatter(spreads map[Group]*[measures]spread, g Group, list []Seen, over [2]int) {
	if spreads[g] == nil {
		spreads[g] = new([measures]spread)
	}
	for m := range measures {
		arms := make([]arm, 0, len(list))
		for _, s := range list {
			arms = append(arms, count(s.Work[g], m, over))
		}
		spreads[g][m].look(arms)
	}
}

// total is the missed jobs of all.
func total(list []Seen) (a arm) {
	for _, s := range list {
		for _, w := range s.Work {
			c := count(w, missed, [2]int{})
			a = arm{a.bad + c.bad, a.all + c.all}
		}
	}
	return a
}

// offset is by how much some controllers were worse than the rest before, and how unsure that is.
func (b *Base) offset(g Group, m measure, of map[string]bool) float64 {
	over := deciles(b.All[g].took())
	var in, out arm
	for name, work := range b.Work {
		c := count(work[g].get(), m, over)
		if of[name] {
			in = arm{in.bad + c.bad, in.all + c.all}
		} else {
			out = arm{out.bad + c.bad, out.all + c.all}
		}
	}
	if in.all == 0 || out.all == 0 {
		return 0
	}
	p, q := in.bad/in.all, out.bad/out.all
	return math.Max(0, p-q)
}

// Judge weighs one stage.
type Judge struct {
	limits  Limits
	base    *Base
	of      map[string]bool // the members of the new version
	odds    map[Group]*[measures]odds
	offsets map[Group]*[measures]float64
	spreads map[Group]*[measures]spread
	old     map[Group]*Work
	new     map[Group]*Work
	shared  [len(harms)]float64
	since   arm // missed by all in this stage
	guards  map[string]int
	use     [2]use // since the guards were last held, old and new
	crashes uint64 // of controllers on the new version
	crashed string // the last of them
	found   Verdict
}

// NewJudge begins a stage, members being those on the new version. What the base saw stays as it is.
func NewJudge(l Limits, b *Base, members []string) *Judge {
	j := &Judge{limits: l, base: b, of: map[string]bool{}, odds: map[Group]*[measures]odds{}, offsets: map[Group]*[measures]float64{},
		spreads: map[Group]*[measures]spread{}, old: map[Group]*Work{}, new: map[Group]*Work{}, guards: map[string]int{}}
	for _, name := range members {
		j.of[name] = true
	}
	for _, g := range sorted(b.All) {
		j.group(g)
	}
	return j
}

func (j *Judge) group(g Group) {
	if j.odds[g] != nil {
		return
	}
	j.odds[g], j.offsets[g], j.spreads[g] = new([measures]odds), new([measures]float64), new([measures]spread)
	if s := j.base.Spreads[g]; s != nil {
		*j.spreads[g] = *s
	}
	for m := range measures {
		j.offsets[g][m] = j.base.offset(g, m, j.of)
		c := count(j.base.All[g].get(), m, deciles(j.base.All[g].took()))
		j.odds[g][m].b = arm{min(c.bad, 100), min(c.all, 100)} // a guess to begin with, that a changed day soon replaces
		if c.all > 0 {
			j.odds[g][m].b = arm{100 * c.bad / c.all, 100}
		}
	}
}

// Look takes a look in. Crashes and guards count for every controller on the new version, steady or not.
func (j *Judge) Look(list []Seen) {
	var old, new []Seen
	for _, s := range list {
		switch {
		case s.New:
			new = append(new, s)
		case !j.of[s.Member]:
			old = append(old, s)
		}
		if j.of[s.Member] && s.Crashes > 0 {
			j.crashes, j.crashed = j.crashes+s.Crashes, s.Member
		}
	}
	for _, g := range groups(list) {
		j.group(g)
		over := deciles(j.old[g].took(), j.base.All[g].took())
		for m := range measures {
			var a, b arm
			for _, s := range new {
				c := count(s.Work[g], m, over)
				a = arm{a.bad + c.bad, a.all + c.all}
			}
			for _, s := range old {
				c := count(s.Work[g], m, over)
				b = arm{b.bad + c.bad, b.all + c.all}
			}
			o := &j.odds[g][m]
			part := math.Min(0.9, j.limits.part(m)+j.offsets[g][m])
			if m >= slower && j.old[g].get().Done+j.base.All[g].get().Done < 20 {
				continue // no latency to compare with yet
			}
			o.look(a, b.shifted(part), j.spreads[g][m].value())
		}
		scatter(j.spreads, g, old, over)
		for _, s := range old {
			put(j.old, g, s.Work[g])
		}
		for _, s := range new {
			put(j.new, g, s.Work[g])
		}
	}
	j.all(list)
	j.guard(old, new)
}

// all weighs the whole fleet against before: old and new share the engines, so harm may show on both.
func (j *Judge) all(list []Seen) {
	was := arm{}
	for _, w := range j.base.All {
		c := count(*w, missed, [2]int{})
		was = arm{was.bad + c.bad, was.all + c.all}
	}
	now := total(list)
	j.since = arm{j.since.bad + now.bad, j.since.all + now.all}
	if was.all == 0 || now.all == 0 {
		return
	}
	rate := (was.bad + 0.5) / (was.all + 1)
	rate += float64(j.limits.SharedPerMille) / 1000 * (1 - rate)
	for i, h := range harms {
		guess := rate + (1-rate)*h
		j.shared[i] += (now.bad*math.Log(guess/rate) + (now.all-now.bad)*math.Log((1-guess)/(1-rate))) / j.base.Clumps.value()
	}
}

// guardRow is how often in a row a guard must be passed: a single time may be a spike. What counts by the job is held
// against the old version's once each had guardJobs.
const (
	guardRow  = 3
	guardJobs = 30
)

// use is what some controllers used.
type use struct{ jobs, probes, cpu float64 }

func (u *use) add(list []Seen) (memory []float64) {
	for _, s := range list {
		for _, w := range s.Work {
			u.jobs += float64(w.Jobs)
		}
		u.probes, u.cpu, memory = u.probes+float64(s.Probes), u.cpu+float64(s.CPU), append(memory, s.MemoryMB)
	}
	slices.Sort(memory)
	return memory
}

// aside is how many engines each has set aside, in the mean.
func aside(list []Seen) (mean float64) {
	for _, s := range list {
		mean += float64(s.Aside) / float64(len(list))
	}
	return mean
}

// guard holds what is no count of jobs against the old version.
func (j *Judge) guard(old, new []Seen) {
	hold := func(what string, passed bool) {
		if passed {
			j.guards[what]++
		} else {
			j.guards[what] = 0
		}
	}
	over := func(percent int64) float64 { return 1 + float64(percent)/100 }
	o, n := &j.use[0], &j.use[1]
	oldMemory, newMemory := o.add(old), n.add(new)
	if len(oldMemory) > 0 && len(newMemory) > 0 {
		const slack = 8 // MB: a runtime's ups and downs
		hold("memory", newMemory[len(newMemory)-1] > oldMemory[len(oldMemory)/2]*over(j.limits.MemoryPercent)+slack)
	}
	if len(old) > 0 && len(new) > 0 {
		const slack = 1 // engine: what one sees and another does not yet
		hold("engines set aside", aside(new) > aside(old)+slack)
	}
	if o.jobs >= guardJobs && n.jobs >= guardJobs {
		const slack, moment = 1, 1e6 // a job: where hardly any probe is sent, few more are no flood; nor is a millisecond
		hold("probes a job", n.probes/n.jobs > o.probes/o.jobs*over(j.limits.ProbesPercent)+slack)
		hold("CPU a job", n.cpu/n.jobs > o.cpu/o.jobs*over(j.limits.CPUPercent)+moment)
		*o, *n = use{}, use{}
	}
}

// Verdict tells what is thought now. baked: the stage has stood for its time.
func (j *Judge) Verdict(baked bool) Verdict {
	v := Verdict{Kind: Open, Wanted: 1e6 / float64(max(1, j.limits.WrongPerMillion))}
	var logs []float64
	worst, where, what := math.Inf(-1), Group{}, missed
	for _, g := range sorted(j.odds) {
		for m := range measures {
			l := j.odds[g][m].value()
			logs = append(logs, l)
			if l > worst {
				worst, where, what = l, g, m
			}
		}
		v.NewJob, v.OldJob = v.NewJob+j.new[g].get().Jobs, v.OldJob+j.old[g].get().Jobs
	}
	if len(logs) > 0 {
		v.Odds = math.Exp(min(300, logMean(logs)))
	}
	tell := func() string {
		over := deciles(j.old[where].took(), j.base.All[where].took())
		a, b := count(j.new[where].get(), what, over), count(j.old[where].get(), what, over)
		return fmt.Sprintf("%s of %s: %s, new %.1f%% of %.0f, old %.1f%% of %.0f", where.Type, where.Tenant, measureNames[what],
			100*a.bad/max(1, a.all), a.all, 100*b.bad/max(1, b.all), b.all)
	}
	if j.crashes >= uint64(max(1, j.limits.Crashes)) {
		v.Kind, v.Why = Worse, fmt.Sprintf("the new version ended or failed to start %d times, last at %s", j.crashes, j.crashed)
		return v
	}
	if v.Odds >= v.Wanted {
		v.Kind, v.Why = Worse, tell()
		return v
	}
	for _, name := range sortedNames(j.guards) {
		if j.guards[name] >= guardRow {
			v.Kind, v.Why = Worse, "over the old version's: "+name
			return v
		}
	}
	if logMean(j.shared[:]) >= math.Log(v.Wanted) {
		v.Kind, v.Why = Shared, fmt.Sprintf("all miss more than before the stage: %.1f%% of %.0f", 100*j.since.bad/max(1, j.since.all), j.since.all)
		return v
	}
	v.Scarce = j.scarce()
	switch lean := float64(j.limits.LeanPerMille) / 1000; {
	case v.Odds > lean:
		v.Why = "evidence of harm, not enough: " + tell()
	case v.Scarce != "":
		v.Why = "too few jobs of " + v.Scarce
	case !baked:
		v.Why = "baking"
	default:
		v.Kind, v.Why = Even, "no evidence of harm"
	}
	return v
}

func sortedNames[V any](m map[string]V) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// scarce is a type of which the new version had too few jobs, in order of names. Waited for is what the controllers of the
// stage served before it: one whose front sends one type only can show nothing of the others.
func (j *Judge) scarce() string {
	all, jobs, new := 0.0, map[string]float64{}, map[string]uint64{}
	for name := range j.of {
		for g, w := range j.base.Work[name] {
			all += float64(w.Jobs)
			jobs[g.Type] += float64(w.Jobs)
		}
	}
	for g, w := range j.new {
		new[g.Type] += w.Jobs
	}
	for _, name := range sortedNames(jobs) {
		if 1000*jobs[name] >= float64(j.limits.ScarcePerMille)*all && new[name] < uint64(j.limits.JobsWanted) {
			return name
		}
	}
	if all == 0 {
		return "any type"
	}
	return ""
}
