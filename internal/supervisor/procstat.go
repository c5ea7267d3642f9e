package supervisor

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of the kernel's CPU accounting in /proc, the same on every Linux that this program runs
// on.
const ticksPerSecond = 100

// Fields of /proc/PID/stat after the command name, counted from 0.
const (
	statUserTicks     = 11
	statSystemTicks   = 12
	statResidentPages = 21
)

// resourceUsage is what a process occupies and has used.
type resourceUsage struct {
	memoryMB float64
	cpuNS    int64
}

// usageOf reads a process's usage from /proc. It is zero for a process that has exited.
func usageOf(pid int) resourceUsage {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return resourceUsage{}
	}
	_, afterName, _ := strings.Cut(string(text), ") ") // the command name may contain anything
	fields := strings.Fields(afterName)
	if len(fields) <= statResidentPages {
		return resourceUsage{}
	}
	ticks := parseCount(fields[statUserTicks]) + parseCount(fields[statSystemTicks])
	residentBytes := parseCount(fields[statResidentPages]) * int64(os.Getpagesize())
	return resourceUsage{
		memoryMB: float64(residentBytes) / (1 << 20),
		cpuNS:    ticks * int64(time.Second) / ticksPerSecond,
	}
}

// parseCount returns a number of /proc, which holds nothing else in these fields.
func parseCount(text string) int64 {
	count, _ := strconv.ParseInt(text, 10, 64)
	return count
}
