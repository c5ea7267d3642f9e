package rollout

import "swiftreel/internal/change"

// Orders returns the orders that controllers have still to follow. Orders state the goal, so they may be repeated;
// each reachable controller gets one with each new fence, also where its spec stays, so that an earlier coordinator's
// order is refused everywhere. Where following an order means a restart, only so many are in progress at once that
// the minimum of healthy controllers keeps serving.
func (m *Machine) Orders(seen Observation) []Order {
	if m.State.Phase == PhasePreparing || m.State.Phase.IsTerminal() {
		return nil
	}
	restartsLeft := m.restartBudget(seen)
	var orders []Order
	for _, member := range seen.Members {
		if !m.needsOrder(member) {
			continue
		}
		wanted := m.wanted(member.Name)
		if m.State.Paused && wanted == m.plan.ToSpec && member.Running != m.plan.ToSpec {
			continue
		}
		if m.takesOutOfService(member) {
			if restartsLeft <= 0 {
				continue
			}
			restartsLeft--
		}
		orders = append(orders, Order{Member: member.Name, UseTarget: wanted == m.plan.ToSpec, Drain: m.isDrained(member)})
	}
	return orders
}

// needsOrder reports whether a reachable member has still to accept or to follow an order of the fence in force.
func (m *Machine) needsOrder(member Member) bool {
	if !member.Reachable {
		return false
	}
	followed := member.Running == m.wanted(member.Name) || m.isDrained(member)
	return member.Fence != m.State.Fence || !followed
}

// takesOutOfService reports whether an order makes a member that serves now restart.
func (m *Machine) takesOutOfService(member Member) bool {
	restarts := m.plan.Kind == change.KindProgram
	return restarts && member.Running != m.wanted(member.Name) && member.Serving && !m.inProgress(member)
}

// restartBudget is how many controllers may leave service for a restart now.
func (m *Machine) restartBudget(seen Observation) int {
	serving := 0
	for _, member := range seen.Members {
		if member.Reachable && member.Serving && !m.inProgress(member) {
			serving++
		}
	}
	const all = 1000
	required := (m.plan.Timing.MinHealthyPerMille*int64(len(seen.Members)) + all - 1) / all
	return serving - int(required)
}

// inProgress reports whether a member has accepted an order of the fence in force and has not followed it yet.
func (m *Machine) inProgress(member Member) bool {
	return member.Fence == m.State.Fence && member.Running != m.wanted(member.Name)
}
