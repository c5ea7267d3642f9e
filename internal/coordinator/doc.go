// Package coordinator rolls a recorded change out to a fleet of controllers: it polls their supervisors, evaluates the
// stage with package canary, steps the state machine of package rollout, records the new state and only then sends
// orders. Packages canary and rollout make all decisions.
//
// A Coordinator may be used by one goroutine only. At most one coordinator acts on a change at a time: orders carry a
// fencing token, whose term is taken from a locked folder or from the leader's term, and supervisors refuse lower
// tokens. A RecordStore holds the state that survives a coordinator. A FleetClient may be shared between goroutines
// only as its methods document.
package coordinator
