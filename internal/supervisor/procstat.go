package supervisor

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is USER_HZ, the unit of CPU times in /proc. It is the same on every Linux platform that this program
// supports.
const ticksPerSecond = 100

// Fields of /proc/PID/stat after the command name, counted from 0.
const (
	statUserTicks     = 11
	statSystemTicks   = 12
	statResidentPages = 21
)

// resourceUsage is the resident memory and the consumed CPU time of a process.
type resourceUsage struct {
	memoryMB float64
	cpuNS    int64
}

// usageOf reads the resource usage of a process from /proc. It is zero for a process that has exited.
func usageOf(pid int) resourceUsage {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return resourceUsage{}
	}
	_, afterName, _ := strings.Cut(string(text), ") ") // the command name may contain spaces
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

// parseCount parses an integer field. These fields of /proc are always numeric, so errors are ignored.
func parseCount(text string) int64 {
	count, _ := strconv.ParseInt(text, 10, 64)
	return count
}
