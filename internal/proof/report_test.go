package proof_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"swiftreel/internal/proof"
)

// Operators' scripts parse these lines, so a change of their text breaks them.
func TestReportPrintsItsLines(t *testing.T) {
	var out bytes.Buffer
	report := proof.NewReport(&out)
	if report.HasFailed() {
		t.Error("a new report has failed")
	}
	report.Failf("problem %d: %s", 7, "no answer")
	if !report.HasFailed() {
		t.Error("a report with a failed check has not failed")
	}
	report.PrintTotal()
	if want := "FAILED: problem 7: no answer\n\nin all 0s\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}

func TestReportTakesFailuresFromManyGoroutines(t *testing.T) {
	const count = 50
	var out bytes.Buffer
	report := proof.NewReport(&out)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() { report.Failf("check %d", i) })
	}
	running.Wait()
	if lines := strings.Count(out.String(), "FAILED: check "); lines != count {
		t.Errorf("%d lines, want %d", lines, count)
	}
}

func TestMachineNamesCoresAndGo(t *testing.T) {
	want := fmt.Sprintf("machine: %d cores, %s", runtime.NumCPU(), runtime.Version())
	if got := proof.Machine(); got != want {
		t.Errorf("machine: %q, want %q", got, want)
	}
}
