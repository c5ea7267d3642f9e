// Package decide holds what the SPARQL side decides and remembers for itself: estimates of a text's cost, idempotency
// keys of updates, drains reported by two sources, and slots shared by the protocols. Which engine a job is sent to,
// whether it is retried, and what is rejected is left to the decision module.
//
// The package does no I/O and reads no clock: times are arguments. Every table is bounded and says when entries leave
// it. No type is safe for concurrent use; callers hold a lock.
package decide
