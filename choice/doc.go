// Package choice holds every decision of a swiftreel controller: whether a job is admitted, parked, dispatched,
// retried, canceled or rejected, which engine runs it and when, and how much of the fleet this controller uses.
//
// A [Controller] processes one [Event] at a time in [Controller.Decide], Started first, and returns the actions to
// carry out. It owns what it learned of jobs, engines and the other controllers of the fleet, its siblings. Only
// [Controller.TypeStats] and [Controller.EngineHealth] outlive the process, if its caller hands them to a successor.
//
// A Controller is not safe for concurrent use: its caller serializes all calls. The package reads no clock, does no
// I/O and starts no goroutine; time and the random seed come with events, so the same events always lead to the same
// actions. Sockets, protocols, discovery and storage belong to the caller.
// Its settings are parsed once by [ParseSettings] and handed over with an event; absent or odd ones have defaults.
//
// The decisions and all tuned values are in the files listed under "policy" in deploy/balancer.toml, one file per
// concern; the other files hold records, settings, containers, moving means, encodings and log texts. docs/design.md
// gives the reasons.
//
// Short names are used throughout: c is the Controller, j a job, t its reservation type, e an engine, a an attempt
// and b a bucket. Work is in nanoseconds of one thread, memory in MB, prices and budgets of messages and probes in
// the points of the settings.
//
// Comments refer to the rules that no action may break:
//
//  1. A job has one attempt in flight at most, and one final answer before it expires.
//  2. A job that may have run is repeated only where that is harmless.
//  3. A draining or removed engine gets nothing new after its grace.
//  4. All controllers together send an engine in slow start no more than it withstands.
//  5. Jobs of one ordering key run one after the other, with a pause after an unknown outcome.
//  6. A job runs only in the zones, on the kinds of engine and over the protocols that it allows.
//  7. Dispatches beyond a job's first keep to a budget.
package choice
