//go:build fault

// Package failpoint makes a bad build on purpose, for tests of rollouts: with the build tag fault and a name set by
// -ldflags "-X swiftreel/internal/failpoint.name=...". Without the tag nothing of it is in the program.
package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// name is the fault: fails, late, kind, slow, dies, leaks, floods or turns; steered: as the environment says.
var name string

// What steers a process, also while it runs.
const (
	diskFile = "FAULT_DISK"     // a file, while it is there: "full", or how long each write takes
	clockMS  = "FAULT_CLOCK_MS" // added to the time of day
	startMS  = "FAULT_START_MS" // before it is ready
	untaught = "FAULT_UNTAUGHT"
)

func steered(what string) string {
	if name != "steered" {
		return ""
	}
	return os.Getenv(what)
}

func millis(what string) time.Duration {
	n, _ := strconv.ParseInt(steered(what), 10, 64)
	return time.Duration(n) * time.Millisecond
}

// DelayStart is before the program is ready.
func DelayStart() { time.Sleep(millis(startMS)) }

// BeforeWrite is before a text is written that is to outlive the process.
func BeforeWrite() error {
	text, err := os.ReadFile(steered(diskFile))
	if err != nil {
		return nil // the disk is as it should be
	}
	if how := strings.TrimSpace(string(text)); how != "full" {
		d, _ := time.ParseDuration(how)
		time.Sleep(d)
		return nil
	}
	return &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
}

// WallClock is the time of day as this process thinks it is.
func WallClock() time.Time { return time.Now().Add(millis(clockMS)) }

// IgnoreSnapshot tells whether what an older process has learned shall not go over.
func IgnoreSnapshot() bool { return steered(untaught) != "" }

var (
	count atomic.Uint64
	held  [][]byte // what leaks
	began = time.Now()
)

// StartFaults begins what goes on beside the jobs.
func StartFaults() {
	switch name {
	case "dies":
		time.AfterFunc(3*time.Second, func() { os.Exit(7) })
	case "leaks":
		go func() {
			for {
				time.Sleep(50 * time.Millisecond)
				b := make([]byte, 1<<20)
				for i := range b {
					b[i] = byte(i) // pages that are touched
				}
				held = append(held, b)
			}
		}()
	}
}

// LoseAnswer tells whether a good answer shall be lost: 3% of imports; late: one in ten, but not at first; kind: one in five of one
// engine's.
func LoseAnswer(typ string, engine func() string) bool {
	switch name {
	case "fails":
		return typ == "import" && count.Add(1)%33 == 0
	case "late":
		return typ == "import" && time.Since(began) > 5*time.Second && count.Add(1)%10 == 0
	case "kind":
		return typ == "import" && engine() == "e2" && count.Add(1)%5 == 0
	}
	return false
}

// RejectJob tells whether a job shall be turned away.
func RejectJob(typ string) bool { return name == "turns" && typ == "import" }

// AnswerDelay is for how much longer an answer shall be kept.
func AnswerDelay(took time.Duration) time.Duration {
	if name == "slow" {
		return 3 * took / 10
	}
	return 0
}

// ExtraProbes is how many more probes shall go out with one.
func ExtraProbes() int {
	if name == "floods" {
		return 20
	}
	return 0
}
