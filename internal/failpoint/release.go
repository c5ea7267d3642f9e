//go:build !fault

package failpoint

import "time"

// BeforeWrite is called before data is stored. Without the tag fault it always returns nil.
func BeforeWrite() error { return nil }

// WallClock returns the current time.
func WallClock() time.Time { return time.Now() }
