package solve

// none marks an absent index or limit.
const none = -1

// minimum is a lower limit on the threads granted to a type or to a tenant; the other index is none.
type minimum struct {
	typ     int
	tenant  int
	threads int64
}

// covers reports whether a workload's threads count towards the minimum.
func (f minimum) covers(m *model, w workload) bool {
	return m.classes[w.class].typ == f.typ || w.tenant == f.tenant
}

// constraintSet is the constraints in numeric form, each at a given level. A limit of none does not apply.
type constraintSet struct {
	minimums        []minimum
	quotas          []int64 // by tenant: threads
	crossingBudgets []int64 // by zone: bytes per second
	outsideLimits   []int64 // by type: threads outside its placement bound; 0: the bound is strict
	maxCost         int64   // per second, in millionths of the currency unit
	maxUsePerMille  int64   // of the usable threads of each engine
	outage          outage

	// Results of earlier stages that later stages must not worsen:
	minValue       int64
	maxUtilization int64 // of each engine, in parts of utilizationScale
}

// noConstraints returns a set in which no limit applies.
func (m *model) noConstraints() constraintSet {
	return constraintSet{
		quotas:          noLimits(len(m.problem.Tenants)),
		crossingBudgets: noLimits(len(m.problem.Zones)),
		outsideLimits:   noLimits(len(m.problem.Types)),
		maxCost:         none,
		maxUsePerMille:  none,
		maxUtilization:  none,
	}
}

func noLimits(count int) []int64 {
	limits := make([]int64, count)
	for i := range limits {
		limits[i] = none
	}
	return limits
}

// requestedThreads returns the threads requested for a type or for a tenant; the other index is none.
func (m *model) requestedThreads(typ, tenant int) int64 {
	threads := int64(0)
	for _, w := range m.workloads {
		if m.classes[w.class].typ == typ || w.tenant == tenant {
			threads += w.threads
		}
	}
	return threads
}

// requestedOfClass returns the threads requested for a class of jobs.
func (m *model) requestedOfClass(class int) int64 {
	threads := int64(0)
	for _, w := range m.workloads {
		if w.class == class {
			threads += w.threads
		}
	}
	return threads
}

// perMilleRoundedUp returns threads*part/1000, rounded up.
func perMilleRoundedUp(threads, part int64) int64 {
	return threads/perMille*part + (threads%perMille*part+perMille-1)/perMille
}

// maxBytes returns an upper bound on the crossing bytes per second of any plan.
func (m *model) maxBytes() int64 {
	greatest := int64(0)
	for _, bytes := range m.answerBytes {
		greatest = max(greatest, bytes*m.fleetThreads)
	}
	return greatest
}

// maxCost returns an upper bound on the cost per second of any plan.
func (m *model) maxCost() int64 {
	sum := int64(0)
	for i := range m.groups {
		g := &m.groups[i]
		ofThread := int64(0)
		for _, cost := range g.cost {
			ofThread = max(ofThread, cost)
		}
		sum += ofThread * g.threads * int64(len(g.engines))
	}
	return sum
}

// maxEngineThreads returns the threads that an engine may run within the constraints.
func (m *model) maxEngineThreads(engine int, set *constraintSet) int64 {
	usable := m.groups[m.groupOf[engine]].threads
	limit := usable
	if set.maxUsePerMille >= 0 {
		limit = min(limit, usable*set.maxUsePerMille/perMille)
	}
	if set.maxUtilization >= 0 { // the most threads whose utilization, rounded down, does not exceed the limit
		limit = min(limit, ((set.maxUtilization+1)*usable-1)/utilizationScale)
	}
	if remaining, isLimited := set.outage[engine]; isLimited {
		limit = min(limit, remaining)
	}
	return limit
}
