package supervisor

import "time"

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// stableRun is the run time after which a crash counts as the first one again.
	stableRun = 10 * time.Second
	// maxDoublings bounds the shift of minRestartDelay; maxRestartDelay is reached before.
	maxDoublings = 10
)

// restartBackoff delays the restart of a controller that crashes: the delay doubles with each crash that follows a
// short run. It has no clock.
type restartBackoff struct {
	crashes            uint64 // since the supervisor's start
	consecutiveCrashes int
}

// recordCrash counts a crash, or a start that failed (runTime 0), and returns how long to wait before the next start.
func (b *restartBackoff) recordCrash(runTime time.Duration) time.Duration {
	b.crashes++
	if runTime >= stableRun {
		b.consecutiveCrashes = 0
	}
	b.consecutiveCrashes++
	doublings := min(b.consecutiveCrashes-1, maxDoublings)
	return min(maxRestartDelay, minRestartDelay<<doublings)
}
