// Package gateway connects clients, engines and the decision module (package choice).
//
// A Gateway owns the module. It reports events to it one at a time, under a single lock and with a monotonic clock, and
// executes the actions that the module returns. The gateway makes no decisions itself. No I/O is done under the lock:
// actions for a job are put into that job's mailbox, in the order in which the module returned them; all others are
// performed after the lock is released.
//
// Each admitted job has its own goroutine (jobRunner), which runs until the job is answered and the outcome of its last
// dispatch is known. All exported methods of Gateway are safe for concurrent use unless documented otherwise.
package gateway
