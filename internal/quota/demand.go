package quota

import (
	"maps"
	"math"
	"slices"

	"swiftreel/internal/canary"
)

// Parameters of Demand. Times are in nanoseconds.
const (
	smoothingTime    = 10e9   // time constant of the rates: work of this age counts about a third
	baseFraction     = 0.25   // of the mean share: added to each controller's demand, so that new jobs find capacity
	changeThreshold  = 0.1    // of the mean share: targets are kept while no share would change by more
	unseenCapDelay   = 5e9    // a controller not seen for this long gets at most the mean share
	unseenTimeout    = 30e9   // a controller not seen for this long gets no share; until then it may still be serving
	minRate          = 1e-3   // jobs per second; lower rates are removed
	maxServiceWeight = 10_000 // jobs; beyond this the weight of a mean is halved, so that recent jobs count more
	nsPerSecond      = 1e9
)

// Observation is the work that a controller did since it was last observed.
type Observation struct {
	Member    string
	Reachable bool
	Interval  int64 // ns since the last observation; 0 if there was none, and Work is ignored
	Work      map[canary.Group]canary.JobCounts
}

// Demand tracks the recent load of the controllers and computes their target shares. It is not safe for concurrent use.
type Demand struct {
	members      map[string]*memberDemand // by name
	serviceTimes map[string]*weightedMean // by job type: mean time a job occupies threads, in the unit of medianLatency
	lastTargets  map[string]Shares        // returned again while new targets differ little
}

type memberDemand struct {
	lastSeen int64                    // ns
	rates    map[canary.Group]float64 // jobs per second, smoothed
}

// weightedMean represents a mean by its weighted sum and its total weight.
type weightedMean struct{ sum, weight float64 }

// NewDemand returns a Demand without any observation.
func NewDemand() *Demand {
	return &Demand{members: map[string]*memberDemand{}, serviceTimes: map[string]*weightedMean{}}
}

// Observe records one observation per member and removes members that have none. medianLatency computes the median of a
// latency histogram, in any unit.
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
		m.rates[group] += 0 // adds a group that is new
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

// serviceTime returns the mean service time of a job type, or the mean over all types if no job of it has finished.
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

// Rates returns the jobs per second of each group, by member.
func (d *Demand) Rates() map[string]map[canary.Group]float64 {
	rates := map[string]map[canary.Group]float64{}
	for name, member := range d.members {
		rates[name] = maps.Clone(member.rates)
	}
	return rates
}

// Targets returns the shares that each member should have now. Their sum is at most FullShare for each resource. The
// previous targets are returned while no share would change by much, so that not every round commits a new record.
func (d *Demand) Targets(now int64) map[string]Shares {
	present := d.presentMembers(now)
	loads := d.loads(present)
	targets := map[string]Shares{}
	isChanged := d.lastTargets == nil || len(d.lastTargets) != len(present)
	for _, name := range present {
		targets[name] = d.target(name, loads, now)
		isChanged = isChanged || d.differsNoticeably(targets[name], d.lastTargets[name])
	}
	if isChanged {
		d.lastTargets = targets
	}
	return d.lastTargets
}

// presentMembers returns the sorted names of the members that were seen recently enough to get a share.
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

// loads sums the demand of the members by resource: for the fleet in proportion to the threads that their jobs occupy,
// for a tenant's quota in jobs per second.
func (d *Demand) loads(members []string) map[Resource]*load {
	loads := map[Resource]*load{FleetThreads: {byMember: map[string]float64{}}}
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
			add(FleetThreads, name, rates[group]*d.serviceTime(group.Type))
			add(TenantQuota(group.Tenant), name, rates[group])
		}
	}
	return loads
}

// target returns a member's shares, in proportion to its demand plus a base demand.
func (d *Demand) target(name string, loads map[Resource]*load, now int64) Shares {
	count := float64(len(d.members))
	target := Shares{}
	for resource, demand := range loads {
		base := baseFraction * demand.total / count
		share := 1 / count
		if demand.total > 0 {
			share = (demand.byMember[name] + base) / (demand.total + count*base)
		}
		if now-d.members[name].lastSeen >= unseenCapDelay {
			share = min(share, 1/count)
		}
		target[resource] = int64(share * FullShare)
	}
	return target
}

// differsNoticeably reports whether any share differs by more than changeThreshold of the mean share.
func (d *Demand) differsNoticeably(target, last Shares) bool {
	threshold := changeThreshold * FullShare / float64(len(d.members))
	for _, resource := range resources(target, last) {
		if math.Abs(float64(target[resource]-last[resource])) > threshold {
			return true
		}
	}
	return false
}

// sortedGroups returns a map's groups in a fixed order, so that floating-point sums do not depend on the iteration
// order.
func sortedGroups[V any](groups map[canary.Group]V) []canary.Group {
	return slices.SortedFunc(maps.Keys(groups), canary.Group.Compare)
}
