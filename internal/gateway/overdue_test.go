//go:build !debug

package gateway

import (
	"testing"
	"time"

	"swiftreel/internal/canary"
)

// Builds with the tag debug panic here: the module owes an answer by the job timeout.
func TestAJobWithoutAnOrderIsAnsweredPastItsTimeout(t *testing.T) {
	play(
		t,
		time.Millisecond,
		[]jobAct{{func(*jobStage) {}, []string{"module: client_left", "client: failed job timeout"}}},
		"answers_overdue",
		canary.JobCounts{Jobs: 1, Cancelled: 1},
	)
}
