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

// name selects the fault, one of the constants below, or none if empty. It is set by the linker.
var name string

// The faults.
const (
	faultFails     = "fails"   // the answers of 3 % of imports are dropped
	faultLate      = "late"    // the answers of a tenth of imports are dropped, from lateAfter on
	faultOneEngine = "kind"    // the answers of a fifth of the imports that ran on faultyEngine are dropped
	faultSlow      = "slow"    // answers are delayed
	faultExits     = "dies"    // the process exits after exitDelay
	faultLeaks     = "leaks"   // memory is allocated and never freed
	faultFloods    = "floods"  // floodProbes extra probes are sent with each probe
	faultRejects   = "turns"   // imports are rejected
	faultSteered   = "steered" // faults are read from the environment variables below
)

// The environment variables of a process with faultSteered. They are read at each use.
const (
	diskVariable           = "FAULT_DISK"     // path of a file: "full", or the delay of each write
	clockVariable          = "FAULT_CLOCK_MS" // offset added to the wall clock
	startVariable          = "FAULT_START_MS" // delay before the process is ready
	ignoreSnapshotVariable = "FAULT_UNTAUGHT"
)

// Parameters of the faults.
const (
	faultyJobType     = "import"
	faultyEngine      = "e2"
	failsOneIn        = 33
	lateOneIn         = 10
	lateAfter         = 5 * time.Second
	faultyEngineOneIn = 5
	exitDelay         = 3 * time.Second
	exitCode          = 7
	leakPeriod        = 50 * time.Millisecond
	leakBytes         = 1 << 20
	floodProbes       = 20
)

// diskFull is the content of the diskVariable file that makes each write fail.
const diskFull = "full"

var (
	answerCount atomic.Uint64 // answers considered for a fault
	leaked      [][]byte      // used only by the goroutine of StartFaults
	startedAt   = time.Now()
)

// faultVariable returns an environment variable if the fault is faultSteered, and otherwise an empty string.
func faultVariable(key string) string {
	if name != faultSteered {
		return ""
	}
	return os.Getenv(key)
}

// durationVariable returns an environment variable in milliseconds, or 0 if it is unset or invalid.
func durationVariable(key string) time.Duration {
	n, err := strconv.ParseInt(faultVariable(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// DelayStart delays the start of the process by the time in startVariable.
func DelayStart() { time.Sleep(durationVariable(startVariable)) }

// BeforeWrite is called before data is stored. It returns an injected disk error, or blocks for an injected delay.
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

// diskFault returns the content of the diskVariable file, or an empty string if there is none.
func diskFault() string {
	text, err := os.ReadFile(faultVariable(diskVariable))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// WallClock returns the current time, offset by the injected clock faults.
func WallClock() time.Time { return time.Now().Add(durationVariable(clockVariable) + clockStep()) }

// IgnoreSnapshot reports whether a process must not restore the state learned by its predecessor.
func IgnoreSnapshot() bool { return faultVariable(ignoreSnapshotVariable) != "" }

// StartFaults starts the faults that are not tied to jobs. They last until the process exits.
func StartFaults() {
	switch name {
	case faultExits:
		time.AfterFunc(exitDelay, func() { os.Exit(exitCode) })
	case faultLeaks:
		go leak()
	}
}

func leak() {
	for {
		time.Sleep(leakPeriod)
		block := make([]byte, leakBytes)
		for i := range block {
			block[i] = byte(i) // touch each page so that it becomes resident
		}
		leaked = append(leaked, block)
	}
}

// DropAnswer reports whether the answer of a job must be dropped.
func DropAnswer(jobType string, engineName func() string) bool {
	if jobType != faultyJobType {
		return false
	}
	switch name {
	case faultFails:
		return oneIn(failsOneIn)
	case faultLate:
		return time.Since(startedAt) > lateAfter && oneIn(lateOneIn)
	case faultOneEngine:
		return engineName() == faultyEngine && oneIn(faultyEngineOneIn)
	default:
		return false
	}
}

// oneIn returns true for one in n answers.
func oneIn(n uint64) bool { return answerCount.Add(1)%n == 0 }

// RejectJob reports whether a job must be rejected.
func RejectJob(jobType string) bool { return name == faultRejects && jobType == faultyJobType }

// AnswerDelay returns the extra delay of an answer that took the given time.
func AnswerDelay(took time.Duration) time.Duration {
	if name == faultSlow {
		return 3 * took / 10
	}
	return 0
}

// ExtraProbes returns how many probes to send in addition to each one that is due.
func ExtraProbes() int {
	if name == faultFloods {
		return floodProbes
	}
	return 0
}
