// Package soak runs a fleet of real controller processes against real engine processes on loopback, injects overlapping
// faults, and checks the invariants of the protocol.
//
// The faults of a run, their times and their lengths are drawn from a seed. Controllers and engines are processes, so
// that they can be paused, killed and signalled. Connections to an engine pass through a Proxy that can delay, hold
// back and reset them, and that records each dispatch as it arrives. Each controller has its own feed, so that it is
// known when it was notified of what. Clients record what they sent, when they left and which answers they got. The
// check uses only these records and the controllers' logs.
package soak
