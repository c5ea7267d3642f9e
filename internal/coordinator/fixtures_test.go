package coordinator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/operator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
)

// testdata/folders holds coordinator folders that the previous release wrote, one for each phase of a change, with the
// state of the supervisors at that time (members.json). Each must be continued without any loss.
//
// The files are written by TestRecordFolders with -record only. They represent the folders that operators have, and are
// not regenerated when the program changes.

var record = flag.Bool(
	"record",
	false,
	"regenerate testdata; only with a release whose files later releases have to read",
)

// memberState is the state of a supervisor and its controller.
type memberState struct {
	Held    change.AcceptedOrder `json:"held"`
	Running change.Digest        `json:"running"`
	Failed  string               `json:"failed"`
}

// fakeFleet is a fleet of fake supervisors over HTTP. Each controller answers ten jobs between two statuses.
type fakeFleet struct {
	t          *testing.T
	members    []operator.Member
	targetSpec change.Digest // the new version

	mu             sync.Mutex
	states         map[string]*memberState
	counts         map[string]canary.JobCounts
	missed         string // whose jobs miss their SLA time: "new" version, "all" while any runs the new version, or ""
	cannotRollBack string // a member that cannot return from the new version, or ""
	orders         []change.Order

	lostPolls map[string]int // by member: number of further status requests whose connection is closed
}

// losesPoll reports whether the current status request to a member is lost.
func (f *fakeFleet) losesPoll(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostPolls[name]--
	return f.lostPolls[name] >= 0
}

var fakeGroup = canary.Group{Type: "lookup", Tenant: "acme"}

func newFakeFleet(t *testing.T, to change.Digest, states map[string]*memberState) *fakeFleet {
	t.Helper()
	f := &fakeFleet{
		t:          t,
		targetSpec: to,
		states:     states,
		counts:     map[string]canary.JobCounts{},
		lostPolls:  map[string]int{},
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
			if f.losesPoll(name) {
				panic(http.ErrAbortHandler) // the server closes the connection
			}
			if err := json.NewEncoder(w).Encode(f.status(name)); err != nil {
				t.Error(err)
			}
		})
		mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
			if err := f.acceptOrder(name, r); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		zone := map[bool]string{true: "east", false: "west"}[name != "c3"]
		f.members = append(
			f.members,
			operator.Member{Name: name, Listen: strings.TrimPrefix(s.URL, "http://"), Zone: zone},
		)
	}
	return f
}

func (f *fakeFleet) status(name string) supervisor.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, w := f.states[name], f.counts[name]
	anyNew := false
	for _, o := range f.states {
		anyNew = anyNew || o.Running == f.targetSpec
	}
	w.Jobs, w.Done, w.Dispatches = w.Jobs+10, w.Done+10, w.Dispatches+10
	missed := f.missed == "new" && s.Running == f.targetSpec || f.missed == "all" && anyNew
	if !missed {
		w.WithinSLA += 10
	}
	w.LatencyBuckets = make([]uint64, 21)
	w.LatencyBuckets[20] = w.Done
	f.counts[name] = w
	return supervisor.Status{
		Format:         change.Format,
		Name:           name,
		Spec:           s.Held.Spec,
		RunningSpec:    s.Running,
		Version:        "dev",
		SettingsDigest: "s",
		Fence:          s.Held.Fence,
		OrderedBy:      s.Held.CoordinatorID,
		Serving:        !s.Held.Drain,
		Drained:        s.Held.Drain,
		Failure:        s.Failed,
		MemoryMB:       20,
		StartedUnixNS:  1,
		JobCounts:      map[canary.Group]canary.JobCounts{fakeGroup: w},
		Incarnation:    "l",
		MonotonicNS:    1,
	}
}

func (f *fakeFleet) acceptOrder(name string, r *http.Request) error {
	o, err := change.ReadOrder(r.Body)
	if err != nil {
		f.t.Errorf("invalid order: %v", err)
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	s := f.states[name]
	next, _, err := s.Held.Accept(o)
	if err != nil {
		return err
	}
	s.Held = next
	if s.Failed = ""; name == f.cannotRollBack && s.Running == f.targetSpec && next.Spec.Digest() != f.targetSpec {
		s.Failed = "the program is gone"
	} else if !next.Drain {
		s.Running = next.Spec.Digest()
	}
	return nil
}

// setBehavior sets whose jobs miss their SLA time and which member cannot return. Without such a member all are
// repaired.
func (f *fakeFleet) setBehavior(missed, cannotRollBack string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missed, f.cannotRollBack = missed, cannotRollBack
	if cannotRollBack == "" {
		for _, s := range f.states { // repaired
			s.Failed, s.Running = "", s.Held.Spec.Digest()
		}
	}
}

// folderScenario specifies in which state a folder is recorded, and the phase in which its change has to end.
type folderScenario struct {
	name           string
	change         string // a file in testdata/changes
	missed         string
	cannotRollBack string
	request        rollout.Request // submitted once the first stage bakes
	isReached      func(rollout.State) bool
	finalPhase     rollout.Phase
}

func inPhase(p rollout.Phase, stage int) func(rollout.State) bool {
	return func(s rollout.State) bool { return s.Phase == p && s.Stage == stage && !s.Paused }
}

var folderScenarios = []folderScenario{
	{name: "preparing", change: "settings", isReached: inPhase(rollout.PhasePreparing, 0), finalPhase: rollout.PhaseDone},
	{name: "watching", change: "settings", isReached: inPhase(rollout.PhaseBaseline, 0), finalPhase: rollout.PhaseDone},
	{name: "applying", change: "settings", isReached: inPhase(rollout.PhaseApplying, 0), finalPhase: rollout.PhaseDone},
	{name: "baking", change: "settings", isReached: inPhase(rollout.PhaseBaking, 0), finalPhase: rollout.PhaseDone},
	{name: "baking-later", change: "settings", isReached: inPhase(rollout.PhaseBaking, 1), finalPhase: rollout.PhaseDone},
	{
		name:       "paused",
		change:     "settings",
		request:    rollout.RequestPause,
		isReached:  func(s rollout.State) bool { return s.Paused },
		finalPhase: rollout.PhaseDone,
	},
	{
		name:       "withdrawing",
		change:     "settings",
		missed:     "all",
		isReached:  inPhase(rollout.PhaseStageRollback, 0),
		finalPhase: rollout.PhaseDone,
	},
	{
		name:       "waiting",
		change:     "settings",
		missed:     "all",
		isReached:  inPhase(rollout.PhaseAwaitingRecovery, 0),
		finalPhase: rollout.PhaseDone,
	},
	{name: "finishing", change: "program", isReached: inPhase(rollout.PhaseFinishing, 1), finalPhase: rollout.PhaseDone},
	{name: "done", change: "program", isReached: inPhase(rollout.PhaseDone, 1), finalPhase: rollout.PhaseDone},
	{
		name:       "going-back",
		change:     "program",
		missed:     "new",
		isReached:  inPhase(rollout.PhaseRollback, 0),
		finalPhase: rollout.PhaseReverted,
	},
	{
		name:           "stuck",
		change:         "program",
		missed:         "new",
		cannotRollBack: "c2",
		isReached:      inPhase(rollout.PhaseDegraded, 0),
		finalPhase:     rollout.PhaseReverted,
	},
	{
		name:       "back",
		change:     "program",
		missed:     "new",
		isReached:  inPhase(rollout.PhaseReverted, 0),
		finalPhase: rollout.PhaseReverted,
	},
	{
		name:       "stopped",
		change:     "settings",
		request:    rollout.RequestStop,
		isReached:  inPhase(rollout.PhaseStopped, 0),
		finalPhase: rollout.PhaseStopped,
	},
}

const requestTimeout = 2 * time.Second

func initialStates() map[string]*memberState {
	states := map[string]*memberState{}
	for _, name := range []string{"c1", "c2", "c3"} {
		want := change.Spec{
			Program: change.Program{
				Path:   "/opt/swiftreel/bin/swiftreel",
				Digest: "0123456789abcdef0123456789abcdef",
			},
			Topology: json.RawMessage(`{"budget_free":5}`),
			Plan:     json.RawMessage(`{"status":"optimal","steps":[]}`),
		}
		states[name] = &memberState{
			Held: change.AcceptedOrder{
				Fence:         change.Fence{Number: 2, Term: 1, Revision: 9},
				CoordinatorID: "before",
				Spec:          want,
			},
			Running: want.Digest(),
		}
	}
	return states
}

// stepUntil steps a coordinator until a predicate holds for its state. It fails after a time limit, as a defect could
// make it loop forever.
func stepUntil(t *testing.T, c *coordinator.Coordinator, reached func(rollout.State) bool) {
	t.Helper()
	for stop := time.Now().Add(40 * time.Second); !reached(c.State()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatalf("the state is still %+v", c.State())
		}
		if err := c.Step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRecordFolders(t *testing.T) {
	if !*record {
		return // fixtures are recorded only with -record
	}
	for _, s := range folderScenarios {
		t.Run(s.name, func(t *testing.T) {
			ch, err := change.Load(filepath.Join("testdata", "changes", s.change+".json"))
			if err != nil {
				t.Fatal(err)
			}
			states := initialStates()
			to, err := ch.TargetSpec(states["c1"].Held.Spec)
			if err != nil {
				t.Fatal(err)
			}
			fakes := newFakeFleet(t, to.Digest(), states)
			fakes.missed, fakes.cannotRollBack = s.missed, s.cannotRollBack
			dir := t.TempDir()
			folder, err := coordinator.OpenFolder(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer folder.Close()
			fleet := coordinator.NewFleetClient(fakes.members, requestTimeout, requestTimeout)
			if err := coordinator.Begin(context.Background(), folder, ch, fleet, false); err != nil {
				t.Fatal(err)
			}
			if s.name != "preparing" {
				c, err := coordinator.TakeOver(folder, fleet)
				if err != nil {
					t.Fatal(err)
				}
				if s.request != "" {
					stepUntil(t, c, inPhase(rollout.PhaseBaking, 0))
					if err := folder.Submit(s.request); err != nil {
						t.Fatal(err)
					}
				}
				stepUntil(t, c, s.isReached)
			}
			out := filepath.Join("testdata", "folders", s.name)
			if err := os.RemoveAll(out); err != nil {
				t.Fatal(err)
			}
			if err := os.CopyFS(out, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(filepath.Join(out, "lock")); err != nil {
				t.Fatal(err)
			}
			text, err := json.MarshalIndent(states, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(out, "members.json"), append(text, '\n'), 0o600); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// openFolder copies a fixture and returns it with a fake fleet in the recorded state.
func openFolder(t *testing.T, name string) (dir string, before coordinator.Record, fakes *fakeFleet) {
	t.Helper()
	from := filepath.Join("testdata", "folders", name)
	dir = filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	before, found, err := coordinator.OpenUnlocked(dir).Record()
	if err != nil || !found {
		t.Fatal(found, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "members.json"))
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]*memberState{}
	if err := json.Unmarshal(text, &states); err != nil {
		t.Fatal(err)
	}
	return dir, before, newFakeFleet(t, before.ToSpec.Digest(), states)
}

func TestFoldersOfThePreviousReleaseAreContinued(t *testing.T) {
	for _, s := range folderScenarios {
		t.Run(s.name, func(t *testing.T) {
			dir, before, fakes := openFolder(t, s.name)
			if !s.isReached(before.State) {
				t.Errorf("the recorded state is %+v", before.State)
			}
			oldSteps, err := coordinator.OpenUnlocked(dir).History()
			if err != nil {
				t.Fatal(err)
			}
			oldPoints, err := coordinator.OpenUnlocked(dir).Samples()
			if err != nil {
				t.Fatal(err)
			}
			oldBase, err := os.ReadFile(filepath.Join(dir, "base.json"))
			if err != nil && !errors.Is(err, fs.ErrNotExist) {
				t.Fatal(err)
			}
			folder, err := coordinator.OpenFolder(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer folder.Close()
			c, err := coordinator.TakeOver(
				folder,
				coordinator.NewFleetClient(fakes.members, requestTimeout, requestTimeout),
			)
			if err != nil {
				t.Fatal(err)
			}
			wantFence := before.State.Fence
			wantFence.Term++
			if got := c.State().Fence; got != wantFence {
				t.Errorf("it continues with fence %v after %v", got, before.State.Fence)
			}
			if s.name == "stuck" { // it stays degraded until the controller is repaired
				fakes.setBehavior("new", "c2")
				if err := c.Step(context.Background()); err != nil || c.State().Phase != rollout.PhaseDegraded ||
					c.State().Drained["c2"] == "" {
					t.Errorf("%+v %v", c.State(), err)
				}
				fakes.setBehavior("", "")
			}
			if before.State.Paused {
				for range 30 {
					if err := c.Step(context.Background()); err != nil || !c.State().Paused ||
						c.State().Phase != before.State.Phase {
						t.Fatalf("%+v %v", c.State(), err)
					}
				}
				if err := folder.Submit(rollout.RequestResume); err != nil {
					t.Fatal(err)
				}
			}
			stepUntil(t, c, func(st rollout.State) bool { return st.Phase.IsTerminal() })
			after, _, err := coordinator.OpenUnlocked(dir).Record()
			if err != nil || after.State.Phase != s.finalPhase {
				t.Fatalf("%+v %v", after.State, err)
			}
			checkNothingLost(t, before, after)
			steps, err := coordinator.OpenUnlocked(dir).History()
			if err != nil || len(steps) < len(oldSteps) || !slices.Equal(steps[:len(oldSteps)], oldSteps) {
				t.Errorf("the history is %v, was %v: %v", steps, oldSteps, err)
			}
			points, err := coordinator.OpenUnlocked(dir).Samples()
			if err != nil || len(points) < len(oldPoints) || !slices.Equal(points[:len(oldPoints)], oldPoints) {
				t.Errorf("%d samples, were %d: %v", len(points), len(oldPoints), err)
			}
			if base, err := os.ReadFile(filepath.Join(dir, "base.json")); oldBase != nil &&
				(err != nil || !bytes.Equal(base, oldBase)) {
				t.Errorf("the baseline has changed: %v", err)
			}
			want := map[rollout.Phase]change.Digest{
				rollout.PhaseDone:     before.ToSpec.Digest(),
				rollout.PhaseReverted: before.FromSpec.Digest(),
			}[s.finalPhase]
			for name, st := range fakes.states {
				if want != "" && st.Running != want {
					t.Errorf("%s runs %s, not %s", name, st.Running, want)
				}
			}
			for _, o := range fakes.orders {
				if o.Format != change.Format || o.CoordinatorID != before.ID || o.Reason == "" {
					t.Errorf("unexpected order %+v", o)
				}
			}
		})
	}
}

// checkNothingLost checks that a record still contains everything that it contained before.
func checkNothingLost(t *testing.T, before, after coordinator.Record) {
	t.Helper()
	was, is := before, after
	if before.Stages == nil {
		is.Stages = nil
	}
	if n := len(was.State.Verdicts); len(is.State.Verdicts) < n ||
		!slices.Equal(is.State.Verdicts[:n], was.State.Verdicts) {
		t.Errorf("the verdicts are %v, were %v", is.State.Verdicts, was.State.Verdicts)
	}
	if was.State.Outcome != "" && is.State.Outcome != was.State.Outcome {
		t.Errorf("the outcome is %q, was %q", is.State.Outcome, was.State.Outcome)
	}
	if is.State.StageRetries < was.State.StageRetries || is.State.PromptRecoveries < was.State.PromptRecoveries {
		t.Errorf("%+v after %+v", is.State, was.State)
	}
	was.State, is.State, was.LastRequestID, is.LastRequestID = rollout.State{}, rollout.State{}, "", ""
	a, err := json.Marshal(was)
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(is)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Errorf("the record is\n%s\nwas\n%s", b, a)
	}
}

// replicatedItems is an implementation of coordinator.ReplicatedItems in memory.
type replicatedItems struct {
	items map[string][]byte
	term  int64
}

func (a *replicatedItems) Read(name string) ([]byte, bool) {
	value, is := a.items[name]
	return value, is
}
func (a *replicatedItems) Write(name string, value []byte) error {
	a.items[name] = slices.Clone(value)
	return nil
}
func (a *replicatedItems) IsLeader() bool     { return true }
func (a *replicatedItems) Term() int64        { return a.term }
func (a *replicatedItems) LeaderName() string { return "c3" }

// A change that an earlier leader recorded in the replicated items continues under the next leader's term.
func TestReplicatedItemsOfThePreviousReleaseAreContinued(t *testing.T) {
	dir, before, fakes := openFolder(t, "baking-later")
	a := &replicatedItems{items: map[string][]byte{}, term: before.State.Fence.Term + 5}
	for _, name := range []string{"change.json", "base.json"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		a.items[name] = text
	}
	c, err := coordinator.TakeOver(
		coordinator.NewReplicatedStore(a),
		coordinator.NewFleetClient(fakes.members, requestTimeout, requestTimeout),
	)
	if err != nil {
		t.Fatal(err)
	}
	if c.State().Fence.Term != a.term {
		t.Errorf("term %d", c.State().Fence.Term)
	}
	stepUntil(t, c, func(st rollout.State) bool { return st.Phase.IsTerminal() })
	after, is, err := coordinator.NewReplicatedStore(a).Record()
	if err != nil || !is || after.State.Phase != rollout.PhaseDone {
		t.Fatalf("%+v %v", after.State, err)
	}
	checkNothingLost(t, before, after)
	if len(a.items) != 2 {
		t.Errorf("%d items", len(a.items))
	}
	if len(fakes.orders) == 0 {
		t.Error("no order was sent")
	}
	for _, o := range fakes.orders {
		if o.CoordinatorID != before.ID+"@c3" {
			t.Errorf("ordered by %q", o.CoordinatorID)
		}
	}
	earlier := coordinator.NewReplicatedStore(&replicatedItems{items: a.items, term: a.term - 1})
	fleet := coordinator.NewFleetClient(fakes.members, requestTimeout, requestTimeout)
	if _, err := coordinator.TakeOver(earlier, fleet); err == nil ||
		err.Error() != fmt.Sprintf("the leader's term %d comes before the recorded term %d", a.term-1, a.term) {
		t.Errorf("take over with an earlier term: %v", err)
	}
}
