// Package leader elects one member of the fleet as leader and runs the duties that must be performed once for the whole
// fleet: rollouts, quota shares and planning.
//
// Three or five named voters replicate a small state with etcd's raft. A member acts as leader only under a term that
// is committed in that state, and only while a quorum has confirmed it within the lease. The term is a fencing token:
// it never decreases, each term has one leader, and receivers reject requests of an older term. Two members never act
// at the same time, provided that the rates of their clocks differ by no more than the margin of the lease.
//
// The layers, from the inside out:
//   - State and Command: the replicated state machine.
//   - Core: raft with lease and fencing as a pure state machine, free of I/O, clock and goroutines. It is not safe
//     for concurrent use.
//   - Store: the member's persistent state in a bbolt file.
//   - Node: a Core with its Store, clock and connections to other members, behind one lock. It is safe for concurrent
//     use.
//   - Duties: the work of the leader under its term. Duties end with the term, and the next leader resumes them from
//     the replicated items.
//
// Decisions about shares, plans and rollouts are made by packages quota, planner and coordinator.
package leader
