//go:build !fault

package failpoint

import "time"

// BeforeWrite returns the error of a fault that is injected before a text is stored.
func BeforeWrite() error { return nil }

// WallClock returns the time of day, as far as a fault does not move it.
func WallClock() time.Time { return time.Now() }
