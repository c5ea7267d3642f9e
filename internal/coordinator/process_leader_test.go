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

// leaderStatus returns a voter's election status, or the zero value if it does not reply.
func leaderStatus(t *testing.T, cluster *testcluster.Cluster, m *testcluster.Member) leader.Status {
	t.Helper()
	var status leader.Status
	if err := cluster.GetJSON(m, "/v1/owner", &status); err != nil {
		return leader.Status{}
	}
	return status
}

// runCommand runs an operator's command and returns its output.
func runCommand(t *testing.T, cluster *testcluster.Cluster, args ...string) string {
	t.Helper()
	text, err := cluster.Command(currentProgram, args...)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A leader is suspended during a change: another leader continues the change from its recorded state. When the first
// one is resumed it notices that its term has ended, and its orders are refused. Voters that lose their state are
// replaced or recovered afterwards.
func TestALeaderThatIsResumedLateDoesNoHarm(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 1, Controllers: 3, Engines: 2, Voters: 3})
	load := cluster.StartLoad(1, 1, 10*time.Millisecond, false)
	runCommand(t, cluster, "fleet", "bootstrap")
	waitForLeader := func(except *testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		waitUntil(t, cluster, "there is a leader", func() bool {
			for _, x := range cluster.Members {
				if x != except && leaderStatus(t, cluster, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := waitForLeader(nil)
	term := leaderStatus(t, cluster, first).Term
	runCommand(
		t,
		cluster,
		"rollout",
		"start",
		"--replicated",
		writeFile(t, cluster, "change.json", strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":2000`, 1)),
	)
	state := func(m *testcluster.Member) (r coordinator.Record) {
		if err := cluster.GetJSON(m, "/v1/owner/item?name=change.json", &r); err != nil {
			return coordinator.Record{} // no change is recorded yet, or the member does not reply
		}
		return r
	}
	waitUntil(t, cluster, "the first stage bakes", func() bool { return state(first).State.Phase == rollout.PhaseBaking })
	t.Cleanup(func() {
		for _, m := range cluster.Members {
			for line := range strings.Lines(m.Supervisor.Log()) {
				if t.Failed() &&
					(strings.Contains(line, "leader_") || strings.Contains(line, "rollout_") || strings.Contains(line, "order_")) {
					t.Log(m.Name, line)
				}
			}
		}
	})
	first.Supervisor.Signal(syscall.SIGSTOP)
	second := waitForLeader(first)
	if r := leaderStatus(t, cluster, second).Term; r <= term {
		t.Errorf("term %d after %d", r, term)
	}
	waitUntil(
		t,
		cluster,
		"the second leader continues the change",
		func() bool { // if the suspended member is in the stage, the stage waits for it
			s := state(second).State
			return s.Fence.Term > int64(term) &&
				(s.Phase == rollout.PhaseBaking || s.Stage > 0 || s.Phase.IsTerminal())
		},
	)
	first.Supervisor.Signal(syscall.SIGCONT)
	waitUntil(t, cluster, "the resumed leader logs once that its term has ended", func() bool {
		return strings.Count(first.Supervisor.Log(), "msg=leader_term_ended term="+fmt.Sprint(int64(term))) == 1
	})
	waitUntil(t, cluster, "the change is done", func() bool {
		return state(waitForLeader(nil)).State.Phase == rollout.PhaseDone
	})
	to := state(waitForLeader(nil)).ToSpec.Digest()
	waitUntil(t, cluster, "all run it", func() bool {
		return everyStatus(
			t,
			cluster,
			func(s supervisor.Status) bool { return s.RunningSpec == to && s.Fence.Term > int64(term) },
		)
	})
	if text := runCommand(t, cluster, "rollout", "status", "--agreed"); !strings.Contains(text, "done") {
		t.Error(text)
	}

	// A voter loses its state: it belongs to no fleet until it is replaced by a voter with a new ID.
	lost := waitForLeader(nil)
	voterID := leaderStatus(t, cluster, lost).ID
	load.Stop() // the controller ends with its supervisor
	lost.Supervisor.Kill()
	if err := os.Remove(filepath.Join(cluster.Dir, lost.Name, "owner.db")); err != nil {
		t.Fatal(err)
	}
	if err := cluster.StartSupervisor(lost); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "its controller serves again", func() bool {
		s, err := cluster.Status(lost)
		return err == nil && s.Serving
	})
	if v := leaderStatus(t, cluster, lost); v.ID != 0 {
		t.Errorf("it has voter ID %d without its state", v.ID)
	}
	waitForLeader(lost)
	runCommand(t, cluster, "fleet", "replace-voter", lost.Name)
	if v := leaderStatus(t, cluster, lost); v.ID == 0 || v.ID == voterID || len(v.Voters) != 3 {
		t.Errorf("%+v after %d", v, voterID)
	}
	runCommand(t, cluster, "fleet", "step-down")
	waitForLeader(nil)

	// A majority loses its state: there is no leader until an operator recovers the fleet from a remaining voter.
	survivor := cluster.Members[0]
	term = leaderStatus(t, cluster, waitForLeader(nil)).Term
	for _, m := range cluster.Members[1:] {
		m.Supervisor.Kill()
		if err := os.Remove(filepath.Join(cluster.Dir, m.Name, "owner.db")); err != nil {
			t.Fatal(err)
		}
		if err := cluster.StartSupervisor(m); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, cluster, "its controller serves again", func() bool {
			s, err := cluster.Status(m)
			return err == nil && s.Serving
		})
	}
	waitUntil(t, cluster, "there is no leader", func() bool { return !leaderStatus(t, cluster, survivor).Active })
	command := exec.Command(currentProgram, "fleet", "recover", survivor.Name)
	command.Env = append(os.Environ(), "ROUTER_OPERATOR="+cluster.OperatorFile)
	if text, err := command.CombinedOutput(); err == nil ||
		!strings.Contains(string(text), "--the-others-lost-their-memory") {
		t.Errorf("it recovers without confirmation: %s", text)
	}
	runCommand(t, cluster, "fleet", "recover", "--the-others-lost-their-memory", survivor.Name)
	if m := waitForLeader(nil); leaderStatus(t, cluster, m).Term <= term || state(m).State.Phase != rollout.PhaseDone {
		t.Errorf("term %d after %d, %+v", leaderStatus(t, cluster, m).Term, term, state(m).State)
	}
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		t.Error(v)
	}
}

// The leader assigns shares and a plan to the controllers. After its loss the next leader continues, and the shares
// never add up to more than the whole. Without a leader the controllers keep their shares and plan until these expire,
// and then serve as without a leader.
func TestSharesAndPlansOutliveTheirLeaderToTheirEnds(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{
		Program:            currentProgram,
		Seed:               6,
		Controllers:        4,
		Engines:            2,
		Voters:             3,
		SupervisorPrograms: map[int]string{3: previousProgram},
		Files:              map[string]string{"problem.json": planningProblem},
		FleetFields: `"parts":{"life_ms":3000},` +
			`"planning":{"problem":"problem.json","every_ms":60000,"least_ms":1000,"life_ms":4000},`,
	})
	load := cluster.StartLoad(1, 3, 10*time.Millisecond, true)
	runCommand(t, cluster, "fleet", "bootstrap")
	assigned := cluster.Members[:3] // the fourth supervisor writes the previous format and accepts no assignments
	watch := cluster.WatchShares(50 * time.Millisecond)
	statuses := func(members []*testcluster.Member) (list []supervisor.Status) {
		for _, m := range members {
			if s, err := cluster.Status(m); err == nil {
				list = append(list, s)
			}
		}
		return list
	}
	settled := func(members []*testcluster.Member, term int64) bool {
		list := statuses(members)
		for _, s := range list {
			if near := s.SharePerMillion - s.Assignment.Shares[quota.FleetThreads]; s.Assignment.Term <= term ||
				s.Assignment.Plan == "" ||
				s.Assignment.Shares[quota.FleetThreads] == 0 ||
				near < -1 ||
				near > 1 {
				return false
			}
		}
		return len(list) == len(members)
	}
	waitUntil(t, cluster, "all follow their shares and a plan", func() bool {
		list := statuses(assigned)
		return settled(assigned, 0) &&
			2*list[0].SharePerMillion > 3*list[2].SharePerMillion // the first has twice as many clients
	})
	for _, m := range assigned {
		waitUntil(t, cluster, "its controller follows the plan", func() bool {
			return strings.Contains(m.Supervisor.Log(), "msg=plan_taken")
		})
	}
	var first *testcluster.Member
	for _, m := range assigned {
		if leaderStatus(t, cluster, m).Active {
			first = m
		}
	}
	if first == nil {
		t.Fatal("there is no leader any more")
	}
	term := int64(leaderStatus(t, cluster, first).Term)
	first.Supervisor.Signal(syscall.SIGSTOP)
	others := slices.DeleteFunc(slices.Clone(assigned), func(m *testcluster.Member) bool { return m == first })
	waitUntil(t, cluster, "the next leader continues", func() bool { return settled(others, term) })
	first.Supervisor.Signal(syscall.SIGCONT)
	waitUntil(t, cluster, "all follow the next leader", func() bool { return settled(assigned, term) })
	if err := watch.Stop(); err != nil {
		t.Error(err)
	}
	fourth, err := cluster.Status(cluster.Members[3])
	if err != nil || fourth.SharePerMillion == 0 || fourth.Assignment.Term != 0 {
		t.Errorf("the member with the previous format: %+v %v", fourth.Assignment, err)
	}

	// Two of three voters are suspended, so there is no leader. Their controllers continue to serve, and end their
	// plans themselves.
	for _, m := range assigned[1:] {
		m.Supervisor.Signal(syscall.SIGSTOP)
	}
	waitUntil(t, cluster, "share and plan expire", func() bool {
		s, err := cluster.Status(assigned[0])
		return err == nil && s.Assignment.Plan == "" && len(s.Assignment.Shares) == 0
	})
	waitUntil(t, cluster, "its controller estimates its share again", func() bool {
		s, err := cluster.Status(assigned[0])
		return err == nil && s.SharePerMillion >= quota.FullShare/4
	})
	done := load.Done.Load()
	waitUntil(t, cluster, "jobs are still served", func() bool { return load.Done.Load() > done+50 })
	for _, m := range assigned[1:] {
		m.Supervisor.Signal(syscall.SIGCONT)
	}
	for _, m := range assigned[1:] {
		waitUntil(t, cluster, "its plan ended while its supervisor was suspended", func() bool {
			return strings.Contains(m.Supervisor.Log(), "msg=plan_ended")
		})
	}
	stopAndCheckRules(t, cluster, load)
}

// A leader whose controller hangs hands over in an orderly way. A leader whose disk is full halts, and another takes
// over at once. A voter that is lost permanently can be removed.
func TestALeaderThatIsUnfitHandsOver(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{
		Program:       faultProgram,
		Seed:          8,
		Controllers:   3,
		Engines:       2,
		Voters:        3,
		ClockOffsetMS: map[int]int{0: -420_000, 1: 420_000},
	})
	runCommand(t, cluster, "fleet", "bootstrap")
	waitForLeader := func(except ...*testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		waitUntil(t, cluster, "there is a leader", func() bool {
			for _, x := range cluster.Members {
				if !slices.Contains(except, x) && leaderStatus(t, cluster, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := waitForLeader()
	command := exec.Command(currentProgram, "fleet", "found") // by mistake, on a fleet that exists already
	command.Env = append(os.Environ(), "ROUTER_OPERATOR="+cluster.OperatorFile)
	if text, err := command.CombinedOutput(); err == nil || !strings.Contains(string(text), "is a member already") {
		t.Errorf("a fleet is bootstrapped twice: %s", text)
	}
	s, err := cluster.Status(first)
	if err != nil {
		t.Fatal(err)
	}
	signalProcess(t, s.PID, syscall.SIGSTOP)
	second := waitForLeader(first)
	signalProcess(t, s.PID, syscall.SIGCONT)
	load := cluster.StartLoad(1, 1, 10*time.Millisecond, false) // not earlier: a suspended controller answers late
	if text := first.Supervisor.Log(); !strings.Contains(text, "msg=leader_handover") ||
		!strings.Contains(text, `reason="its controller does not serve"`) {
		t.Errorf("%s", text)
	}
	if err := cluster.SetDisk(second.Name, "full"); err != nil {
		t.Fatal(err)
	}
	command = exec.Command(
		currentProgram,
		"rollout",
		"start",
		"--agreed",
		writeFile(t, cluster, "change.json", settingsChange(1)),
	)
	command.Env = append(os.Environ(), "ROUTER_OPERATOR="+cluster.OperatorFile)
	_ = command.Run() // the change may be begun by the next leader, or not at all
	third := waitForLeader(second)
	waitUntil(t, cluster, "the reason is logged", func() bool {
		return strings.Contains(second.Supervisor.Log(), "msg=leader_member_halted")
	})
	if text := runCommand(t, cluster, "fleet", "leader"); !strings.Contains(text, "no space left") {
		t.Error(text)
	}
	if err := cluster.SetDisk(second.Name, ""); err != nil {
		t.Fatal(err)
	}
	load.Stop() // the controller ends with its supervisor
	second.Supervisor.Kill()
	if err := cluster.StartSupervisor(second); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "it is back with its state", func() bool {
		return leaderStatus(t, cluster, second).RaftLeader != ""
	})
	waitForLeader()
	gone := cluster.Members[0]
	for _, m := range cluster.Members {
		if m != third && m != waitForLeader() {
			gone = m
		}
	}
	gone.Supervisor.Kill()
	runCommand(t, cluster, "fleet", "remove-voter", gone.Name)
	if v := leaderStatus(t, cluster, waitForLeader(gone)); len(v.Voters) != 2 || slices.Contains(v.Voters, gone.Name) {
		t.Errorf("%+v", v)
	}
	if err := cluster.StartSupervisor(gone); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "its controller is back", func() bool {
		s, err := cluster.Status(gone)
		return err == nil && s.Serving
	})
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		t.Error(v)
	}
}
