// Package choice makes every scheduling decision of a swiftreel controller: whether a job is admitted,
// parked, dispatched, retried, canceled or rejected, which engine runs it and when, and how much of the
// fleet's capacity this controller uses.
//
// A [Controller] processes one [Event] at a time in [Controller.Decide], the first of which is Started, and
// returns the actions to carry out. It owns the state of its jobs and what it learned of engines and of the
// other controllers of the fleet, its peers. Only [Controller.TypeStats] and [Controller.EngineHealth]
// outlive the process, if its caller passes them on to a successor.
//
// A Controller is not safe for concurrent use: its caller serializes all calls. The package reads no clock,
// does no I/O and starts no goroutine. Time and the random seed come with events, so the same events always
// lead to the same actions. Sockets, protocols, discovery and storage belong to the caller. [ParseSettings]
// parses the settings once, and an event passes them to the Controller; settings that are absent or invalid
// have defaults.
//
// The decisions and all tunable constants are in the files listed under "policy" in deploy/balancer.toml, one
// file per concern. The other files hold data types, settings, containers, moving means, encodings and log
// texts. docs/design.md gives the reasons.
//
// Short names are used throughout: c is the Controller, j a job, t its type, e an engine, a an attempt and b
// a bucket. Work is in nanoseconds of one thread and memory in MB. The prices and budgets of messages and
// probes are in the points of the settings. A load, or data load, is a job that locks its group of tables;
// the load of an engine is what its jobs use.
//
// Comments refer to the rules that no action may break:
//
//  1. A job has at most one attempt in flight, and gets one final answer before it expires.
//  2. A job that may have run is dispatched again only where that is harmless.
//  3. A draining or removed engine gets nothing new after its drain grace.
//  4. All controllers together send an engine in slow start no more work than it can take.
//  5. Jobs of one ordering key run one after the other, with a pause after an unknown outcome.
//  6. A job runs only in the zones, on the kinds of engine and over the protocols that it allows.
//  7. Dispatches after a job's first stay within the retry budget.
package choice
