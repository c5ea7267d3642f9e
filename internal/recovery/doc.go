// Package recovery records the jobs of a controller in a store. After a crash it derives, from those records alone, the
// state of each job: whether it may be retried, whether it may have run, which answers are still to be sent, and which
// ordering keys need a cooldown.
//
// # Life of a recorded job
//
//	            Dispatched
//	pending ------------------> dispatched
//	   ^                         |      |
//	   |  AttemptEnded           |      |  AttemptEnded
//	   |  (never ran, unknown)   |      |  (ran)
//	   +-------------------------+      v
//	                                   ran
//
// Answered leads from each of these states to answered, the final one. Each record is durable before the action that it
// announces: Accepted before a job counts as admitted, Dispatched before an engine is contacted, AttemptEnded and
// Answered before the client is answered.
//
// The package does no I/O and reads no clock; callers pass the time. A Ledger is for one goroutine at a time.
package recovery
