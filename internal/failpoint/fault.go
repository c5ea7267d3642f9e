//go:build fault

package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// name is the fault, one of the constants below; empty: none. It is set by the linker.
var name string

// The faults.
const (
	faultFails   = "fails"   // 3 % of imports are lost
	faultLate    = "late"    // a tenth of imports, but not at first
	faultKind    = "kind"    // a fifth of the imports that ran on the engine e2
	faultSlow    = "slow"    // answers take longer
	faultDies    = "dies"    // the process ends after a while
	faultLeaks   = "leaks"   // memory is never returned
	faultFloods  = "floods"  // far too many probes
	faultTurns   = "turns"   // imports are turned away
	faultSteered = "steered" // as the environment says
)

// The environment variables of a process that is steered. They are read each time.
const (
	diskVariable           = "FAULT_DISK"     // names a file: "full", or how long each write takes; absent: no fault
	clockVariable          = "FAULT_CLOCK_MS" // added to the time of day
	startVariable          = "FAULT_START_MS" // delay before the process is ready
	ignoreSnapshotVariable = "FAULT_UNTAUGHT"
)

// Figures of the faults.
const (
	lostType    = "import"
	lostEngine  = "e2"
	failsOneIn  = 33
	lateOneIn   = 10
	lateAfter   = 5 * time.Second
	kindOneIn   = 5
	diesAfter   = 3 * time.Second
	diesWith    = 7 // exit code
	leakPeriod  = 50 * time.Millisecond
	leakBytes   = 1 << 20
	floodProbes = 20
)

// diskFull is the content of the file of diskVariable that has each write fail.
const diskFull = "full"

var (
	answers   atomic.Uint64 // that a fault has looked at
	leaked    [][]byte      // only the goroutine of StartFaults uses it
	startedAt = time.Now()
)

// variable returns an environment variable of a steered process.
func variable(key string) string {
	if name != faultSteered {
		return ""
	}
	return os.Getenv(key)
}

// milliseconds reads a duration; 0 if there is none.
func milliseconds(key string) time.Duration {
	n, err := strconv.ParseInt(variable(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// DelayStart waits before the process is ready.
func DelayStart() { time.Sleep(milliseconds(startVariable)) }

// BeforeWrite returns the error of a fault that is injected before a text is stored, or takes as long as the fault
// says.
func BeforeWrite() error {
	fault := diskFault()
	if fault == diskFull {
		return &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
	}
	if delay, err := time.ParseDuration(fault); err == nil {
		time.Sleep(delay)
	}
	return nil
}

// diskFault returns what the steering file says; empty if there is none.
func diskFault() string {
	text, err := os.ReadFile(variable(diskVariable))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// WallClock returns the time of day, as far as a fault does not move it.
func WallClock() time.Time { return time.Now().Add(milliseconds(clockVariable) + clockStep()) }

// IgnoreSnapshot reports whether what an older process has learned is not restored.
func IgnoreSnapshot() bool { return variable(ignoreSnapshotVariable) != "" }

// StartFaults starts the faults that have nothing to do with jobs. They go on until the process ends.
func StartFaults() {
	switch name {
	case faultDies:
		time.AfterFunc(diesAfter, func() { os.Exit(diesWith) })
	case faultLeaks:
		go leak()
	}
}

func leak() {
	for {
		time.Sleep(leakPeriod)
		block := make([]byte, leakBytes)
		for i := range block {
			block[i] = byte(i) // so that its pages are in memory
		}
		leaked = append(leaked, block)
	}
}

// LoseAnswer reports whether the result of a job is not delivered.
func LoseAnswer(jobType string, engineName func() string) bool {
	if jobType != lostType {
		return false
	}
	switch name {
	case faultFails:
		return oneIn(failsOneIn)
	case faultLate:
		return time.Since(startedAt) > lateAfter && oneIn(lateOneIn)
	case faultKind:
		return engineName() == lostEngine && oneIn(kindOneIn)
	default:
		return false
	}
}

// oneIn reports true once in so many answers.
func oneIn(n uint64) bool { return answers.Add(1)%n == 0 }

// RejectJob reports whether a job is turned away.
func RejectJob(jobType string) bool { return name == faultTurns && jobType == lostType }

// AnswerDelay returns for how much longer an answer is held back.
func AnswerDelay(took time.Duration) time.Duration {
	if name == faultSlow {
		return 3 * took / 10
	}
	return 0
}

// ExtraProbes returns how many probes are sent besides one that is due.
func ExtraProbes() int {
	if name == faultFloods {
		return floodProbes
	}
	return 0
}
