//go:build !fault

// Package failpoint makes a bad build on purpose, for tests of rollouts: with the build tag fault and a name set by
// -ldflags "-X swiftreel/internal/failpoint.name=...". Without the tag nothing of it is in the program.
package failpoint

import "time"

// Start begins what goes on beside the jobs.
func Start() {}

// Fails tells whether a good answer shall be lost.
func Fails(string, func() string) bool { return false }

// Refuses tells whether a job shall be turned away.
func Refuses(string) bool { return false }

// Slow is for how much longer an answer shall be kept.
func Slow(time.Duration) time.Duration { return 0 }

// Early is before the program is ready.
func Early() {}

// Write is before a text is written that is to outlive the process.
func Write() error { return nil }

// Wall is the time of day as this process thinks it is.
func Wall() time.Time { return time.Now() }

// Untaught tells whether what an older process has learned shall not go over.
func Untaught() bool { return false }

// Probes is how many more probes shall go out with one.
func Probes() int { return 0 }
