package quota

import (
	"maps"
	"math"
	"slices"

	"swiftreel/internal/canary"
)

// Tuned values of Demand. Times are in nanoseconds.
const (
	smoothingTime    = 10e9   // work that long ago counts a third
	baseFraction     = 0.25   // of a mean share: every controller has it, for the jobs to come
	changeThreshold  = 0.1    // of a mean share: targets that would change by less stay as they are
	unseenLimit      = 5e9    // a controller not seen for this long is limited to a mean share
	unseenTimeout    = 30e9   // one not seen for this long has none: until then it may serve on by its own estimate
	minRate          = 1e-3   // jobs a second below which a rate is dropped
	maxServiceWeight = 10_000 // jobs beyond which the older half of a mean counts half
	nsPerSecond      = 1e9
)

// Observation is the work of a controller since it was last observed.
type Observation struct {
	Member    string
	Reachable bool
	Interval  int64 // ns since it was last observed; 0: it was not, and Work says nothing
	Work      map[canary.Group]canary.JobCounts
}

// Demand is the recent load of the controllers, and the shares that follow from it. It is not safe for concurrent
// use.
type Demand struct {
	members      map[string]*memberDemand
	serviceTimes map[string]*weightedMean // by job type: how long a job occupies its threads, in the caller's unit
	lastTargets  map[string]Shares        // returned as long as they are close enough
}

type memberDemand struct {
	lastSeen int64
	rates    map[canary.Group]float64 // jobs a second, smoothed
}

// weightedMean is a mean as its sum and weight.
type weightedMean struct{ sum, weight float64 }

// NewDemand returns a Demand without any observation.
func NewDemand() *Demand {
	return &Demand{members: map[string]*memberDemand{}, serviceTimes: map[string]*weightedMean{}}
}

// Observe takes in one observation of each member; members without one are removed. medianLatency computes the median
// of a histogram of latencies.
func (d *Demand) Observe(now int64, observations []Observation, medianLatency func(counts []uint64) float64) {
	observed := map[string]bool{}
	for _, observation := range observations {
		observed[observation.Member] = true
		member := d.members[observation.Member]
		if member == nil {
			member = &memberDemand{rates: map[canary.Group]float64{}, lastSeen: now}
			d.members[observation.Member] = member
		}
		if !observation.Reachable {
			continue
		}
		member.lastSeen = now
		if observation.Interval > 0 {
			member.updateRates(observation)
			d.updateServiceTimes(observation.Work, medianLatency)
		}
	}
	maps.DeleteFunc(d.members, func(name string, _ *memberDemand) bool { return !observed[name] })
}

// updateRates smooths the rates exponentially.
func (m *memberDemand) updateRates(observation Observation) {
	weight := 1 - math.Exp(-float64(observation.Interval)/smoothingTime)
	seconds := float64(observation.Interval) / nsPerSecond
	for group := range observation.Work {
		m.rates[group] += 0 // so that it is in the map
	}
	for group := range m.rates {
		jobs := observation.Work[group].Jobs
		m.rates[group] += weight * (float64(jobs)/seconds - m.rates[group])
		if m.rates[group] < minRate && jobs == 0 {
			delete(m.rates, group)
		}
	}
}

func (d *Demand) updateServiceTimes(
	work map[canary.Group]canary.JobCounts, medianLatency func(counts []uint64) float64,
) {
	for _, group := range sortedGroups(work) {
		done := work[group]
		if done.Done == 0 {
			continue
		}
		mean := d.serviceTimes[group.Type]
		if mean == nil {
			mean = &weightedMean{}
			d.serviceTimes[group.Type] = mean
		}
		mean.add(medianLatency(done.LatencyBuckets), float64(done.Done))
	}
}

func (m *weightedMean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
	if m.weight > maxServiceWeight {
		m.sum /= 2
		m.weight /= 2
	}
}

// serviceTime returns the mean service time of a job type, or the mean over all types where none of it was done yet.
func (d *Demand) serviceTime(jobType string) float64 {
	if mean := d.serviceTimes[jobType]; mean != nil && mean.sum > 0 {
		return mean.sum / mean.weight
	}
	var all weightedMean
	for _, name := range slices.Sorted(maps.Keys(d.serviceTimes)) {
		all.sum += d.serviceTimes[name].sum
		all.weight += d.serviceTimes[name].weight
	}
	if all.sum == 0 {
		return 1
	}
	return all.sum / all.weight
}

// Rates returns the jobs a second of each group, by member.
func (d *Demand) Rates() map[string]map[canary.Group]float64 {
	rates := map[string]map[canary.Group]float64{}
	for name, member := range d.members {
		rates[name] = maps.Clone(member.rates)
	}
	return rates
}

// Targets returns the shares that each member should have now; together they are at most FullShare of each resource.
// They stay as they were while none would change by much, so that the record is not committed again in each round.
func (d *Demand) Targets(now int64) map[string]Shares {
	present := d.presentMembers(now)
	loads := d.loads(present)
	targets := map[string]Shares{}
	isChanged := d.lastTargets == nil || len(d.lastTargets) != len(present)
	for _, name := range present {
		targets[name] = d.target(name, loads, now)
		isChanged = isChanged || d.isFarFrom(targets[name], d.lastTargets[name])
	}
	if isChanged {
		d.lastTargets = targets
	}
	return d.lastTargets
}

// presentMembers returns the members that were seen recently enough to have a share, sorted.
func (d *Demand) presentMembers(now int64) []string {
	var present []string
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		if now-d.members[name].lastSeen < unseenTimeout {
			present = append(present, name)
		}
	}
	return present
}

// load is the demand for one resource.
type load struct {
	total    float64
	byMember map[string]float64
}

// loads sums the members' demand by resource: threads for the fleet, jobs for a tenant's quota.
func (d *Demand) loads(members []string) map[Resource]*load {
	loads := map[Resource]*load{Fleet: {byMember: map[string]float64{}}}
	add := func(resource Resource, member string, amount float64) {
		if loads[resource] == nil {
			loads[resource] = &load{byMember: map[string]float64{}}
		}
		loads[resource].byMember[member] += amount
		loads[resource].total += amount
	}
	for _, name := range members {
		rates := d.members[name].rates
		for _, group := range sortedGroups(rates) {
			add(Fleet, name, rates[group]*d.serviceTime(group.Type))
			add(TenantQuota(group.Tenant), name, rates[group])
		}
	}
	return loads
}

// target returns a member's shares: in proportion to its demand, on top of a base share.
func (d *Demand) target(name string, loads map[Resource]*load, now int64) Shares {
	count := float64(len(d.members))
	target := Shares{}
	for resource, demand := range loads {
		base := baseFraction * demand.total / count
		share := 1 / count
		if demand.total > 0 {
			share = (demand.byMember[name] + base) / (demand.total + count*base)
		}
		if now-d.members[name].lastSeen >= unseenLimit {
			share = min(share, 1/count)
		}
		target[resource] = int64(share * FullShare)
	}
	return target
}

// isFarFrom reports whether any share differs by more than changeThreshold.
func (d *Demand) isFarFrom(target, last Shares) bool {
	threshold := changeThreshold * FullShare / float64(len(d.members))
	for _, resource := range resources(target, last) {
		if math.Abs(float64(target[resource]-last[resource])) > threshold {
			return true
		}
	}
	return false
}

// sortedGroups returns a map's groups in order, so that sums of floating-point numbers do not depend on the map's
// order.
func sortedGroups[V any](groups map[canary.Group]V) []canary.Group {
	return slices.SortedFunc(maps.Keys(groups), canary.Group.Compare)
}
