package coordinator_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/leader"
	"swiftreel/internal/quota"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// leaderStatus is what a voter reports of the election; nothing where it does not answer.
func leaderStatus(t *testing.T, w *testcluster.Cluster, m *testcluster.Member) leader.Status {
	t.Helper()
	var status leader.Status
	if err := w.GetJSON(m, "/v1/owner", &status); err != nil {
		return leader.Status{}
	}
	return status
}

// runCommand runs a command as an operator does.
func runCommand(t *testing.T, w *testcluster.Cluster, args ...string) string {
	t.Helper()
	text, err := w.Command(currentProgram, args...)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// An owner is stopped in the midst of a change: another takes it over where it stood; the one that wakes up finds
// that it owns no more, and nothing that it does then is taken.
func TestALeaderThatWakesUpLateDoesNoHarm(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{Program: currentProgram, Seed: 1, Controllers: 3, Engines: 2, Voters: 3}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(1, 1, 10*time.Millisecond, false)
	runCommand(t, w, "fleet", "bootstrap")
	acts := func(but *testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		waitUntil(t, w, "somebody owns", func() bool {
			for _, x := range w.Members {
				if x != but && leaderStatus(t, w, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := acts(nil)
	reign := leaderStatus(t, w, first).Term
	runCommand(
		t,
		w,
		"rollout",
		"start",
		"--replicated",
		writeFile(t, w, "change.json", strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":2000`, 1)),
	)
	state := func(m *testcluster.Member) (r coordinator.Record) {
		if err := w.GetJSON(m, "/v1/owner/item?name=change.json", &r); err != nil {
			return coordinator.Record{} // there is none yet, or the member does not answer
		}
		return r
	}
	waitUntil(t, w, "the first stage bakes", func() bool { return state(first).State.Phase == rollout.PhaseBaking })
	t.Cleanup(func() {
		for _, m := range w.Members {
			for line := range strings.Lines(m.Supervisor.Log()) {
				if t.Failed() &&
					(strings.Contains(line, "leader_") || strings.Contains(line, "rollout_") || strings.Contains(line, "order_")) {
					t.Log(m.Name, line)
				}
			}
		}
	})
	first.Supervisor.Signal(syscall.SIGSTOP)
	second := acts(first)
	if r := leaderStatus(t, w, second).Term; r <= reign {
		t.Errorf("reign %d after %d", r, reign)
	}
	waitUntil(
		t,
		w,
		"it is taken over where it stood",
		func() bool { // the stage may hold the one that sleeps: then it waits for that
			s := state(second).State
			return s.Fence.Term > int64(reign) &&
				(s.Phase == rollout.PhaseBaking || s.Stage > 0 || s.Phase.IsTerminal())
		},
	)
	first.Supervisor.Signal(syscall.SIGCONT)
	waitUntil(t, w, "the one that slept says once that it owns no more", func() bool {
		return strings.Count(first.Supervisor.Log(), "msg=leader_term_ended term="+fmt.Sprint(int64(reign))) == 1
	})
	waitUntil(t, w, "the change is through", func() bool { return state(acts(nil)).State.Phase == rollout.PhaseDone })
	to := state(acts(nil)).ToSpec.Digest()
	waitUntil(t, w, "all run it", func() bool {
		return everyStatus(
			t,
			w,
			func(s supervisor.Status) bool { return s.RunningSpec == to && s.Fence.Term > int64(reign) },
		)
	})
	if text := runCommand(t, w, "rollout", "status", "--agreed"); !strings.Contains(text, "done") {
		t.Error(text)
	}

	// A voter loses its memory: it is of no fleet until it is taken in under a new number.
	lost := acts(nil)
	number := leaderStatus(t, w, lost).ID
	l.Stop() // a keeper's death takes its controller with it
	lost.Supervisor.Kill()
	if err := os.Remove(filepath.Join(w.Dir, lost.Name, "owner.db")); err != nil {
		t.Fatal(err)
	}
	if err := w.StartSupervisor(lost); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "it is back", func() bool {
		s, err := w.Status(lost)
		return err == nil && s.Serving
	})
	if v := leaderStatus(t, w, lost); v.ID != 0 {
		t.Errorf("it came back as %d", v.ID)
	}
	acts(lost)
	runCommand(t, w, "fleet", "replace-voter", lost.Name)
	if v := leaderStatus(t, w, lost); v.ID == 0 || v.ID == number || len(v.Voters) != 3 {
		t.Errorf("%+v after %d", v, number)
	}
	runCommand(t, w, "fleet", "step-down")
	acts(nil)

	// A majority loses its memory: nobody owns until an operator says with whose memory to begin anew.
	kept := w.Members[0]
	reign = leaderStatus(t, w, acts(nil)).Term
	for _, m := range w.Members[1:] {
		m.Supervisor.Kill()
		if err := os.Remove(filepath.Join(w.Dir, m.Name, "owner.db")); err != nil {
			t.Fatal(err)
		}
		if err := w.StartSupervisor(m); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, w, "it is back", func() bool {
			s, err := w.Status(m)
			return err == nil && s.Serving
		})
	}
	waitUntil(t, w, "nobody owns", func() bool { return !leaderStatus(t, w, kept).Active })
	c := exec.Command(currentProgram, "fleet", "recover", kept.Name)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.OperatorFile)
	if text, err := c.CombinedOutput(); err == nil ||
		!strings.Contains(string(text), "--the-others-lost-their-memory") {
		t.Errorf("it recovers unasked: %s", text)
	}
	runCommand(t, w, "fleet", "recover", "--the-others-lost-their-memory", kept.Name)
	if m := acts(nil); leaderStatus(t, w, m).Term <= reign || state(m).State.Phase != rollout.PhaseDone {
		t.Errorf("reign %d after %d, %+v", leaderStatus(t, w, m).Term, reign, state(m).State)
	}
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Events.Entries()) {
		t.Error(v)
	}
}

// The owner tells each controller what it carries and hands out a plan. It is lost, and the next one goes on, never
// with more than the whole out; with no owner each goes on to the end of its part and plan, and then as without one.
func TestSharesAndPlansOutliveTheirLeaderToTheirEnds(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{
		Program:            currentProgram,
		Seed:               6,
		Controllers:        4,
		Engines:            2,
		Voters:             3,
		SupervisorPrograms: map[int]string{3: previousProgram},
		Files:              map[string]string{"problem.json": planningProblem},
		FleetFields: `"parts":{"life_ms":3000},` +
			`"planning":{"problem":"problem.json","every_ms":60000,"least_ms":1000,"life_ms":4000},`,
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(1, 3, 10*time.Millisecond, true)
	runCommand(t, w, "fleet", "bootstrap")
	told := w.Members[:3] // the fourth one's keeper is of the format before: it takes no words
	watch := w.WatchShares(50 * time.Millisecond)
	statuses := func(of []*testcluster.Member) (list []supervisor.Status) {
		for _, m := range of {
			if s, err := w.Status(m); err == nil {
				list = append(list, s)
			}
		}
		return list
	}
	settled := func(of []*testcluster.Member, reign int64) bool {
		list := statuses(of)
		for _, s := range list {
			if near := s.SharePerMillion - s.Assignment.Shares[quota.Fleet]; s.Assignment.Term <= reign ||
				s.Assignment.Plan == "" ||
				s.Assignment.Shares[quota.Fleet] == 0 ||
				near < -1 ||
				near > 1 {
				return false
			}
		}
		return len(list) == len(of)
	}
	waitUntil(t, w, "all go by their parts and a plan", func() bool {
		list := statuses(told)
		return settled(told, 0) &&
			2*list[0].SharePerMillion > 3*list[2].SharePerMillion // the first has double the clients
	})
	for _, m := range told {
		waitUntil(t, w, "its controller follows it", func() bool {
			return strings.Contains(m.Supervisor.Log(), "msg=plan_taken")
		})
	}
	var first *testcluster.Member
	for _, m := range told {
		if leaderStatus(t, w, m).Active {
			first = m
		}
	}
	if first == nil {
		t.Fatal("nobody owns any more")
	}
	reign := int64(leaderStatus(t, w, first).Term)
	first.Supervisor.Signal(syscall.SIGSTOP)
	others := slices.DeleteFunc(slices.Clone(told), func(m *testcluster.Member) bool { return m == first })
	waitUntil(t, w, "the next owner goes on", func() bool { return settled(others, reign) })
	first.Supervisor.Signal(syscall.SIGCONT)
	waitUntil(t, w, "all go by it", func() bool { return settled(told, reign) })
	if err := watch.Stop(); err != nil {
		t.Error(err)
	}
	guess, err := w.Status(w.Members[3])
	if err != nil || guess.SharePerMillion == 0 || guess.Assignment.Term != 0 {
		t.Errorf("the one of the format before: %+v %v", guess.Assignment, err)
	}

	// No owner: two of three keepers are stopped. Their controllers serve on, and end their plans by themselves.
	for _, m := range told[1:] {
		m.Supervisor.Signal(syscall.SIGSTOP)
	}
	waitUntil(t, w, "part and plan end", func() bool {
		s, err := w.Status(told[0])
		return err == nil && s.Assignment.Plan == "" && len(s.Assignment.Shares) == 0
	})
	waitUntil(t, w, "its controller guesses again", func() bool {
		s, err := w.Status(told[0])
		return err == nil && s.SharePerMillion >= quota.FullShare/4
	})
	done := l.Done.Load()
	waitUntil(t, w, "jobs are served all the while", func() bool { return l.Done.Load() > done+50 })
	for _, m := range told[1:] {
		m.Supervisor.Signal(syscall.SIGCONT)
	}
	for _, m := range told[1:] {
		waitUntil(t, w, "its plan ended while its keeper slept", func() bool {
			return strings.Contains(m.Supervisor.Log(), "msg=plan_ended")
		})
	}
	stopAndCheckRules(t, w, l)
}

// An owner whose controller stands still hands over in order; one whose disk is full falls silent, and the next is
// told to lead at once. A voter that is gone for good is forgotten.
func TestALeaderThatIsUnfitHandsOver(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{
		Program:       steeredProgram,
		Seed:          8,
		Controllers:   3,
		Engines:       2,
		Voters:        3,
		ClockOffsetMS: map[int]int{0: -420_000, 1: 420_000},
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	runCommand(t, w, "fleet", "bootstrap")
	acts := func(but ...*testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		waitUntil(t, w, "somebody owns", func() bool {
			for _, x := range w.Members {
				if !slices.Contains(but, x) && leaderStatus(t, w, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := acts()
	c := exec.Command(currentProgram, "fleet", "found") // another fleet's operator, by mistake
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.OperatorFile)
	if text, err := c.CombinedOutput(); err == nil || !strings.Contains(string(text), "is a member already") {
		t.Errorf("a fleet is founded twice: %s", text)
	}
	s, err := w.Status(first)
	if err != nil {
		t.Fatal(err)
	}
	signalProcess(t, s.PID, syscall.SIGSTOP)
	second := acts(first)
	signalProcess(t, s.PID, syscall.SIGCONT)
	l := w.StartLoad(1, 1, 10*time.Millisecond, false) // not before: what stands still answers late
	if text := first.Supervisor.Log(); !strings.Contains(text, "msg=leader_handover") ||
		!strings.Contains(text, `reason="its controller does not serve"`) {
		t.Errorf("%s", text)
	}
	if err := w.SetDisk(second.Name, "full"); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(
		currentProgram,
		"rollout",
		"start",
		"--agreed",
		writeFile(t, w, "change.json", settingsChange(1)),
	)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.OperatorFile)
	_ = c.Run() // the change may be begun by the next leader, or not at all
	third := acts(second)
	waitUntil(t, w, "it says why", func() bool {
		return strings.Contains(second.Supervisor.Log(), "msg=leader_member_halted")
	})
	if text := runCommand(t, w, "fleet", "leader"); !strings.Contains(text, "no space left") {
		t.Error(text)
	}
	if err := w.SetDisk(second.Name, ""); err != nil {
		t.Fatal(err)
	}
	l.Stop() // a keeper's death takes its controller with it
	second.Supervisor.Kill()
	if err := w.StartSupervisor(second); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "it is back with its memory", func() bool { return leaderStatus(t, w, second).RaftLeader != "" })
	acts()
	gone := w.Members[0]
	for _, m := range w.Members {
		if m != third && m != acts() {
			gone = m
		}
	}
	gone.Supervisor.Kill()
	runCommand(t, w, "fleet", "remove-voter", gone.Name)
	if v := leaderStatus(t, w, acts(gone)); len(v.Voters) != 2 || slices.Contains(v.Voters, gone.Name) {
		t.Errorf("%+v", v)
	}
	if err := w.StartSupervisor(gone); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "its controller is back", func() bool {
		s, err := w.Status(gone)
		return err == nil && s.Serving
	})
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Events.Entries()) {
		t.Error(v)
	}
}
