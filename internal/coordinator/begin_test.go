package coordinator_test

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
)

// beginOn begins a change on a fleet that loses some status requests.
func beginOn(t *testing.T, limit time.Duration, lostPolls map[string]int) error {
	t.Helper()
	next, err := change.Load(filepath.Join("testdata", "changes", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	states := initialStates()
	to, err := next.TargetSpec(states["c1"].Held.Spec)
	if err != nil {
		t.Fatal(err)
	}
	fakes := newFakeFleet(t, to.Digest(), states)
	fakes.lostPolls = lostPolls
	folder, err := coordinator.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	fleet := coordinator.NewFleetClient(fakes.members, requestTimeout, requestTimeout)
	return coordinator.Begin(ctx, folder, next, fleet, false)
}

// A connection that breaks as a change begins must not fail the command: nothing was ordered yet, and the status can be
// requested again. In proof-rollout at a load of 32 the command failed with "EOF" or "connection reset" at its first
// request, as the first connection loss of the schedule came before it.
func TestAChangeBeginsThoughRequestsAreLost(t *testing.T) {
	if err := beginOn(t, 20*time.Second, map[string]int{"c1": 1, "c2": 2, "c3": 5}); err != nil {
		t.Error(err)
	}
}

// A change does not begin if a member does not reply; the error names the member and the failure.
func TestAChangeDoesNotBeginWithoutAMember(t *testing.T) {
	err := beginOn(t, 500*time.Millisecond, map[string]int{"c2": 1000})
	if err == nil || !strings.HasPrefix(err.Error(), "c2: ") || !strings.Contains(err.Error(), "EOF") {
		t.Errorf("%v", err)
	}
}
