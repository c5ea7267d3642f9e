//go:build fault

package failpoint

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// syscallsVariable names a file with system calls that fail, a line each: the call and the error, "dial ENOBUFS"; and
// "clock" with an offset, as "1h0m0s". It is read again at intervals of steeringInterval.
const syscallsVariable = "FAULT_SYSCALLS"

const steeringInterval = 10 * time.Millisecond

// injectable are the errors that the file may name.
var injectable = map[string]syscall.Errno{
	"ENOBUFS":       syscall.ENOBUFS,
	"ENFILE":        syscall.ENFILE,
	"ENETUNREACH":   syscall.ENETUNREACH,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
	"EHOSTUNREACH":  syscall.EHOSTUNREACH,
	"ETIMEDOUT":     syscall.ETIMEDOUT,
}

// steering is the file as it was read last.
var steering struct {
	mu     sync.Mutex
	readAt time.Time
	values map[string]string
}

// steered returns the value of a line of the file; empty: there is none.
func steered(name string) string {
	steering.mu.Lock()
	defer steering.mu.Unlock()
	if time.Since(steering.readAt) > steeringInterval {
		steering.readAt = time.Now()
		steering.values = readSteering(variable(syscallsVariable))
	}
	return steering.values[name]
}

func readSteering(path string) map[string]string {
	values := map[string]string{}
	text, err := os.ReadFile(path)
	if err != nil {
		return values // nothing is steered
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(strings.TrimSpace(line), " "); found {
			values[name] = value
		}
	}
	return values
}

// slowCall is the word for a call that takes slowCallTime and then does not fail.
const (
	slowCall     = "SLOW"
	slowCallTime = 200 * time.Millisecond
)

// SyscallError returns the error with which a call fails now; nil: it does not. It waits where the call is slow.
func SyscallError(call string) error {
	if steered(call) == slowCall {
		time.Sleep(slowCallTime)
	}
	if number, known := injectable[steered(call)]; known {
		return os.NewSyscallError(call, number)
	}
	return nil
}

// clockStep is by how much the time of day is off now.
func clockStep() time.Duration {
	offset, err := time.ParseDuration(steered("clock"))
	if err != nil {
		return 0
	}
	return offset
}
