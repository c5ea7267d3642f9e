package coordinator_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

func TestSettingsReachAllThoughACoordinatorDiesAndAnotherSleeps(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 3)
	folder, copied := filepath.Join(cluster.Dir, "record"), filepath.Join(cluster.Dir, "copied")
	process := startRollout(t, cluster, currentProgram, folder, settingsChange(1))
	waitUntil(t, cluster, "a first stage", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	process.Signal(syscall.SIGSTOP) // resumed after the change is done
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	second, err := cluster.StartCoordinator(currentProgram, folder, "resume", "--coordinate")
	if err != nil {
		t.Fatal(err)
	}
	if second.WaitExit() == nil || !strings.Contains(second.Log(), "another process coordinates") {
		t.Errorf("two processes coordinate in one folder: %s", second.Log())
	}
	third, err := cluster.StartCoordinator(currentProgram, copied, "resume", "--coordinate")
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "a later stage", func() bool { return recordedState(copied).Stage > 0 || third.Exited() })
	third.Kill() // another one takes over
	fourth, err := cluster.StartCoordinator(currentProgram, copied, "resume", "--conduct")
	if err != nil {
		t.Fatal(err)
	}
	if err := fourth.WaitExit(); err != nil || recordedState(copied).Phase != rollout.PhaseDone {
		t.Fatalf("%v, %+v: %s", err, recordedState(copied), fourth.Log())
	}
	process.Signal(syscall.SIGCONT)
	err = process.WaitExit()
	if exitCode(err) != exitFenced || !strings.Contains(process.Log(), "rollout_fenced") {
		t.Errorf("the resumed coordinator: %v: %s", err, process.Log())
	}
	if !everyStatus(t, cluster, func(s supervisor.Status) bool {
		return strings.Contains(string(s.Spec.Topology), `"budget_free":1`) && s.RunningSpec == s.Spec.Digest() &&
			s.Crashes == 0
	}) {
		t.Error("not all run it")
	}
	broken := load.Broken.Load()
	if stopAndCheckRules(t, cluster, load); broken != 0 {
		t.Errorf("%d connections broke", broken)
	}
}

// A delayed order that arrives after later ones is refused, and a repeated order has no effect; both also after a
// restart of the supervisor.
func TestLateOrdersChangeNothingPastARestartOfTheSupervisor(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 3)
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, currentProgram, folder, settingsChange(1))
	if err := process.WaitExit(); err != nil {
		t.Fatalf("%v: %s", err, process.Log())
	}
	m := cluster.Members[1]
	before, err := cluster.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	send := func(o change.Order) (int, string) {
		text, _ := json.Marshal(o)
		a, err := http.Post("http://"+m.SupervisorAddress+"/v1/order", "application/json", strings.NewReader(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		b := make([]byte, 300)
		n, _ := a.Body.Read(b)
		return a.StatusCode, string(b[:n])
	}
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	late := change.Order{Format: change.Format, Fence: before.Fence, CoordinatorID: r.ID, Member: m.Name, Spec: r.FromSpec}
	late.Fence.Revision--
	resendOldOrders := func() {
		t.Helper()
		if code, text := send(late); code != http.StatusConflict || !strings.Contains(text, "comes after") {
			t.Errorf("%d %s", code, text)
		}
		same := late
		same.Fence, same.Spec = before.Fence, before.Spec
		if code, text := send(same); code != http.StatusNoContent {
			t.Errorf("a repeated order: %d %s", code, text)
		}
	}
	resendOldOrders()
	forAnother := change.Order{Format: change.Format, CoordinatorID: "x", Member: "c9", Spec: r.FromSpec}
	forAnother.Fence = change.Fence{Number: 9, Term: 1, Revision: 1}
	if code, text := send(forAnother); code != http.StatusConflict || !strings.Contains(text, "c9") {
		t.Errorf("an order for another member: %d %s", code, text)
	}
	load.Stop() // the controller ends with its supervisor
	m.Supervisor.Kill()
	if err := cluster.StartSupervisor(m); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "it serves again", func() bool {
		s, err := cluster.Status(m)
		return err == nil && s.Serving
	})
	if s, err := cluster.Status(m); err != nil || s.Fence != before.Fence || s.RunningSpec != before.RunningSpec {
		t.Errorf("the fence after a restart is %+v %v", s.Fence, err)
	}
	resendOldOrders()
	// A supervisor that cannot record an order does not accept it.
	if err := os.RemoveAll(filepath.Join(cluster.Dir, m.Name)); err != nil {
		t.Fatal(err)
	}
	next := change.Order{Format: change.Format, Fence: before.Fence, CoordinatorID: r.ID, Member: m.Name, Spec: r.FromSpec}
	next.Fence.Revision++
	if code, text := send(next); code != http.StatusInsufficientStorage {
		t.Errorf("%d %s", code, text)
	}
	if s, err := cluster.Status(m); err != nil || s.Fence != before.Fence {
		t.Errorf("it accepted an order that it could not record: %+v %v", s.Fence, err)
	}
}

// A supervisor of the previous format accepts orders of a newer coordinator, and newer supervisors accept those of a
// coordinator of the previous format.
func TestOldAndNewFormatsSideBySide(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{
		Program:            currentProgram,
		Seed:               4,
		Controllers:        3,
		Engines:            2,
		SupervisorPrograms: map[int]string{0: previousProgram},
	})
	load := cluster.StartLoad(1, 1, 10*time.Millisecond, false)
	for i, of := range []string{currentProgram, previousProgram} {
		folder := filepath.Join(cluster.Dir, fmt.Sprint("record", i))
		process := startRollout(t, cluster, of, folder, settingsChange(i+1))
		if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
			t.Fatalf("%v: %s", err, process.Log())
		}
		if !everyStatus(t, cluster, func(s supervisor.Status) bool {
			return s.Fence.Number == int64(i)+1 && (s.Format == 1) == (s.Name == "c1")
		}) {
			t.Error("not all accepted the order")
		}
		if newer := cluster.Members[1].Supervisor.Log(); strings.Contains(newer, `drain=false reason="stage`) != true ||
			strings.Contains(process.Log(), "order_not_taken") {
			t.Errorf("%s", newer)
		}
	}
	stopAndCheckRules(t, cluster, load)
}

func TestASecondCoordinatorCannotBeginAChange(t *testing.T) {
	t.Parallel()
	cluster, l := newCluster(t, 2)
	folder, other := filepath.Join(cluster.Dir, "record"), filepath.Join(cluster.Dir, "other")
	process := startRollout(t, cluster, currentProgram, folder, settingsChange(1))
	waitUntil(t, cluster, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	second, err := cluster.StartCoordinator(currentProgram, other, "start",
		writeFile(t, cluster, "same.json", settingsChange(1)))
	if err != nil {
		t.Fatal(err)
	}
	if second.WaitExit() == nil || !strings.Contains(second.Log(), "has taken order") &&
		!strings.Contains(second.Log(), "holds spec") {
		t.Errorf("a second coordinator began: %s", second.Log())
	}
	if err := process.WaitExit(); err != nil {
		t.Fatalf("%v: %s", err, process.Log())
	}
	l.Stop()
	if l, err := net.Listen("tcp4", cluster.Members[0].SupervisorAddress); err == nil {
		l.Close()
		t.Error("the supervisor does not run any more")
	}
}
