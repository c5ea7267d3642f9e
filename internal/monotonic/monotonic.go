// Package monotonic reads the machine's clocks that are never set. They are common to all processes and start at boot.
package monotonic

import "golang.org/x/sys/unix"

// Now returns the time since boot in nanoseconds, including suspension; 0 if the system has no such clock.
func Now() int64 { return read(unix.CLOCK_BOOTTIME) } // Linux has had it since 2.6.39

// Uptime returns the time since boot in nanoseconds without suspension, by which package time measures durations.
func Uptime() int64 { return read(unix.CLOCK_MONOTONIC) }

// read returns the reading of a clock, or 0 if the system does not have it.
func read(clock int32) int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0
	}
	return t.Nano()
}
