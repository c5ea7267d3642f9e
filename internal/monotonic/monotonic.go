// Package monotonic reads the machine's boot-time clock. The clock is common to all processes, starts at boot,
// continues during suspension, and is never set.
package monotonic

import "golang.org/x/sys/unix"

// Now returns the time since boot in nanoseconds; 0 if the system has no such clock.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // Linux has had it since 2.6.39
	}
	return t.Nano()
}
