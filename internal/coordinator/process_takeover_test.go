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
	w, l := newCluster(t, 3)
	folder, copied := filepath.Join(w.Dir, "record"), filepath.Join(w.Dir, "copied")
	p := startRollout(t, w, currentProgram, folder, settingsChange(1))
	waitUntil(t, w, "a first stage", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	p.Signal(syscall.SIGSTOP) // it will wake up when all is over
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	second, err := w.StartCoordinator(currentProgram, folder, "resume", "--coordinate")
	if err != nil {
		t.Fatal(err)
	}
	if second.WaitExit() == nil || !strings.Contains(second.Log(), "another process coordinates") {
		t.Errorf("two conduct in one folder: %s", second.Log())
	}
	third, err := w.StartCoordinator(currentProgram, copied, "resume", "--coordinate")
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "a later stage", func() bool { return recordedState(copied).Stage > 0 || third.Exited() })
	third.Kill() // and is followed by one more
	fourth, err := w.StartCoordinator(currentProgram, copied, "resume", "--conduct")
	if err != nil {
		t.Fatal(err)
	}
	if err := fourth.WaitExit(); err != nil || recordedState(copied).Phase != rollout.PhaseDone {
		t.Fatalf("%v, %+v: %s", err, recordedState(copied), fourth.Log())
	}
	p.Signal(syscall.SIGCONT)
	err = p.WaitExit()
	if exitCode(err) != exitFenced || !strings.Contains(p.Log(), "rollout_fenced") {
		t.Errorf("the one that slept: %v: %s", err, p.Log())
	}
	if !everyStatus(t, w, func(s supervisor.Status) bool {
		return strings.Contains(string(s.Spec.Topology), `"budget_free":1`) && s.RunningSpec == s.Spec.Digest() &&
			s.Crashes == 0
	}) {
		t.Error("not all run it")
	}
	broken := l.Broken.Load()
	if stopAndCheckRules(t, w, l); broken != 0 {
		t.Errorf("%d connections broke", broken)
	}
}

// An order that was held up on the way comes after later ones, one by one and twice, also past a restart of the keeper.
func TestLateOrdersChangeNothingPastARestartOfTheSupervisor(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, currentProgram, folder, settingsChange(1))
	if err := p.WaitExit(); err != nil {
		t.Fatalf("%v: %s", err, p.Log())
	}
	m := w.Members[1]
	before, err := w.Status(m)
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
	r, _, _ := coordinator.UnlockedFolder(folder).Record()
	late := change.Order{Format: change.Format, Fence: before.Fence, CoordinatorID: r.ID, Member: m.Name, Spec: r.FromSpec}
	late.Fence.Revision--
	try := func() {
		t.Helper()
		if code, text := send(late); code != http.StatusConflict || !strings.Contains(text, "comes after") {
			t.Errorf("%d %s", code, text)
		}
		same := late
		same.Fence, same.Spec = before.Fence, before.Spec
		if code, text := send(same); code != http.StatusNoContent {
			t.Errorf("an order once more: %d %s", code, text)
		}
	}
	try()
	forAnother := change.Order{Format: change.Format, CoordinatorID: "x", Member: "c9", Spec: r.FromSpec}
	forAnother.Fence = change.Fence{Number: 9, Term: 1, Revision: 1}
	if code, text := send(forAnother); code != http.StatusConflict || !strings.Contains(text, "c9") {
		t.Errorf("an order for another: %d %s", code, text)
	}
	l.Stop() // the keeper's death takes its controller with it
	m.Supervisor.Kill()
	if err := w.StartSupervisor(m); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "it serves again", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Serving
	})
	if s, err := w.Status(m); err != nil || s.Fence != before.Fence || s.RunningSpec != before.RunningSpec {
		t.Errorf("after a restart it holds %+v %v", s.Fence, err)
	}
	try()
	// A keeper that cannot record takes nothing.
	if err := os.RemoveAll(filepath.Join(w.Dir, m.Name)); err != nil {
		t.Fatal(err)
	}
	next := change.Order{Format: change.Format, Fence: before.Fence, CoordinatorID: r.ID, Member: m.Name, Spec: r.FromSpec}
	next.Fence.Revision++
	if code, text := send(next); code != http.StatusInsufficientStorage {
		t.Errorf("%d %s", code, text)
	}
	if s, err := w.Status(m); err != nil || s.Fence != before.Fence {
		t.Errorf("it counts what it could not record: %+v %v", s.Fence, err)
	}
}

// A keeper of the format before takes orders of a newer conductor, and newer keepers those of a conductor of the
// format before.
func TestOldAndNewFormatsSideBySide(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{
		Program:            currentProgram,
		Seed:               4,
		Controllers:        3,
		Engines:            2,
		SupervisorPrograms: map[int]string{0: previousProgram},
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(1, 1, 10*time.Millisecond, false)
	for i, of := range []string{currentProgram, previousProgram} {
		folder := filepath.Join(w.Dir, fmt.Sprint("record", i))
		p := startRollout(t, w, of, folder, settingsChange(i+1))
		if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
			t.Fatalf("%v: %s", err, p.Log())
		}
		if !everyStatus(t, w, func(s supervisor.Status) bool {
			return s.Fence.Number == int64(i)+1 && (s.Format == 1) == (s.Name == "c1")
		}) {
			t.Error("not all took it")
		}
		if newer := w.Members[1].Supervisor.Log(); strings.Contains(newer, `drain=false reason="stage`) != true ||
			strings.Contains(p.Log(), "order_not_taken") {
			t.Errorf("%s", newer)
		}
	}
	stopAndCheckRules(t, w, l)
}

func TestAnotherFleetsMemberIsNotTaken(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 2)
	folder, other := filepath.Join(w.Dir, "record"), filepath.Join(w.Dir, "other")
	p := startRollout(t, w, currentProgram, folder, settingsChange(1))
	waitUntil(t, w, "it is under way", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	q, err := w.StartCoordinator(currentProgram, other, "start", writeFile(t, w, "same.json", settingsChange(1)))
	if err != nil {
		t.Fatal(err)
	}
	if q.WaitExit() == nil || !strings.Contains(q.Log(), "has taken order") && !strings.Contains(q.Log(), "holds spec") {
		t.Errorf("a second conductor began: %s", q.Log())
	}
	if err := p.WaitExit(); err != nil {
		t.Fatalf("%v: %s", err, p.Log())
	}
	l.Stop()
	if l, err := net.Listen("tcp4", w.Members[0].SupervisorAddress); err == nil {
		l.Close()
		t.Error("its keeper is gone")
	}
}
