package solve

// none stands for no index, and for no limit.
const none = -1

// minimum is the least threads of a type or a tenant; the other index is none.
type minimum struct {
	typ     int
	tenant  int
	threads int64
}

// covers reports whether a workload's threads count for the minimum.
func (f minimum) covers(m *model, w workload) bool {
	return m.classes[w.class].typ == f.typ || w.tenant == f.tenant
}

// constraintSet is what a solution must keep, in numbers. A limit of none is not there.
type constraintSet struct {
	minimums        []minimum
	quotas          []int64 // by tenant: threads
	crossingBudgets []int64 // by zone: bytes a second
	outsideLimits   []int64 // by type: threads outside its placement bound; 0: the bound holds
	maxCost         int64   // of a second
	maxUsePerMille  int64   // of each engine's threads
	remaining       loss

	// What an earlier stage reached and must be kept:
	minValue       int64
	maxUtilization int64 // the greatest use of an engine, in parts of ten thousand of its usable threads
}

// unconstrained returns a set that asks for nothing.
func (m *model) unconstrained() constraintSet {
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

// requestedThreads returns the threads that a type or a tenant asks for; the other index is none.
func (m *model) requestedThreads(typ, tenant int) int64 {
	threads := int64(0)
	for _, w := range m.workloads {
		if m.classes[w.class].typ == typ || w.tenant == tenant {
			threads += w.threads
		}
	}
	return threads
}

// requestedOfClass returns the threads that a class of jobs asks for.
func (m *model) requestedOfClass(class int) int64 {
	threads := int64(0)
	for _, w := range m.workloads {
		if w.class == class {
			threads += w.threads
		}
	}
	return threads
}

// perMilleRoundedUp returns a part of threads in thousandths.
func perMilleRoundedUp(threads, part int64) int64 {
	return threads/perMille*part + (threads%perMille*part+perMille-1)/perMille
}

// maxBytes returns crossing bytes a second that the fleet cannot exceed.
func (m *model) maxBytes() int64 {
	greatest := int64(0)
	for _, bytes := range m.answerBytes {
		greatest = max(greatest, bytes*m.fleetThreads)
	}
	return greatest
}

// maxCost returns a cost of a second that the fleet cannot exceed.
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

// maxThreadsOf returns the threads that an engine may run within the constraints.
func (m *model) maxThreadsOf(engine int, set *constraintSet) int64 {
	usable := m.groups[m.groupOf[engine]].threads
	limit := usable
	if set.maxUsePerMille >= 0 {
		limit = min(limit, usable*set.maxUsePerMille/perMille)
	}
	if set.maxUtilization >= 0 { // the most threads whose utilization, rounded down, is no higher
		limit = min(limit, ((set.maxUtilization+1)*usable-1)/utilizationScale)
	}
	if remaining, isLost := set.remaining[engine]; isLost {
		limit = min(limit, remaining)
	}
	return limit
}
