// Package rollout implements the state machine of a staged rollout. Each step takes one observation of the fleet and
// determines which spec each controller has to run.
//
// The package has no clock, socket or file: the time is part of each observation, in nanoseconds of the coordinator's
// own clock, and the caller must record the State of a Machine before it acts on its Orders. A Machine may be used by
// one goroutine only.
package rollout
