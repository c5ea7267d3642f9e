// Package decide holds the decisions and state that are specific to SPARQL: cost estimates of statements, idempotency
// keys of updates, drains reported by the endpoint list or the engines, and job slots shared by the protocols. The
// decision module chooses the engine of a job, and decides on retries and rejections.
//
// The package does no I/O and reads no clock: times are arguments. Every table is bounded and documents when entries
// are removed. No type is safe for concurrent use; callers hold a lock.
package decide
