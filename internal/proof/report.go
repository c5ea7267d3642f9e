// Package proof prints what the commands below it print alike: the machine, each check that fails, and the time that
// the whole proof took. Operators' scripts read these lines, so their wording stays.
package proof

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// SimulatedEngines is the note on figures that were not measured with real engines.
const SimulatedEngines = "engines are simulated servers"

// printedPrecision is that of the durations of a proof and its stages.
const printedPrecision = 100 * time.Millisecond

// Machine describes what the proof runs on.
func Machine() string {
	return fmt.Sprintf("machine: %d cores, %s", runtime.NumCPU(), runtime.Version())
}

// Report remembers when a proof began and whether a check has failed. It is safe for concurrent use.
type Report struct {
	startedAt time.Time

	mu        sync.Mutex // guards out and hasFailed
	out       io.Writer
	hasFailed bool
}

// NewReport begins a report whose lines go to out.
func NewReport(out io.Writer) *Report {
	return &Report{startedAt: time.Now(), out: out}
}

// Failf prints why a check has failed, and has the proof fail.
func (r *Report) Failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasFailed = true
	fmt.Fprintf(r.out, "FAILED: "+format+"\n", args...)
}

// HasFailed reports whether any check has failed so far.
func (r *Report) HasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasFailed
}

// Elapsed returns the time since the proof began, rounded for print.
func (r *Report) Elapsed() time.Duration {
	return time.Since(r.startedAt).Round(printedPrecision)
}

// PrintTotal prints the last line of a proof: how long it took.
func (r *Report) PrintTotal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "\nin all %v\n", r.Elapsed())
}
