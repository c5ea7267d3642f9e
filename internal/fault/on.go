//go:build fault

// Package fault makes a bad build on purpose, for tests of rollouts: with the build tag fault and a name set by
// -ldflags "-X swiftreel/internal/fault.name=...". Without the tag nothing of it is in the program.
package fault

import (
	"os"
	"sync/atomic"
	"time"
)

// name is the fault: fails, slow, dies, leaks, floods or turns.
var name string

var (
	count atomic.Uint64
	held  [][]byte // what leaks
)

// Start begins what goes on beside the jobs.
func Start() {
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

// Fails tells whether a good answer shall be lost: 3% of imports.
func Fails(typ string) bool { return name == "fails" && typ == "import" && count.Add(1)%33 == 0 }

// Refuses tells whether a job shall be turned away.
func Refuses(typ string) bool { return name == "turns" && typ == "import" }

// Slow is for how much longer an answer shall be kept.
func Slow(took time.Duration) time.Duration {
	if name == "slow" {
		return 3 * took / 10
	}
	return 0
}

// Probes is how many more probes shall go out with one.
func Probes() int {
	if name == "floods" {
		return 20
	}
	return 0
}
