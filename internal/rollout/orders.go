package rollout

import "swiftreel/internal/change"

// Orders returns the orders that controllers have not followed yet. An order states the desired state, so it may be
// repeated. Each reachable controller gets an order with each new fence, even if its spec does not change, so that
// orders of an earlier coordinator are refused everywhere. Where following an order means a restart, the number of
// restarts in progress is limited so that the minimum number of healthy controllers keeps serving.
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
		desired := m.desiredSpec(member.Name)
		if m.State.Paused && desired == m.config.ToSpec && member.Running != m.config.ToSpec {
			continue
		}
		if m.takesOutOfService(member) {
			if restartsLeft <= 0 {
				continue
			}
			restartsLeft--
		}
		orders = append(orders, Order{Member: member.Name, UseTarget: desired == m.config.ToSpec, Drain: m.isDrained(member)})
	}
	return orders
}

// needsOrder reports whether a member is reachable and has not yet accepted and followed an order with the current
// fence.
func (m *Machine) needsOrder(member Member) bool {
	if !member.Reachable {
		return false
	}
	followed := member.Running == m.desiredSpec(member.Name) || m.isDrained(member)
	return member.Fence != m.State.Fence || !followed
}

// takesOutOfService reports whether an order makes a member restart while it is serving.
func (m *Machine) takesOutOfService(member Member) bool {
	restarts := m.config.Kind == change.KindProgram
	return restarts && member.Running != m.desiredSpec(member.Name) && member.Serving && !m.inProgress(member)
}

// restartBudget returns the number of controllers that may leave service for a restart now.
func (m *Machine) restartBudget(seen Observation) int {
	serving := 0
	for _, member := range seen.Members {
		if member.Reachable && member.Serving && !m.inProgress(member) {
			serving++
		}
	}
	const all = 1000
	required := (m.config.Timing.MinHealthyPerMille*int64(len(seen.Members)) + all - 1) / all
	return serving - int(required)
}

// inProgress reports whether a member has accepted an order with the current fence and has not followed it yet.
func (m *Machine) inProgress(member Member) bool {
	return member.Fence == m.State.Fence && member.Running != m.desiredSpec(member.Name)
}
