// Package monotonic reads the clock of the machine that is the same for all its processes: it starts with the
// machine, goes on during suspension, and is never set.
package monotonic

import "golang.org/x/sys/unix"

// Now returns the time since the machine started, in ns; 0 if the system has no such clock.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // Linux has had it since 2.6.39
	}
	return t.Nano()
}
