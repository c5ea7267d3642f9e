// Package leader elects one member of the fleet as leader and runs the duties that must be done once for the whole
// fleet: rollouts, quota shares and planning.
//
// Three or five named voters replicate a small state with etcd's raft. A member acts as leader only under a term that
// is committed in that state, and only while a quorum has confirmed it within the lease. The term is a fencing token:
// it only rises, each term has one leader, and receivers refuse what carries an older one. So two members never act
// at the same time, provided that their clocks run alike to within the lease's margin.
//
// The layers, from the inside out:
//   - State and Command: the replicated state machine.
//   - Core: raft with lease and fencing as a pure state machine, free of I/O, clock and goroutines. It is not safe
//     for concurrent use.
//   - Store: the member's persistent state in a bbolt file.
//   - Node: a Core with its Store, its clock and its links to other members, behind one lock. Safe for concurrent
//     use.
//   - Duties: what the leader does under its term. They end with the term, and the next leader resumes them from the
//     replicated items.
//
// The package decides neither shares nor plans nor rollouts: packages quota, planner and coordinator do.
package leader
