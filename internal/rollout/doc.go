// Package rollout decides how a change goes through a fleet: a state machine that takes one observation of the fleet
// at a time and says which spec each controller is to run.
//
// It has no clock, socket or file: time comes with each observation, in nanoseconds of the coordinator's own clock,
// and whoever drives the machine records its State before acting on its Orders. A Machine belongs to one goroutine.
package rollout
