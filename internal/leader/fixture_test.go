package leader

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/golden"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
)

// The files in testdata were written by the program as it stood at commit 70e2e4b. The tests below read them, so that a
// change of a Go name cannot change what is stored or sent. With -record a file that is not there yet is written.

// fixtureNames are the members whose files stand in testdata; v3 is the second of its name, with another number.
var fixtureNames = []string{"v1", "v2", "v3"}

// fixturePace is quick, and has a log compacted after a few entries.
var fixturePace = Timing{Tick: 20e6, Lease: 400e6, LeasePerMille: 800, RetainedEntries: 8}

// fixtureProblem is what the fixture's fleet is planned from.
const fixtureProblem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e2","kind":"std","zone":"west","cores":16,"memory_mb":32000}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"},{"name":"west"}],"must":{},
"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":1}]}`

// fakeKeeper is the door of one member's keeper: it tells a status and takes words, and keeps their texts.
type fakeKeeper struct {
	name string
	jobs uint64 // its controller has so many more done at each look

	mu    sync.Mutex
	held  assignment.Accepted
	looks uint64
	texts [][]byte
}

// fakeBoot is the clock of all fake keepers: it stands still.
const fakeBoot = int64(1e12)

func (k *fakeKeeper) status(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := supervisor.Status{Format: change.Format, Name: k.name, Incarnation: "life of " + k.name, MonotonicNS: fakeBoot, Assignment: k.held, AppliedAssignment: k.held.Sequence, Serving: true,
		ReadyEngineCount: 2, StartedUnixNS: 1, JobCounts: map[canary.Group]canary.JobCounts{}}
	if r.URL.Query().Get("engines") == "1" {
		s.ReadyEngines = []string{"e1", "e2"}
	}
	if k.jobs > 0 {
		k.looks++
		n := k.jobs * k.looks
		s.JobCounts[canary.Group{Type: "lookup", Tenant: "acme"}] = canary.JobCounts{Jobs: n, WithinSLA: n, Done: n, Dispatches: n, LatencyBuckets: []uint64{0, 0, 0, n}}
	}
	json.NewEncoder(w).Encode(s)
}

func (k *fakeKeeper) word(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		var word assignment.Assignment
		if word, err = assignment.Read(bytes.NewReader(text)); err == nil {
			k.held, err = k.held.Accept(word, k.name, "life of "+k.name, fakeBoot)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	k.texts = append(k.texts, text)
	w.WriteHeader(http.StatusNoContent)
}

func (k *fakeKeeper) taken() [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.texts)
}

// testFleet is members in this process, each with its own file and its own door on loopback.
type testFleet struct {
	t       *testing.T
	dir     string
	fleet   operator.Fleet
	nodes   map[string]*Node
	keepers map[string]*fakeKeeper
	servers []*httptest.Server
	closed  bool
}

// openFleet opens the members' files in a folder; jobs are what their controllers have done at each look.
func openFleet(t *testing.T, dir string, jobs map[string]uint64) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: dir, nodes: map[string]*Node{}, keepers: map[string]*fakeKeeper{}}
	addr, muxes := map[string]string{}, map[string]*http.ServeMux{}
	for i, name := range fixtureNames {
		mux, k := http.NewServeMux(), &fakeKeeper{name: name, jobs: jobs[name]}
		mux.HandleFunc("GET /v1/status", k.status)
		mux.HandleFunc("POST /v1/word", k.word)
		s := httptest.NewServer(mux)
		f.servers, f.keepers[name], muxes[name] = append(f.servers, s), k, mux
		addr[name] = s.Listener.Addr().String()
		f.fleet.Members = append(f.fleet.Members, operator.Member{Name: name, Listen: addr[name], Zone: []string{"east", "west", "west"}[i]})
		f.fleet.Voters = append(f.fleet.Voters, name)
	}
	for _, name := range fixtureNames {
		node, err := Open(name, filepath.Join(dir, name+".db"), addr, fixturePace)
		if err != nil {
			t.Fatal(err)
		}
		node.RegisterHandlers(muxes[name])
		f.nodes[name] = node
	}
	t.Cleanup(f.close)
	return f
}

func (f *testFleet) close() {
	if f.closed {
		return
	}
	f.closed = true
	for _, n := range f.nodes {
		n.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// runDuties has all members do their duties until the returned function is called.
func (f *testFleet) runDuties() (end func()) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, "problem.json"), []byte(fixtureProblem), 0o600); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	var wait sync.WaitGroup
	for _, n := range f.nodes {
		d, err := NewDuties(n, &f.fleet, f.dir)
		if err != nil {
			f.t.Fatal(err)
		}
		wait.Go(func() { d.Run(ctx) })
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// post has a member asked by another, or by an operator.
func (f *testFleet) post(name, path string, body any) (int, string) {
	f.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	m, _ := f.fleet.Member(name)
	a, err := http.Post("http://"+m.Address()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return a.StatusCode, string(got)
}

// await waits until something is so.
func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(60 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("not in a minute: %s", what)
		}
	}
}

// acting is a member that acts now, once there is one.
func (f *testFleet) acting() (node *Node) {
	f.t.Helper()
	await(f.t, "one acts", func() bool {
		for _, n := range f.nodes {
			if n.Status().Active {
				node = n
			}
		}
		return node != nil
	})
	return node
}

// propose writes an item under whoever acts.
func (f *testFleet) propose(name string, value []byte) {
	f.t.Helper()
	await(f.t, name+" is written", func() bool {
		n := f.acting()
		return n.Propose(n.ActiveTerm(), name, value) == nil
	})
}

// agreed is what a member tells of what is agreed.
func (f *testFleet) agreed(name string) (a State) {
	f.t.Helper()
	m, _ := f.fleet.Member(name)
	answer, err := http.Get("http://" + m.Address() + "/v1/owner/agreed")
	if err != nil {
		f.t.Fatal(err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(&a); err != nil {
		f.t.Fatal(err)
	}
	return a
}

// settle waits until all members know the same, and returns it.
func (f *testFleet) settle() (a State) {
	f.t.Helper()
	await(f.t, "all know the same", func() bool {
		a = f.agreed(f.acting().name)
		for _, name := range fixtureNames {
			if other := f.agreed(name); !bytes.Equal(other.encode(), a.encode()) {
				return false
			}
		}
		return true
	})
	return a
}

// recordFixture writes the files of testdata: members of a fleet that has had a change, parts and a plan agreed, whose owner
// changed, whose log was compacted, and of which one lost its memory and was taken in again.
func recordFixture(t *testing.T) {
	dir := t.TempDir()
	f := openFleet(t, dir, map[string]uint64{"v1": 300, "v2": 100, "v3": 20})
	f.fleet.Shares = &operator.Shares{LeaseMS: 3000}
	f.fleet.Planning = &operator.Planning{Problem: "problem.json", IntervalMS: 3_600_000, MinIntervalMS: 1, LeaseMS: 60_000, SolveTimeoutMS: 1000}
	names := map[uint64]string{1: "v1", 2: "v2", 3: "v3"}
	for id, name := range names {
		if code, text := f.post(name, "/v1/owner/found", map[string]any{"id": id, "names": names}); code != http.StatusOK {
			t.Fatal(code, text)
		}
	}
	end := f.runDuties()
	await(t, "parts and a plan are agreed", func() bool {
		a := f.agreed(f.acting().name)
		var r quota.Record
		return json.Unmarshal(a.Items[quotaItem], &r) == nil && r.Limits["v1"][quota.Fleet] > 450_000 && a.Items[planItem] != nil
	})
	end()
	changed := coordinator.Record{By: "0123456789abcdef", From: change.Spec{Program: change.Program{Path: "/opt/swiftreel", Digest: "00"}},
		To:     change.Spec{Program: change.Program{Path: "/opt/swiftreel", Digest: "00"}, Shape: json.RawMessage(`{"budget_free":1}`)},
		Stages: [][]string{{"v1"}, {"v1", "v2", "v3"}}, Asked: "1",
		State: rollout.State{Phase: rollout.Done, Stage: 1, Fence: change.Fence{Number: 1, Term: 2, Turn: 7}, Why: "all run it"}}
	changed.Change.Number, changed.Change.Kind = 1, change.Settings
	for name, v := range map[string]any{"change.json": changed, "ask.json": coordinator.Wish{ID: "1", Ask: rollout.AskResume}} {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		f.propose(name, text)
	}
	for i := range 20 {
		f.propose("register", fmt.Append(nil, "value ", i))
	}
	f.acting().TransferLeadership("")
	f.propose("register", []byte("after the first owner"))
	f.close()
	if err := os.Remove(filepath.Join(dir, "v3.db")); err != nil {
		t.Fatal(err)
	}
	f = openFleet(t, dir, nil)
	if code, text := f.post("v3", "/v1/owner/found", map[string]any{"id": 9}); code != http.StatusOK {
		t.Fatal(code, text)
	}
	await(t, "v3 is taken in", func() bool {
		f.post(f.acting().name, "/v1/owner/join", map[string]any{"names": map[uint64]string{9: "v3"}})
		v := f.nodes["v3"].Status()
		return v.ID == 9 && slices.Contains(v.Voters, "v3") && len(v.Voters) == 3
	})
	for i := range 5 {
		f.propose("register", fmt.Append(nil, "the last ", i))
	}
	a := f.settle()
	f.close()
	golden.Check(t, "agreed.json", append(a.encode(), '\n'))
	for _, name := range fixtureNames {
		text, err := os.ReadFile(filepath.Join(dir, name+".db"))
		if err != nil {
			t.Fatal(err)
		}
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		z.Write(text)
		if err := z.Close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join("testdata", name+".db.gz"), packed.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// fixtureFolder is a copy of the recorded members' files.
func fixtureFolder(t *testing.T) string {
	t.Helper()
	if golden.Missing("testdata/agreed.json") {
		recordFixture(t)
	}
	dir := t.TempDir()
	for _, name := range fixtureNames {
		file, err := os.Open(filepath.Join("testdata", name+".db.gz"))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		z, err := gzip.NewReader(file)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(z)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".db"), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func fixtureAgreed(t *testing.T) (a State) {
	t.Helper()
	text, err := os.ReadFile("testdata/agreed.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// diskText writes all of a member's disk as text.
func diskText(d PersistentState) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "number %d\nterm %d vote %d commit %d\n", d.MemberID, d.HardState.GetTerm(), d.HardState.GetVote(), d.HardState.GetCommit())
	m := d.Snapshot.GetMetadata()
	fmt.Fprintf(&b, "snapshot %d of term %d, voters %v learners %v: %s\n", m.GetIndex(), m.GetTerm(), m.GetConfState().GetVoters(),
		m.GetConfState().GetLearners(), d.Snapshot.GetData())
	for _, e := range d.Entries {
		fmt.Fprintf(&b, "entry %d of term %d, type %v: ", e.GetIndex(), e.GetTerm(), e.GetType())
		if e.GetType() == raftpb.EntryNormal {
			fmt.Fprintf(&b, "%s\n", e.GetData())
		} else {
			fmt.Fprintf(&b, "%x\n", e.GetData())
		}
	}
	return b.Bytes()
}

func TestFilesOfAnEarlierProgramAreReadWhole(t *testing.T) {
	dir := fixtureFolder(t)
	for _, name := range fixtureNames {
		s, err := OpenStore(filepath.Join(dir, name+".db"))
		if err != nil {
			t.Fatal(err)
		}
		d, err := s.Load()
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".disk.txt", diskText(d))
		if len(d.Entries) == 0 || len(d.Snapshot.GetData()) == 0 {
			t.Errorf("%s: %d entries, a snapshot of %d bytes: it shows nothing", name, len(d.Entries), len(d.Snapshot.GetData()))
		}
		// Written anew it reads the same.
		again, err := OpenStore(filepath.Join(dir, name+"-again.db"))
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(again.Initialize(d), again.Save(Output{Entries: d.Entries})); err != nil {
			t.Fatal(err)
		}
		got, err := again.Load()
		if err != nil || !bytes.Equal(diskText(got), diskText(d)) {
			t.Errorf("%s: %v\n%s", name, err, diskText(got))
		}
		if err := errors.Join(s.Close(), again.Close()); err != nil {
			t.Fatal(err)
		}
		if a, b := keysOf(t, filepath.Join(dir, name+".db")), keysOf(t, filepath.Join(dir, name+"-again.db")); a != b {
			t.Errorf("%s: keys %s, %s", name, a, b)
		}
	}
	golden.Check(t, "keys.txt", []byte(keysOf(t, filepath.Join(dir, "v1.db"))+"\n"))
}

// keysOf are the buckets of a file and their keys; those of entries are numbers.
func keysOf(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var list []string
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, _ []byte) error {
				key := string(k)
				if string(bucket) == "entries" {
					key = fmt.Sprint(len(k), ":", binary.BigEndian.Uint64(k))
				}
				list = append(list, string(bucket)+"/"+key)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(list, " ")
}

// The recorded folder is opened by this program: the fleet agrees on an owner of a later reign, with nothing lost, and what is
// written then is there after another start.
func TestAFleetGoesOnFromFilesOfAnEarlierProgram(t *testing.T) {
	dir := fixtureFolder(t)
	was := fixtureAgreed(t)
	f := openFleet(t, dir, nil)
	a := f.settle()
	if a.Term <= was.Term || !maps.EqualFunc(a.Items, was.Items, bytes.Equal) || !maps.Equal(a.Versions, was.Versions) || !maps.Equal(a.Members, was.Members) {
		t.Errorf("%s after %s", a.encode(), was.encode())
	}
	if v := f.nodes["v3"].Status(); v.ID != 9 || len(v.Voters) != 3 || v.RaftTerm <= uint64(was.Term) {
		t.Errorf("%+v", v)
	}
	if code, text := f.post("v1", "/v1/owner/found", map[string]any{"id": 4, "names": map[uint64]string{4: "v1"}}); code != http.StatusConflict {
		t.Errorf("a member is founded again: %d %s", code, text)
	}
	f.propose("register", []byte("by this program"))
	f.close()

	f = openFleet(t, dir, nil)
	next := f.settle()
	if next.Term <= a.Term || string(next.Items["register"]) != "by this program" || next.Versions["register"] < was.Versions["register"]+1 {
		t.Errorf("%s after %s", next.encode(), a.encode())
	}
	for name, value := range was.Items {
		if name != "register" && !bytes.Equal(next.Items[name], value) {
			t.Errorf("%s: %s after %s", name, next.Items[name], value)
		}
	}
}

// The owner's duties go on from the recorded folder: its plan is handed out with its text, and parts within its record.
func TestDutiesGoOnFromFilesOfAnEarlierProgram(t *testing.T) {
	dir := fixtureFolder(t)
	was := fixtureAgreed(t)
	f := openFleet(t, dir, nil)
	f.fleet.Shares = &operator.Shares{LeaseMS: 600_000}
	f.fleet.Planning = &operator.Planning{Problem: "problem.json", IntervalMS: 3_600_000, MinIntervalMS: 3_600_000, LeaseMS: 600_000, SolveTimeoutMS: 1000}
	f.settle()
	defer f.runDuties()()
	for _, name := range fixtureNames {
		k := f.keepers[name]
		await(t, name+" has taken two words", func() bool { return len(k.taken()) > 1 })
		var w map[string]any
		if err := json.Unmarshal(k.taken()[0], &w); err != nil {
			t.Fatal(err)
		}
		if reign, _ := w["reign"].(float64); reign <= float64(was.Term) {
			t.Errorf("reign %v after %d", w["reign"], was.Term)
		}
		for _, any := range []string{"reign", "count", "owner"} { // which of them owns, and after how many looks, is by chance
			if _, is := w[any]; !is {
				t.Errorf("no %s", any)
			}
			w[any] = any
		}
		text, err := json.MarshalIndent(w, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "word-"+name+".json", append(text, '\n'))
		if err := json.Unmarshal(k.taken()[1], &w); err != nil || w["plan_text"] == nil && w["plan"] == nil {
			t.Errorf("the second word says nothing of the plan: %s, %v", k.taken()[1], err)
		}
	}
	var p planRecord
	if err := json.Unmarshal(was.Items[planItem], &p); err != nil {
		t.Fatal(err)
	}
	var r quota.Record
	if err := json.Unmarshal(was.Items[quotaItem], &r); err != nil {
		t.Fatal(err)
	}
	for _, name := range fixtureNames {
		k := f.keepers[name]
		k.mu.Lock()
		held := k.held
		k.mu.Unlock()
		if held.Plan != p.Digest || held.Plan != change.OfJSON(held.PlanText) || held.PlanUntil != fakeBoot+600e9 || held.SharesUntil != fakeBoot+600e9 {
			t.Errorf("%s holds %+v, planned was %s", name, held, p.Digest)
		}
	}
	if len(p.Answer.Steps) == 0 || change.OfJSON(p.Answer) != p.Digest || len(r.Limits) != 3 || r.Limits["v1"][quota.Fleet] <= r.Limits["v3"][quota.Fleet] || p.Term == 0 || p.Sequence == 0 {
		t.Errorf("the fixture shows nothing: %+v, %+v", p, r)
	}
	a := f.agreed(f.acting().name)
	for _, name := range []string{"change.json", "ask.json", planItem, "register"} {
		if !bytes.Equal(a.Items[name], was.Items[name]) {
			t.Errorf("%s: %s after %s", name, a.Items[name], was.Items[name])
		}
	}
}
