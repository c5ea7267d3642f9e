// Package soak runs a fleet of real controller processes against real engine processes on loopback, has several
// faults overlap, and judges what happened by the invariants of the protocol.
//
// A run is drawn from a seed: which faults, when, for how long. Controllers and engines are processes, so that they
// can be stopped, killed and signalled; the way to each engine goes through a Proxy that can delay, cut and reset and
// that records each dispatch as it arrives; each controller has a feed of its own, so that it is known what it was
// told when. Clients record what they sent, when they left and what they got. The judge reads these records and the
// controllers' logs, and nothing else.
package soak
