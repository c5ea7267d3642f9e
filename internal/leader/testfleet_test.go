package leader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// fixtureNames are the names of the members of a test fleet, and of the members whose files are in testdata.
var fixtureNames = []string{"v1", "v2", "v3"}

var fixtureZones = []string{"east", "west", "west"}

// fixtureTiming uses short times, and compacts the log after a few entries.
var fixtureTiming = Timing{Tick: 20e6, Lease: 400e6, LeasePerMille: 800, RetainedEntries: 8}

// fixtureProblem is the planning problem of a test fleet.
const fixtureProblem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e2","kind":"std","zone":"west","cores":16,"memory_mb":32000}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"},{"name":"west"}],"must":{},
"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":1}]}`

// fakeClock is the constant time of all fake supervisors' clocks.
const fakeClock = int64(1e12)

// fakeSupervisor serves a member's status, accepts assignments with the production fencing, and records their texts.
type fakeSupervisor struct {
	name        string
	jobsPerPoll uint64 // jobs that its controller completes between two status requests

	mu       sync.Mutex
	accepted assignment.Accepted
	polls    uint64
	texts    [][]byte
}

func (s *fakeSupervisor) incarnation() string { return "life of " + s.name }

func (s *fakeSupervisor) serveStatus(w http.ResponseWriter, r *http.Request) {
	status := s.status()
	if r.URL.Query().Get("engines") == "1" {
		status.ReadyEngines = []string{"e1", "e2"}
	}
	_ = json.NewEncoder(w).Encode(status) // fails only if the leader has closed the connection
}

func (s *fakeSupervisor) status() supervisor.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := supervisor.Status{
		Format:            change.Format,
		Name:              s.name,
		Incarnation:       s.incarnation(),
		MonotonicNS:       fakeClock,
		Assignment:        s.accepted,
		AppliedAssignment: s.accepted.Sequence,
		Serving:           true,
		ReadyEngineCount:  2,
		StartedUnixNS:     1,
		JobCounts:         map[canary.Group]canary.JobCounts{},
	}
	if s.jobsPerPoll > 0 {
		s.polls++
		jobs := s.jobsPerPoll * s.polls
		status.JobCounts[canary.Group{Type: "lookup", Tenant: "acme"}] = canary.JobCounts{
			Jobs: jobs, WithinSLA: jobs, Done: jobs, Dispatches: jobs, LatencyBuckets: []uint64{0, 0, 0, jobs},
		}
	}
	return status
}

func (s *fakeSupervisor) serveAssignment(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = s.accept(text)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *fakeSupervisor) accept(text []byte) error {
	next, err := assignment.Read(bytes.NewReader(text))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted, err = s.accepted.Accept(next, s.name, s.incarnation(), fakeClock)
	if err == nil {
		s.texts = append(s.texts, text)
	}
	return err
}

// acceptedTexts returns the texts of all assignments accepted so far.
func (s *fakeSupervisor) acceptedTexts() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.texts)
}

func (s *fakeSupervisor) currentAssignment() assignment.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// testFleet is a fleet of members in this process, each with its own file and its own server on loopback.
type testFleet struct {
	t           *testing.T
	folder      string
	settings    operator.Fleet
	nodes       map[string]*Node
	supervisors map[string]*fakeSupervisor
	servers     []*httptest.Server
	isClosed    bool
}

// openFleet starts a fleet from the members' files in a folder. jobsPerPoll is by member name.
func openFleet(t *testing.T, folder string, jobsPerPoll map[string]uint64) *testFleet {
	t.Helper()
	f := &testFleet{t: t, folder: folder, nodes: map[string]*Node{}, supervisors: map[string]*fakeSupervisor{}}
	t.Cleanup(f.close)
	addresses, muxes := map[string]string{}, map[string]*http.ServeMux{}
	for i, name := range fixtureNames {
		mux := http.NewServeMux()
		fake := &fakeSupervisor{name: name, jobsPerPoll: jobsPerPoll[name]}
		mux.HandleFunc("GET /v1/status", fake.serveStatus)
		mux.HandleFunc("POST /v1/word", fake.serveAssignment)
		server := httptest.NewServer(mux)
		f.servers = append(f.servers, server)
		f.supervisors[name] = fake
		muxes[name] = mux
		addresses[name] = server.Listener.Addr().String()
		member := operator.Member{Name: name, Listen: addresses[name], Zone: fixtureZones[i]}
		f.settings.Members = append(f.settings.Members, member)
		f.settings.Voters = append(f.settings.Voters, name)
	}
	for _, name := range fixtureNames {
		node, err := Open(name, filepath.Join(folder, name+".db"), addresses, fixtureTiming)
		if err != nil {
			t.Fatal(err)
		}
		node.RegisterHandlers(muxes[name])
		f.nodes[name] = node
	}
	return f
}

func (f *testFleet) close() {
	if f.isClosed {
		return
	}
	f.isClosed = true
	for _, node := range f.nodes {
		node.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
}

// runDuties runs the duties of all members until the returned function is called.
func (f *testFleet) runDuties() (end func()) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.folder, "problem.json"), []byte(fixtureProblem), 0o600); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	var wait sync.WaitGroup
	for _, node := range f.nodes {
		duties, err := NewDuties(node, &f.settings, f.folder)
		if err != nil {
			f.t.Fatal(err)
		}
		wait.Go(func() { duties.Run(ctx) })
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// bootstrap makes a process a member, like an operator would.
func (f *testFleet) bootstrap(name string, request bootstrapRequest) error {
	f.t.Helper()
	code, reply := f.post(name, "/v1/owner/found", request)
	if code != http.StatusOK {
		return errors.New(reply)
	}
	return nil
}

// post sends a request to a member and returns the reply.
func (f *testFleet) post(name, path string, body any) (code int, reply string) {
	f.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	member, _ := f.settings.Member(name)
	response, err := http.Post("http://"+member.Address()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, string(got)
}

// await waits until a condition holds, and fails the test after a minute.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after a minute waiting until %s", what)
		}
	}
}

// awaitLeader returns a node that acts as leader.
func (f *testFleet) awaitLeader() (leader *Node) {
	f.t.Helper()
	await(f.t, "a member acts as leader", func() bool {
		for _, node := range f.nodes {
			if node.Status().Active {
				leader = node
			}
		}
		return leader != nil
	})
	return leader
}

// propose writes an item through the current leader.
func (f *testFleet) propose(item string, value []byte) {
	f.t.Helper()
	await(f.t, item+" is written", func() bool {
		leader := f.awaitLeader()
		return leader.Propose(leader.ActiveTerm(), item, value) == nil
	})
}

// state returns the replicated state as served by a member.
func (f *testFleet) state(name string) State {
	f.t.Helper()
	member, _ := f.settings.Member(name)
	response, err := http.Get("http://" + member.Address() + "/v1/owner/agreed")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var state State
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		f.t.Fatal(err)
	}
	return state
}

// awaitEqualStates waits until all members have applied the same state, and returns it.
func (f *testFleet) awaitEqualStates() State {
	f.t.Helper()
	var state State
	await(f.t, "all members have the same state", func() bool {
		state = f.state(f.awaitLeader().name)
		for _, name := range fixtureNames {
			other := f.state(name)
			if !bytes.Equal(other.encode(), state.encode()) {
				return false
			}
		}
		return true
	})
	return state
}
