// Package gateway connects clients, engines and the decision module (package choice).
//
// A Gateway owns the module: it reports every event to it, one at a time under one lock and with a clock that never
// goes back, and carries out the actions that the module returns. It decides nothing itself. No I/O is done under the
// lock: actions that concern a job go to the mailbox of that job, in the module's order; all others are performed once
// the lock is free.
//
// Each admitted job has a goroutine of its own (jobRunner) that lives until the last outcome of the job is known. All
// exported methods of Gateway may be called concurrently unless they say otherwise.
package gateway
