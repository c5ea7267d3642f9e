// Package recovery records the jobs of a controller in a store and decides after a crash, from those records alone,
// what is known of each job: whether it may be retried, whether it may have run, which answers are still to be
// repeated, and which ordering keys need a cooldown.
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
// Answered leads from each of them to answered, where the job is over. Each record is durable before the act that it
// announces: Accepted before a job counts as admitted, Dispatched before an engine is contacted, AttemptEnded and
// Answered before the client is told.
//
// The package is free of I/O and clocks; callers pass the time. A Ledger is for one goroutine at a time.
package recovery
