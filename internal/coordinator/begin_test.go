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

// beginOn begins a change on a fleet of which some requests for a status are lost.
func beginOn(t *testing.T, limit time.Duration, lostPolls map[string]int) error {
	t.Helper()
	next, err := change.Load(filepath.Join("testdata", "changes", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	states := firstStates()
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

// A link that breaks in the moment in which a change begins does not end it: nothing was ordered yet, and the status
// is asked for again. Seen in proof-rollout at a load of 32: the command ended with "EOF" or "connection reset" at its
// first request, as the schedule's first cut came before it.
func TestAChangeBeginsThoughRequestsAreLost(t *testing.T) {
	if err := beginOn(t, 20*time.Second, map[string]int{"c1": 1, "c2": 2, "c3": 5}); err != nil {
		t.Error(err)
	}
}

// A member that does not answer is named, with why, and nothing begins.
func TestAChangeDoesNotBeginWithoutAMember(t *testing.T) {
	err := beginOn(t, 500*time.Millisecond, map[string]int{"c2": 1000})
	if err == nil || !strings.HasPrefix(err.Error(), "c2: ") || !strings.Contains(err.Error(), "EOF") {
		t.Errorf("%v", err)
	}
}
