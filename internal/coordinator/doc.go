// Package coordinator carries a recorded change through a fleet of controllers: it polls their supervisors, has the
// stage evaluated by package canary and the state machine of package rollout stepped, records the new state and only
// then sends orders. It decides nothing itself.
//
// A Coordinator belongs to one goroutine. At most one acts on a change at a time: orders carry a fencing token, whose
// term is taken from a locked folder or from the leader's term, and supervisors refuse lower ones. A RecordStore
// holds what outlives a coordinator. A FleetClient may be shared between goroutines as far as its methods say so.
package coordinator
