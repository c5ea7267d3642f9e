package leader

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/golden"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
	"swiftreel/internal/rollout"
)

// recordFixture writes the members' files into testdata. The recorded fleet has replicated a change, shares and a plan.
// Its leader has changed, its log has been compacted, and one member has lost its store and rejoined.
func recordFixture(t *testing.T) {
	t.Helper()
	folder := t.TempDir()
	f := openFleet(t, folder, map[string]uint64{"v1": 300, "v2": 100, "v3": 20})
	recordDuties(t, f)
	recordChange(t, f)
	for i := range 20 {
		f.propose("register", fmt.Append(nil, "value ", i))
	}
	f.awaitLeader().TransferLeadership("")
	f.propose("register", []byte("after the first owner"))
	f.close()

	if err := os.Remove(filepath.Join(folder, "v3.db")); err != nil {
		t.Fatal(err)
	}
	f = openFleet(t, folder, nil)
	recordJoin(t, f)
	for i := range 5 {
		f.propose("register", fmt.Append(nil, "the last ", i))
	}
	state := f.awaitEqualStates()
	f.close()
	golden.Check(t, filepath.Base(statePath), append(state.encode(), '\n'))
	for _, name := range fixtureNames {
		pack(t, filepath.Join(folder, name+".db"), filepath.Join("testdata", name+".db.gz"))
	}
}

// recordDuties runs the duties until they have replicated shares and a plan.
func recordDuties(t *testing.T, f *testFleet) {
	t.Helper()
	f.settings.Shares = &operator.Shares{LeaseMS: 3000}
	f.settings.Planning = &operator.Planning{
		Problem: "problem.json", IntervalMS: 3_600_000, MinIntervalMS: 1, LeaseMS: 60_000, SolveTimeoutMS: 1000,
	}
	names := map[uint64]string{1: "v1", 2: "v2", 3: "v3"}
	for id, name := range names {
		if err := f.bootstrap(name, bootstrapRequest{ID: id, Members: names}); err != nil {
			t.Fatal(err)
		}
	}
	end := f.runDuties()
	defer end()
	await(t, "shares and a plan are replicated", func() bool {
		items := f.state(f.awaitLeader().name).Items
		var record quota.Record
		err := json.Unmarshal(items[quotaItem], &record)
		return err == nil && record.Limits["v1"][quota.FleetThreads] > 450_000 && items[planItem] != nil
	})
}

// recordChange replicates a completed change, and an operator request that has been processed.
func recordChange(t *testing.T, f *testFleet) {
	t.Helper()
	program := change.Program{Path: "/opt/swiftreel", Digest: "00"}
	record := coordinator.Record{
		ID:            "0123456789abcdef",
		FromSpec:      change.Spec{Program: program},
		ToSpec:        change.Spec{Program: program, Topology: json.RawMessage(`{"budget_free":1}`)},
		Stages:        [][]string{{"v1"}, {"v1", "v2", "v3"}},
		LastRequestID: "1",
		State: rollout.State{
			Phase: rollout.PhaseDone, Stage: 1, Fence: change.Fence{Number: 1, Term: 2, Revision: 7}, Reason: "all run it",
		},
	}
	record.Change.Number = 1
	record.Change.Kind = change.KindSettings
	request := coordinator.OperatorRequest{ID: "1", Request: rollout.RequestResume}
	for item, value := range map[string]any{"change.json": record, "ask.json": request} {
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		f.propose(item, text)
	}
}

// recordJoin makes v3, which has lost its store, join under another ID.
func recordJoin(t *testing.T, f *testFleet) {
	t.Helper()
	const id = 9
	if err := f.bootstrap("v3", bootstrapRequest{ID: id}); err != nil {
		t.Fatal(err)
	}
	join := bootstrapRequest{Members: map[uint64]string{id: "v3"}}
	await(t, "v3 has joined", func() bool {
		f.post(f.awaitLeader().name, "/v1/owner/join", join)
		status := f.nodes["v3"].Status()
		return status.ID == id && len(status.Voters) == 3 && slices.Contains(status.Voters, "v3")
	})
}

func pack(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
