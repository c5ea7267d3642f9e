// Package choice holds every decision of a swiftreel controller: whether a job is admitted, parked, dispatched,
// retried, canceled or rejected, which engine it goes to and when, and how much of the fleet this controller uses.
//
// A Controller is told each event in order by Decide, Started first, and answers with the actions to carry out. It
// owns what it learned of jobs, engines and siblings; it holds nothing that outlives the process but what
// Controller.TypeStats and Controller.EngineHealth hand to a successor.
//
// A Controller is not safe for concurrent use: its caller serializes all calls. The package reads no clock, does no
// I/O and starts no goroutine; time and randomness come with events, so that the same events always lead to the same
// actions. Sockets, protocols, discovery and storage are the caller's.
//
// The decisions and all tuned values are in the files listed under "policy" in deploy/balancer.toml, one file a
// concern; the other files hold records, settings, containers, encodings and log texts. docs/design.md has the
// reasons.
package choice
