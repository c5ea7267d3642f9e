package supervisor

import "time"

const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// stableRun is the run time after which a crash resets the delay to minRestartDelay.
	stableRun = 10 * time.Second
	// maxDoublings prevents overflow when minRestartDelay is shifted; maxRestartDelay is reached first.
	maxDoublings = 10
)

// restartBackoff computes the restart delay of a crashing controller: an exponential backoff that doubles with each
// crash after a run shorter than stableRun. It does not read the clock.
type restartBackoff struct {
	crashes            uint64 // since the supervisor's start
	consecutiveCrashes int
}

// recordCrash counts a crash or a failed start (runTime 0) and returns the delay before the next start.
func (b *restartBackoff) recordCrash(runTime time.Duration) time.Duration {
	b.crashes++
	if runTime >= stableRun {
		b.consecutiveCrashes = 0
	}
	b.consecutiveCrashes++
	doublings := min(b.consecutiveCrashes-1, maxDoublings)
	return min(maxRestartDelay, minRestartDelay<<doublings)
}
