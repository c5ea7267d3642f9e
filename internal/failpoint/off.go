//go:build !fault

// Package failpoint makes a bad build on purpose, for tests of rollouts: with the build tag fault and a name set by
// -ldflags "-X swiftreel/internal/failpoint.name=...". Without the tag nothing of it is in the program.
package failpoint

import "time"

// StartFaults begins what goes on beside the jobs.
func StartFaults() {}

// LoseAnswer tells whether a good answer shall be lost.
func LoseAnswer(string, func() string) bool { return false }

// RejectJob tells whether a job shall be turned away.
func RejectJob(string) bool { return false }

// AnswerDelay is for how much longer an answer shall be kept.
func AnswerDelay(time.Duration) time.Duration { return 0 }

// DelayStart is before the program is ready.
func DelayStart() {}

// BeforeWrite is before a text is written that is to outlive the process.
func BeforeWrite() error { return nil }

// WallClock is the time of day as this process thinks it is.
func WallClock() time.Time { return time.Now() }

// IgnoreSnapshot tells whether what an older process has learned shall not go over.
func IgnoreSnapshot() bool { return false }

// ExtraProbes is how many more probes shall go out with one.
func ExtraProbes() int { return 0 }
