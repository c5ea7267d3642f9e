// Package proof prints the output shared by the proof commands: the machine, each failed check, and the total time.
// Operators' scripts parse these lines, so their text must not change.
package proof

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// SimulatedEngines is printed in the header of proofs whose figures were not measured with real engines.
const SimulatedEngines = "engines are simulated servers"

// printedPrecision is the precision of printed durations.
const printedPrecision = 100 * time.Millisecond

// Machine describes the machine that the proof runs on.
func Machine() string {
	return fmt.Sprintf("machine: %d cores, %s", runtime.NumCPU(), runtime.Version())
}

// Report records when a proof started and whether a check has failed. It is safe for concurrent use.
type Report struct {
	startedAt time.Time

	mu        sync.Mutex // guards out and hasFailed
	out       io.Writer
	hasFailed bool
}

// NewReport starts a report that writes to out.
func NewReport(out io.Writer) *Report {
	return &Report{startedAt: time.Now(), out: out}
}

// Failf prints why a check failed and marks the proof as failed.
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

// Elapsed returns the time since the proof started, rounded for printing.
func (r *Report) Elapsed() time.Duration {
	return time.Since(r.startedAt).Round(printedPrecision)
}

// PrintTotal prints the last line of a proof: the total time.
func (r *Report) PrintTotal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "\nin all %v\n", r.Elapsed())
}
