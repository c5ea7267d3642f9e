// Package monotonic is the machine's own clock, the same for all its processes: it starts with the machine, goes on while that
// sleeps, and nobody sets it.
package monotonic

import "golang.org/x/sys/unix"

// Now is ns since the machine started.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // Linux has had it since 2.6.39
	}
	return t.Nano()
}
