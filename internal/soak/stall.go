package soak

import "time"

const (
	stallTick      = 5 * time.Millisecond
	stallThreshold = 20 * time.Millisecond // a tick so late shows that this process got no CPU
	stallGrace     = 50 * time.Millisecond // after a stall, in which what came meanwhile is recorded
)

// watchStalls records when this process got no CPU, until it is told to stop.
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
