package soak

import "time"

const (
	stallTick      = 5 * time.Millisecond
	stallThreshold = 20 * time.Millisecond // a tick this late shows that the process got no CPU
	stallGrace     = 50 * time.Millisecond // after a stall, until the events of the stall are recorded
)

// watchStalls records stalls of this process, during which it gets no CPU, until isStopped returns true.
func watchStalls(records *Records, isStopped func() bool) {
	last := time.Now()
	for !isStopped() {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) > stallTick+stallThreshold {
			records.addStall(Interval{From: last, To: now.Add(stallGrace)})
		}
		last = now
	}
}
