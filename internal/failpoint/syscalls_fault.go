//go:build fault

package failpoint

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// syscallsVariable is the path of a file that lists failing system calls, one per line as call and error, for example
// "dial ENOBUFS". A line "clock" with a duration, such as "1h0m0s", offsets the wall clock. The file is reread every
// syscallFaultsInterval.
const syscallsVariable = "FAULT_SYSCALLS"

const syscallFaultsInterval = 10 * time.Millisecond

// injectableErrors are the errors that the file may contain.
var injectableErrors = map[string]syscall.Errno{
	"ENOBUFS":       syscall.ENOBUFS,
	"ENFILE":        syscall.ENFILE,
	"ENETUNREACH":   syscall.ENETUNREACH,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
	"EHOSTUNREACH":  syscall.EHOSTUNREACH,
	"ETIMEDOUT":     syscall.ETIMEDOUT,
}

// syscallFaults is the parsed file as of its last read.
var syscallFaults struct {
	mu     sync.Mutex
	readAt time.Time
	values map[string]string
}

// syscallFault returns the value of the line that begins with name, or an empty string if there is none.
func syscallFault(name string) string {
	syscallFaults.mu.Lock()
	defer syscallFaults.mu.Unlock()
	if time.Since(syscallFaults.readAt) > syscallFaultsInterval {
		syscallFaults.readAt = time.Now()
		syscallFaults.values = readSyscallFaults(faultVariable(syscallsVariable))
	}
	return syscallFaults.values[name]
}

func readSyscallFaults(path string) map[string]string {
	values := map[string]string{}
	text, err := os.ReadFile(path)
	if err != nil {
		return values // no file: no faults
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(strings.TrimSpace(line), " "); found {
			values[name] = value
		}
	}
	return values
}

// slowCall is the value for a call that is delayed by slowCallTime and then succeeds.
const (
	slowCall     = "SLOW"
	slowCallTime = 200 * time.Millisecond
)

// SyscallError returns the error injected into a system call, or nil. It blocks first if the call is to be slow.
func SyscallError(call string) error {
	if syscallFault(call) == slowCall {
		time.Sleep(slowCallTime)
	}
	if number, known := injectableErrors[syscallFault(call)]; known {
		return os.NewSyscallError(call, number)
	}
	return nil
}

// clockStep returns the injected offset of the wall clock.
func clockStep() time.Duration {
	offset, err := time.ParseDuration(syscallFault("clock"))
	if err != nil {
		return 0
	}
	return offset
}
