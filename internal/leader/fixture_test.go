package leader

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"swiftreel/internal/change"
	"swiftreel/internal/golden"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
)

// The files in testdata were written by the version at commit 70e2e4b. The tests below read them to ensure that
// renaming Go identifiers does not change the stored or transmitted encodings. With -record a missing file is written.

const statePath = "testdata/agreed.json"

// fixtureFolder returns a folder with a copy of the recorded members' files.
func fixtureFolder(t *testing.T) string {
	t.Helper()
	if golden.ShouldRecord(statePath) {
		recordFixture(t)
	}
	folder := t.TempDir()
	for _, name := range fixtureNames {
		unpack(t, filepath.Join("testdata", name+".db.gz"), filepath.Join(folder, name+".db"))
	}
	return folder
}

func unpack(t *testing.T, from, to string) {
	t.Helper()
	file, err := os.Open(from)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// fixtureState returns the replicated state of the recorded files.
func fixtureState(t *testing.T) State {
	t.Helper()
	text, err := os.ReadFile(statePath)
	if err != nil {
		t.Fatal(err)
	}
	var state State
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// describe returns a complete textual description of a member's persistent state.
func describe(persistent PersistentState) []byte {
	var b bytes.Buffer
	hard, metadata := persistent.HardState, persistent.Snapshot.GetMetadata()
	fmt.Fprintf(&b, "number %d\n", persistent.MemberID)
	fmt.Fprintf(&b, "term %d vote %d commit %d\n", hard.GetTerm(), hard.GetVote(), hard.GetCommit())
	fmt.Fprintf(&b, "snapshot %d of term %d, voters %v learners %v: %s\n", metadata.GetIndex(), metadata.GetTerm(),
		metadata.GetConfState().GetVoters(), metadata.GetConfState().GetLearners(), persistent.Snapshot.GetData())
	for _, entry := range persistent.Entries {
		fmt.Fprintf(&b, "entry %d of term %d, type %v: ", entry.GetIndex(), entry.GetTerm(), entry.GetType())
		if entry.GetType() == raftpb.EntryNormal {
			fmt.Fprintf(&b, "%s\n", entry.GetData())
		} else {
			fmt.Fprintf(&b, "%x\n", entry.GetData())
		}
	}
	return b.Bytes()
}

func TestFilesOfAnEarlierProgramAreReadCompletely(t *testing.T) {
	folder := fixtureFolder(t)
	for _, name := range fixtureNames {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(folder, name+".db")
			persistent := loadStore(t, path)
			golden.Check(t, name+".disk.txt", describe(persistent))
			if len(persistent.Entries) == 0 || len(persistent.Snapshot.GetData()) == 0 {
				t.Errorf("%d entries, a snapshot of %d bytes: the fixture must have both",
					len(persistent.Entries), len(persistent.Snapshot.GetData()))
			}
			copyPath := filepath.Join(folder, name+"-copy.db")
			writeStore(t, copyPath, persistent)
			if got := loadStore(t, copyPath); !bytes.Equal(describe(got), describe(persistent)) {
				t.Errorf("state differs after writing and reading it:\n%s", describe(got))
			}
			if got, want := storeKeys(t, copyPath), storeKeys(t, path); got != want {
				t.Errorf("got keys %s, want %s", got, want)
			}
		})
	}
	golden.Check(t, "keys.txt", []byte(storeKeys(t, filepath.Join(folder, "v1.db"))+"\n"))
}

func loadStore(t *testing.T, path string) PersistentState {
	t.Helper()
	store, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	persistent, err := store.Load()
	if err := errors.Join(err, store.Close()); err != nil {
		t.Fatal(err)
	}
	return persistent
}

func writeStore(t *testing.T, path string, persistent PersistentState) {
	t.Helper()
	store, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	err = store.Initialize(persistent)
	if err == nil {
		err = store.Save(Output{Entries: persistent.Entries})
	}
	if err := errors.Join(err, store.Close()); err != nil {
		t.Fatal(err)
	}
}

// storeKeys returns all keys of a file with their buckets. Keys of entries are shown as length and number.
func storeKeys(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var keys []string
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, _ []byte) error {
				key := string(k)
				if string(bucket) == "entries" {
					key = fmt.Sprint(len(k), ":", binary.BigEndian.Uint64(k))
				}
				keys = append(keys, string(bucket)+"/"+key)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(keys, " ")
}

// A fleet started from the recorded files must elect a leader with a later term and lose no data, and items written
// then must survive another restart.
func TestAFleetGoesOnFromFilesOfAnEarlierProgram(t *testing.T) {
	folder := fixtureFolder(t)
	recorded := fixtureState(t)
	f := openFleet(t, folder, nil)
	state := f.awaitEqualStates()
	isComplete := maps.EqualFunc(state.Items, recorded.Items, bytes.Equal) &&
		maps.Equal(state.Versions, recorded.Versions) && maps.Equal(state.Members, recorded.Members)
	if state.Term <= recorded.Term || !isComplete {
		t.Errorf("%s after %s", state.encode(), recorded.encode())
	}
	status := f.nodes["v3"].Status()
	if status.ID != 9 || len(status.Voters) != 3 || status.RaftTerm <= uint64(recorded.Term) {
		t.Errorf("%+v", status)
	}
	again := bootstrapRequest{ID: 4, Members: map[uint64]string{4: "v1"}}
	if code, reply := f.post("v1", "/v1/owner/found", again); code != http.StatusConflict {
		t.Errorf("a member is bootstrapped again: %d %s", code, reply)
	}
	f.propose("register", []byte("by this program"))
	f.close()

	f = openFleet(t, folder, nil)
	next := f.awaitEqualStates()
	isWritten := string(next.Items["register"]) == "by this program" &&
		next.Versions["register"] > recorded.Versions["register"]
	if next.Term <= state.Term || !isWritten {
		t.Errorf("%s after %s", next.encode(), state.encode())
	}
	for item, value := range recorded.Items {
		if item != "register" && !bytes.Equal(next.Items[item], value) {
			t.Errorf("%s: %s after %s", item, next.Items[item], value)
		}
	}
}

// The leader's duties resume from the recorded files: members are assigned the recorded plan with its text, and shares
// within the recorded limits.
func TestDutiesGoOnFromFilesOfAnEarlierProgram(t *testing.T) {
	const lifetimeMS = 600_000
	folder := fixtureFolder(t)
	recorded := fixtureState(t)
	f := openFleet(t, folder, nil)
	f.settings.Shares = &operator.Shares{LeaseMS: lifetimeMS}
	f.settings.Planning = &operator.Planning{
		Problem: "problem.json", IntervalMS: 3_600_000, MinIntervalMS: 3_600_000, LeaseMS: lifetimeMS, SolveTimeoutMS: 1000,
	}
	f.awaitEqualStates()
	end := f.runDuties()
	defer end()
	for _, name := range fixtureNames {
		fake := f.supervisors[name]
		await(t, name+" has accepted two assignments", func() bool { return len(fake.acceptedTexts()) > 1 })
		checkFirstAssignment(t, name, fake.acceptedTexts()[0], recorded.Term)
		var second map[string]any
		err := json.Unmarshal(fake.acceptedTexts()[1], &second)
		if err != nil || second["plan"] == nil {
			t.Errorf("second assignment of %s has no plan: %v, %v", name, second, err)
		}
	}
	planned := checkRecordedItems(t, recorded)
	until := fakeClock + lifetimeMS*nsPerMS
	for _, name := range fixtureNames {
		held := f.supervisors[name].currentAssignment()
		isRecordedPlan := held.Plan == planned && held.Plan == change.JSONDigest(held.PlanText)
		if !isRecordedPlan || held.PlanUntil != until || held.SharesUntil != until {
			t.Errorf("%s holds %+v, the plan is %s", name, held, planned)
		}
	}
	state := f.state(f.awaitLeader().name)
	for _, item := range []string{"change.json", "ask.json", planItem, "register"} {
		if !bytes.Equal(state.Items[item], recorded.Items[item]) {
			t.Errorf("%s: %s after %s", item, state.Items[item], recorded.Items[item])
		}
	}
}

// checkFirstAssignment compares a member's first assignment with the recorded one. The leader, its term and the
// sequence number depend on the run and are not compared.
func checkFirstAssignment(t *testing.T, name string, text []byte, recorded Term) {
	t.Helper()
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	if term, _ := fields["reign"].(float64); term <= float64(recorded) {
		t.Errorf("term %v after %d", fields["reign"], recorded)
	}
	for _, field := range []string{"reign", "count", "owner"} {
		if _, isPresent := fields[field]; !isPresent {
			t.Errorf("%s has no %s", text, field)
		}
		fields[field] = field
	}
	normalized, err := json.MarshalIndent(fields, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "word-"+name+".json", append(normalized, '\n'))
}

// checkRecordedItems checks that the recorded plan and shares suit the test, and returns the plan's digest.
func checkRecordedItems(t *testing.T, recorded State) change.Digest {
	t.Helper()
	var planned planRecord
	if err := json.Unmarshal(recorded.Items[planItem], &planned); err != nil {
		t.Fatal(err)
	}
	isNumbered := planned.Term != 0 && planned.Sequence != 0
	if len(planned.Answer.Steps) == 0 || change.JSONDigest(planned.Answer) != planned.Digest || !isNumbered {
		t.Errorf("the recorded plan does not suit the test: %+v", planned)
	}
	var shares quota.Record
	if err := json.Unmarshal(recorded.Items[quotaItem], &shares); err != nil {
		t.Fatal(err)
	}
	if len(shares.Limits) != 3 || shares.Limits["v1"][quota.FleetThreads] <= shares.Limits["v3"][quota.FleetThreads] {
		t.Errorf("the recorded shares do not suit the test: %+v", shares)
	}
	return planned.Digest
}
