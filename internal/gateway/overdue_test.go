//go:build !debug

package gateway

import (
	"testing"
	"time"

	"swiftreel/internal/canary"
)

// Not in debug builds, where the violated invariant panics: the module must answer a job by its timeout.
func TestAJobWithoutAnOrderIsAnsweredPastItsTimeout(t *testing.T) {
	runSteps(
		t,
		time.Millisecond,
		[]jobStep{{func(*runnerHarness) {}, []string{"module: client_left", "client: failed job timeout"}}},
		"answers_overdue",
		canary.JobCounts{Jobs: 1, Cancelled: 1},
	)
}
