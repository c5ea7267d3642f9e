package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/fake"
	"swiftreel/internal/leader"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// Real processes: controllers with keepers, conductors, and what goes wrong between them. Nothing is decided by how long
// something took, but by what is seen.

var program, dying, other, steered, before string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "conduct")
	if err != nil {
		panic(err)
	}
	program, dying, other = filepath.Join(dir, "swiftreel"), filepath.Join(dir, "dying"), filepath.Join(dir, "other")
	steered, before = filepath.Join(dir, "steered", "swiftreel"), filepath.Join(dir, "before", "swiftreel")
	const fleet, set = "swiftreel-fleet", "-X swiftreel/internal/version.Name="
	var wait sync.WaitGroup
	failed := atomic.Bool{}
	build := func(out, of string, args ...string) {
		wait.Go(func() {
			c := exec.Command("go", append(append([]string{"build", "-o", out}, args...), "swiftreel/cmd/"+of)...)
			if text, err := c.CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "%v: %s\n", err, text)
				failed.Store(true)
			}
		})
	}
	build(program, "swiftreel")
	build(filepath.Join(dir, fleet), fleet)
	build(other, "swiftreel", "-ldflags", set+"other")
	build(dying, "swiftreel", "-tags", "fault", "-ldflags", set+"dying -X swiftreel/internal/failpoint.name=dies")
	for _, of := range []string{"swiftreel", fleet} {
		build(filepath.Join(filepath.Dir(steered), of), of, "-tags", "fault", "-ldflags", "-X swiftreel/internal/failpoint.name=steered")
		build(filepath.Join(filepath.Dir(before), of), of, "-tags", "format1")
	}
	if wait.Wait(); failed.Load() {
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const pace = `"pace":{"base_ms":300,"bake_ms":300,"most_ms":60000,"apply_ms":20000,"steady_ms":1,"unheard_ms":3000,"look_ms":30},
"limits":{"jobs_wanted":5,"shared_per_mille":900,"slower_per_mille":900,"missed_per_mille":900,"cpu_percent":5000,"memory_percent":5000}`

func town(t *testing.T, n int) (*testcluster.Town, *testcluster.Load) {
	t.Helper()
	w, err := testcluster.NewTown(program, 1, n, 2, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, w.NewLoad(1, 1, 10*time.Millisecond, false)
}

func write(t *testing.T, w *testcluster.Town, name, text string) string {
	t.Helper()
	path := filepath.Join(w.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func settings(number int) string {
	return fmt.Sprintf(`{"number":%d,"kind":"settings","to":{"shape":{"budget_free":%d}},%s}`, number, number, pace)
}

func until(t *testing.T, w *testcluster.Town, what string, is func() bool) {
	t.Helper()
	if err := w.Await(40*time.Second, is); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func phase(folder string) rollout.State {
	r, _, _ := coordinator.Look(folder).Record()
	return r.State
}

// finish holds all logs against the rules.
func finish(t *testing.T, w *testcluster.Town, l *testcluster.Load) {
	t.Helper()
	l.Stop()
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Book.Log()) {
		t.Error(v)
	}
	if l.Done.Load() == 0 {
		t.Error("no job was done")
	}
}

func all(t *testing.T, w *testcluster.Town, is func(supervisor.Status) bool) bool {
	t.Helper()
	for _, m := range w.Members {
		if s, err := w.Status(m); err != nil || !is(s) {
			return false
		}
	}
	return true
}

func TestSettingsReachAllThoughAConductorDiesAndAnotherSleeps(t *testing.T) {
	t.Parallel()
	w, l := town(t, 3)
	folder, copied := filepath.Join(w.Dir, "record"), filepath.Join(w.Dir, "copied")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "a first stage", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	p.Signal(syscall.SIGSTOP) // it will wake up when all is over
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	second, err := w.Rollout(program, folder, "resume", "--conduct")
	if err != nil {
		t.Fatal(err)
	}
	if second.Await() == nil || !strings.Contains(second.Log(), "another process conducts") {
		t.Errorf("two conduct in one folder: %s", second.Log())
	}
	third, err := w.Rollout(program, copied, "resume", "--conduct")
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "a later stage", func() bool { return phase(copied).Stage > 0 || third.Over() })
	third.End() // and is followed by one more
	fourth, err := w.Rollout(program, copied, "resume", "--conduct")
	if err != nil {
		t.Fatal(err)
	}
	if err := fourth.Await(); err != nil || phase(copied).Phase != rollout.Done {
		t.Fatalf("%v, %+v: %s", err, phase(copied), fourth.Log())
	}
	p.Signal(syscall.SIGCONT)
	err = p.Await()
	var code *exec.ExitError
	if code, _ = err.(*exec.ExitError); code == nil || code.ExitCode() != 6 || !strings.Contains(p.Log(), "rollout_fenced") {
		t.Errorf("the one that slept: %v: %s", err, p.Log())
	}
	if !all(t, w, func(s supervisor.Status) bool {
		return strings.Contains(string(s.Spec.Shape), `"budget_free":1`) && s.RunningSpec == s.Spec.Digest() && s.Crashes == 0
	}) {
		t.Error("not all run it")
	}
	broken := l.Broken.Load()
	if finish(t, w, l); broken != 0 {
		t.Errorf("%d connections broke", broken)
	}
}

func TestAProgramThatDiesIsTakenBack(t *testing.T) {
	t.Parallel()
	w, l := town(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", fmt.Sprintf(`{"number":1,"kind":"program","to":{"program":%q},%s}`, dying, strings.Replace(pace, `"jobs_wanted":5`, `"jobs_wanted":100000`, 1))))
	if err != nil {
		t.Fatal(err)
	}
	err = p.Await()
	if code, _ := err.(*exec.ExitError); code == nil || code.ExitCode() != 4 {
		t.Fatalf("%v: %s", err, p.Log())
	}
	if s := phase(folder); s.Phase != rollout.Back || s.Stage != 0 || !strings.Contains(s.Outcome, "ended or failed to start") {
		t.Errorf("%+v", s)
	}
	if !all(t, w, func(s supervisor.Status) bool { return s.Version == "dev" && s.Serving }) {
		t.Error("not all are back")
	}
	finish(t, w, l)
}

// An order that was held up on the way comes after later ones, one by one and twice, also past a restart of the keeper.
func TestLateOrdersChangeNothingPastARestartOfTheKeeper(t *testing.T) {
	t.Parallel()
	w, l := town(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Await(); err != nil {
		t.Fatalf("%v: %s", err, p.Log())
	}
	m := w.Members[1]
	before, err := w.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	send := func(o change.Order) (int, string) {
		text, _ := json.Marshal(o)
		a, err := http.Post("http://"+m.Keeps+"/v1/order", "application/json", strings.NewReader(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		b := make([]byte, 300)
		n, _ := a.Body.Read(b)
		return a.StatusCode, string(b[:n])
	}
	r, _, _ := coordinator.Look(folder).Record()
	late := change.Order{Format: change.Format, Fence: before.Fence, By: r.By, Member: m.Name, Want: r.From}
	late.Fence.Turn--
	try := func() {
		t.Helper()
		if code, text := send(late); code != http.StatusConflict || !strings.Contains(text, "comes after") {
			t.Errorf("%d %s", code, text)
		}
		same := late
		same.Fence, same.Want = before.Fence, before.Spec
		if code, text := send(same); code != http.StatusNoContent {
			t.Errorf("an order once more: %d %s", code, text)
		}
	}
	try()
	if code, text := send(change.Order{Format: change.Format, Fence: change.Fence{Number: 9, Term: 1, Turn: 1}, By: "x", Member: "c9", Want: r.From}); code != http.StatusConflict || !strings.Contains(text, "c9") {
		t.Errorf("an order for another: %d %s", code, text)
	}
	l.Stop() // the keeper's death takes its controller with it
	m.Keeper.End()
	if err := w.Again(m); err != nil {
		t.Fatal(err)
	}
	until(t, w, "it serves again", func() bool { s, err := w.Status(m); return err == nil && s.Serving })
	if s, err := w.Status(m); err != nil || s.Fence != before.Fence || s.RunningSpec != before.RunningSpec {
		t.Errorf("after a restart it holds %+v %v", s.Fence, err)
	}
	try()
	// A keeper that cannot record takes nothing.
	if err := os.RemoveAll(filepath.Join(w.Dir, m.Name)); err != nil {
		t.Fatal(err)
	}
	next := change.Order{Format: change.Format, Fence: before.Fence, By: r.By, Member: m.Name, Want: r.From}
	next.Fence.Turn++
	if code, text := send(next); code != http.StatusInsufficientStorage {
		t.Errorf("%d %s", code, text)
	}
	if s, err := w.Status(m); err != nil || s.Fence != before.Fence {
		t.Errorf("it counts what it could not record: %+v %v", s.Fence, err)
	}
}

func TestOneOutOfReachConvergesWhenItIsHeardAgain(t *testing.T) {
	t.Parallel()
	w, l := town(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "the first stage bakes", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	r, _, _ := coordinator.Look(folder).Record()
	var far *testcluster.Member
	for _, m := range w.Members {
		if !strings.Contains(fmt.Sprint(r.Stages[0]), m.Name) {
			far = m
		}
	}
	far.Link.Set(testcluster.OneWay, 0) // it is asked, and its answers are lost
	until(t, w, "all that can be reached have passed", func() bool { return phase(folder).Phase == rollout.Finishing || p.Over() })
	if p.Over() {
		t.Fatalf("it ended without one: %s", p.Log())
	}
	far.Link.Set(testcluster.Passes, 0)
	if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
		t.Fatalf("%v: %s", err, p.Log())
	}
	if !all(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.To.Digest() }) {
		t.Error("not all run it")
	}
	finish(t, w, l)
}

func TestNothingIsOrderedThatCannotBeRecorded(t *testing.T) {
	t.Parallel()
	w, l := town(t, 2)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", strings.Replace(settings(1), `"base_ms":300`, `"base_ms":3000`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "all are watched", func() bool { return phase(folder).Phase == rollout.Watching || p.Over() })
	if err := os.Rename(folder, folder+".gone"); err != nil { // as a full disk does: nothing can be written
		t.Fatal(err)
	}
	until(t, w, "it says so", func() bool { return strings.Contains(p.Log(), "rollout_not_recorded") || p.Over() })
	r, _, _ := coordinator.Look(folder + ".gone").Record()
	if !all(t, w, func(s supervisor.Status) bool {
		return s.RunningSpec == r.From.Digest() && s.Fence.Compare(r.State.Fence) <= 0
	}) {
		t.Error("orders went out past the record")
	}
	if err := os.Rename(folder+".gone", folder); err != nil {
		t.Fatal(err)
	}
	if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
		t.Fatalf("%v: %s", err, p.Log())
	}
	finish(t, w, l)
}

// Disks that are full or slow at one place after the other, times of day a quarter of an hour apart, controllers that take
// their time to start: the change waits for what is mended, and reaches all.
func TestDisksThatAreFullOrSlowAndClocksApart(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: steered, Seed: 3, Controllers: 3, Engines: 2, StartMS: 300, ClockMS: map[int]int{0: -420_000, 2: 420_000}}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(1, 1, 10*time.Millisecond, false)
	disk := func(name, how string) {
		t.Helper()
		if err := w.Disk(name, how); err != nil {
			t.Fatal(err)
		}
	}
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(steered, folder, "start", write(t, w, "change.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "all are watched", func() bool { return phase(folder).Phase == rollout.Watching || p.Over() })
	disk(testcluster.Conductors, "full")
	until(t, w, "it says so", func() bool { return strings.Contains(p.Log(), "rollout_not_recorded") || p.Over() })
	for _, m := range w.Members {
		disk(m.Name, "full")
	}
	disk(testcluster.Conductors, "300ms")
	until(t, w, "a keeper refuses what it cannot record", func() bool { return strings.Contains(p.Log(), "order_not_taken") || p.Over() })
	if at := phase(folder).Fence; !strings.Contains(p.Log(), "507") || !all(t, w, func(s supervisor.Status) bool { return s.Fence.Compare(at) < 0 }) {
		t.Errorf("%s", p.Log())
	}
	for _, m := range w.Members {
		disk(m.Name, "300ms")
	}
	if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
		t.Fatalf("%v: %s", err, p.Log())
	}
	r, _, _ := coordinator.Look(folder).Record()
	if !all(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.To.Digest() && s.Crashes == 0 }) {
		t.Error("not all run it")
	}
	finish(t, w, l)
}

// A keeper of the format before takes orders of a newer conductor, and newer keepers those of a conductor of the format before.
func TestOldAndNewFormatsSideBySide(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: program, Seed: 4, Controllers: 3, Engines: 2, Keepers: map[int]string{0: before}}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(1, 1, 10*time.Millisecond, false)
	for i, of := range []string{program, before} {
		folder := filepath.Join(w.Dir, fmt.Sprint("record", i))
		p, err := w.Rollout(of, folder, "start", write(t, w, "change.json", settings(i+1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
			t.Fatalf("%v: %s", err, p.Log())
		}
		if !all(t, w, func(s supervisor.Status) bool {
			return s.Fence.Number == int64(i)+1 && (s.Format == 1) == (s.Name == "c1")
		}) {
			t.Error("not all took it")
		}
		if newer := w.Members[1].Keeper.Log(); strings.Contains(newer, `drain=false reason="stage`) != true || strings.Contains(p.Log(), "order_not_taken") {
			t.Errorf("%s", newer)
		}
	}
	finish(t, w, l)
}

func TestAnotherFleetsMemberIsNotTaken(t *testing.T) {
	t.Parallel()
	w, l := town(t, 2)
	folder, other := filepath.Join(w.Dir, "record"), filepath.Join(w.Dir, "other")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "it is under way", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	q, err := w.Rollout(program, other, "start", write(t, w, "same.json", settings(1)))
	if err != nil {
		t.Fatal(err)
	}
	if q.Await() == nil || !strings.Contains(q.Log(), "has taken order") && !strings.Contains(q.Log(), "holds spec") {
		t.Errorf("a second conductor began: %s", q.Log())
	}
	if err := p.Await(); err != nil {
		t.Fatalf("%v: %s", err, p.Log())
	}
	l.Stop()
	if l, err := net.Listen("tcp4", w.Members[0].Keeps); err == nil {
		l.Close()
		t.Error("its keeper is gone")
	}
}

// A key whose job still runs under the older process of a controller goes on under the newer one only once that is over.
func TestAKeyWaitsForTheOlderProcess(t *testing.T) {
	t.Parallel()
	w, err := testcluster.NewTown(program, 1, 1, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	m := w.Members[0]
	w.Fates.Takes(4 * time.Second)
	began := func(job string) (n int) {
		for _, e := range w.Book.Log() {
			if e.Job == job && e.Event == rulecheck.Began {
				n++
			}
		}
		return n
	}
	ready := func() (c *fake.Caller) {
		until(t, w, "a process that is ready", func() bool {
			c, err = fake.Dial(m.Clients)
			if err != nil {
				return false
			}
			is, err := c.Ready()
			return is && err == nil
		})
		return c
	}
	ask := func(c *fake.Caller, job string) {
		w.Book.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job, Type: "import", Key: "k", Front: m.Name, DeadlineNS: time.Now().Add(8 * time.Second).UnixNano()})
		if _, err := c.Send("import", "SELECT 1 FROM a_1.b", "call", job, "ttl", "8000", "org", "acme", "work", "4", "est_mb", "8", "row", "k"); err != nil {
			t.Fatal(err)
		}
	}
	answer := func(c *fake.Caller, job string) {
		t.Helper()
		a, err := c.Read(20 * time.Second)
		if err != nil || a.Error != "" {
			t.Errorf("%s: %+v %v", job, a, err)
		}
		w.Book.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job, Answer: rulecheck.Done})
	}
	first, second := "0000000000000001", "0000000000000002"
	a := ready()
	ask(a, first)
	until(t, w, "the first begins", func() bool { return began(first) == 1 })
	was, err := w.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	order(t, m, was, other)
	until(t, w, "the other program serves", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Version == "other" && s.Serving && len(s.DrainingPIDs) == 1
	})
	if !strings.Contains(m.Keeper.Log(), "msg=state_restored types=2") {
		t.Error("the newer one is not taught")
	}
	w.Fates.Takes(4 * time.Millisecond)
	b := ready()
	ask(b, second)
	answer(a, first)
	answer(b, second)
	until(t, w, "the older one has ended", func() bool { s, err := w.Status(m); return err == nil && len(s.DrainingPIDs) == 0 })
	a.Conn.Close()
	b.Conn.Close()
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	if began(second) != 1 {
		t.Errorf("the second began %d times", began(second))
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Book.Log()) {
		t.Error(v)
	}
}

// While a controller cannot be reached the change is taken back by hand; it converges when it is heard again. Meanwhile
// somebody sends signals by hand.
func TestGoingBackWhileSomeCannotBeReached(t *testing.T) {
	t.Parallel()
	w, l := town(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", strings.Replace(strings.Replace(settings(1), `"jobs_wanted":5`, `"jobs_wanted":1000000`, 1), `"apply_ms":20000`, `"apply_ms":5000`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "the first stage bakes", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	r, _, _ := coordinator.Look(folder).Record()
	var far *testcluster.Member
	for _, m := range w.Members {
		if m.Name == r.Stages[0][0] {
			far = m
		} else if s, err := w.Status(m); err == nil && s.PID > 0 {
			syscall.Kill(s.PID, syscall.SIGHUP) // as by hand: the same file is read once more
		}
	}
	far.Link.Set(testcluster.Silent, 0)
	if err := coordinator.Look(folder).Ask(rollout.AskBack); err != nil {
		t.Fatal(err)
	}
	until(t, w, "it is stuck, and names the one", func() bool {
		s := phase(folder)
		return s.Phase == rollout.Stuck && strings.Contains(s.Why, far.Name) || p.Over()
	})
	far.Link.Set(testcluster.Passes, 0)
	err = p.Await()
	if code, _ := err.(*exec.ExitError); code == nil || code.ExitCode() != 4 || phase(folder).Phase != rollout.Back {
		t.Fatalf("%v, %+v: %s", err, phase(folder), p.Log())
	}
	if !all(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.From.Digest() && s.Crashes == 0 }) {
		t.Error("not all are back")
	}
	finish(t, w, l)
}

func get(t *testing.T, w *testcluster.Town, m *testcluster.Member) (v leader.Status) {
	w.Get(m, "/v1/owner", &v) // none: it does not act
	return v
}

// cli runs a command as an operator does.
func cli(t *testing.T, w *testcluster.Town, args ...string) string {
	t.Helper()
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.Fleet)
	text, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v: %s", args, err, text)
	}
	return string(text)
}

// An owner is stopped in the midst of a change: another takes it over where it stood; the one that wakes up finds that it
// owns no more, and nothing that it does then is taken.
func TestAnOwnerThatWakesUpLateDoesNoHarm(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: program, Seed: 1, Controllers: 3, Engines: 2, Voters: 3}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(1, 1, 10*time.Millisecond, false)
	cli(t, w, "fleet", "found")
	acts := func(but *testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		until(t, w, "somebody owns", func() bool {
			for _, x := range w.Members {
				if x != but && get(t, w, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := acts(nil)
	reign := get(t, w, first).Term
	cli(t, w, "rollout", "start", "--agreed", write(t, w, "change.json", strings.Replace(settings(1), `"bake_ms":300`, `"bake_ms":2000`, 1)))
	state := func(m *testcluster.Member) (r coordinator.Record) {
		w.Get(m, "/v1/owner/item?name=change.json", &r)
		return r
	}
	until(t, w, "the first stage bakes", func() bool { return state(first).State.Phase == rollout.Baking })
	t.Cleanup(func() {
		for _, m := range w.Members {
			for line := range strings.Lines(m.Keeper.Log()) {
				if t.Failed() && (strings.Contains(line, "leader_") || strings.Contains(line, "rollout_") || strings.Contains(line, "order_")) {
					t.Log(m.Name, line)
				}
			}
		}
	})
	first.Keeper.Signal(syscall.SIGSTOP)
	second := acts(first)
	if r := get(t, w, second).Term; r <= reign {
		t.Errorf("reign %d after %d", r, reign)
	}
	until(t, w, "it is taken over where it stood", func() bool { // the stage may hold the one that sleeps: then it waits for that
		s := state(second).State
		return s.Fence.Term > int64(reign) && (s.Phase == rollout.Baking || s.Stage > 0 || s.Phase.Ends())
	})
	first.Keeper.Signal(syscall.SIGCONT)
	until(t, w, "the one that slept says once that it owns no more", func() bool {
		return strings.Count(first.Keeper.Log(), "msg=leader_term_ended term="+fmt.Sprint(int64(reign))) == 1
	})
	until(t, w, "the change is through", func() bool { return state(acts(nil)).State.Phase == rollout.Done })
	to := state(acts(nil)).To.Digest()
	until(t, w, "all run it", func() bool {
		return all(t, w, func(s supervisor.Status) bool { return s.RunningSpec == to && s.Fence.Term > int64(reign) })
	})
	if text := cli(t, w, "rollout", "status", "--agreed"); !strings.Contains(text, "done") {
		t.Error(text)
	}

	// A voter loses its memory: it is of no fleet until it is taken in under a new number.
	lost := acts(nil)
	number := get(t, w, lost).ID
	l.Stop() // a keeper's death takes its controller with it
	lost.Keeper.End()
	if err := os.Remove(filepath.Join(w.Dir, lost.Name, "owner.db")); err != nil {
		t.Fatal(err)
	}
	if err := w.Again(lost); err != nil {
		t.Fatal(err)
	}
	until(t, w, "it is back", func() bool { s, err := w.Status(lost); return err == nil && s.Serving })
	if v := get(t, w, lost); v.ID != 0 {
		t.Errorf("it came back as %d", v.ID)
	}
	acts(lost)
	cli(t, w, "fleet", "join", lost.Name)
	if v := get(t, w, lost); v.ID == 0 || v.ID == number || len(v.Voters) != 3 {
		t.Errorf("%+v after %d", v, number)
	}
	cli(t, w, "fleet", "step-down")
	acts(nil)

	// A majority loses its memory: nobody owns until an operator says with whose memory to begin anew.
	kept := w.Members[0]
	reign = get(t, w, acts(nil)).Term
	for _, m := range w.Members[1:] {
		m.Keeper.End()
		if err := os.Remove(filepath.Join(w.Dir, m.Name, "owner.db")); err != nil {
			t.Fatal(err)
		}
		if err := w.Again(m); err != nil {
			t.Fatal(err)
		}
		until(t, w, "it is back", func() bool { s, err := w.Status(m); return err == nil && s.Serving })
	}
	until(t, w, "nobody owns", func() bool { return !get(t, w, kept).Active })
	c := exec.Command(program, "fleet", "recover", kept.Name)
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.Fleet)
	if text, err := c.CombinedOutput(); err == nil || !strings.Contains(string(text), "--the-others-lost-their-memory") {
		t.Errorf("it recovers unasked: %s", text)
	}
	cli(t, w, "fleet", "recover", "--the-others-lost-their-memory", kept.Name)
	if m := acts(nil); get(t, w, m).Term <= reign || state(m).State.Phase != rollout.Done {
		t.Errorf("reign %d after %d, %+v", get(t, w, m).Term, reign, state(m).State)
	}
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Book.Log()) {
		t.Error(v)
	}
}

const problem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},{"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},{"name":"import","threads":1,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"}],"must":{},"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":30000}]}`

// A plan goes through a fleet as settings do, and a change after it takes it along; one with a lower number is refused.
func TestAPlanGoesThroughAFleet(t *testing.T) {
	t.Parallel()
	w, l := town(t, 2)
	folder := filepath.Join(w.Dir, "record")
	cli(t, w, "solve", write(t, w, "problem.json", problem), "--out", filepath.Join(w.Dir, "plan.json"), "--time", "20s")
	conducted := func(file, text string) (string, error) {
		p, err := w.Rollout(program, folder, "start", write(t, w, file, text))
		if err != nil {
			t.Fatal(err)
		}
		err = p.Await()
		return p.Log(), err
	}
	if text, err := conducted("change.json", fmt.Sprintf(`{"number":2,"kind":"plan","to":{"plan":"plan.json"},%s}`, pace)); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if text, err := conducted("next.json", settings(3)); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if !all(t, w, func(s supervisor.Status) bool {
		return len(s.Spec.Plan) > 0 && len(s.Spec.Shape) > 0 && s.RunningSpec == s.Spec.Digest() && s.Fence.Number == 3
	}) {
		t.Error("not all run both")
	}
	for _, m := range w.Members {
		if strings.Count(m.Keeper.Log(), "msg=plan_taken") != 1 { // the same plan once more is no new one
			t.Errorf("%s: %s", m.Name, m.Keeper.Log())
		}
	}
	if text, err := conducted("late.json", settings(1)); err == nil || !strings.Contains(text, "has taken order") {
		t.Errorf("an earlier number: %v: %s", err, text)
	}
	finish(t, w, l)
}

// The owner tells each controller what it carries and hands out a plan. It is lost, and the next one goes on, never with more
// than the whole out; with no owner each goes on to the end of its part and plan, and then as without one.
func TestPartsAndPlansOutliveTheirOwnerToTheirEnds(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: program, Seed: 6, Controllers: 4, Engines: 2, Voters: 3, Keepers: map[int]string{3: before}, Files: map[string]string{"problem.json": problem},
		Parts: `"parts":{"life_ms":3000},"planning":{"problem":"problem.json","every_ms":60000,"least_ms":1000,"life_ms":4000},`}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(1, 3, 10*time.Millisecond, true)
	cli(t, w, "fleet", "found")
	told := w.Members[:3] // the fourth one's keeper is of the format before: it takes no words
	watch := w.WatchParts(50 * time.Millisecond)
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
			if near := s.SharePerMillion - s.Assignment.Shares[quota.Fleet]; s.Assignment.Term <= reign || s.Assignment.Plan == "" || s.Assignment.Shares[quota.Fleet] == 0 || near < -1 || near > 1 {
				return false
			}
		}
		return len(list) == len(of)
	}
	until(t, w, "all go by their parts and a plan", func() bool {
		list := statuses(told)
		return settled(told, 0) && 2*list[0].SharePerMillion > 3*list[2].SharePerMillion // the first has double the clients
	})
	for _, m := range told {
		until(t, w, "its controller follows it", func() bool { return strings.Contains(m.Keeper.Log(), "msg=plan_taken") })
	}
	var first *testcluster.Member
	for _, m := range told {
		if get(t, w, m).Active {
			first = m
		}
	}
	if first == nil {
		t.Fatal("nobody owns any more")
	}
	reign := int64(get(t, w, first).Term)
	first.Keeper.Signal(syscall.SIGSTOP)
	others := slices.DeleteFunc(slices.Clone(told), func(m *testcluster.Member) bool { return m == first })
	until(t, w, "the next owner goes on", func() bool { return settled(others, reign) })
	first.Keeper.Signal(syscall.SIGCONT)
	until(t, w, "all go by it", func() bool { return settled(told, reign) })
	if err := watch.Stop(); err != nil {
		t.Error(err)
	}
	guess, err := w.Status(w.Members[3])
	if err != nil || guess.SharePerMillion == 0 || guess.Assignment.Term != 0 {
		t.Errorf("the one of the format before: %+v %v", guess.Assignment, err)
	}

	// No owner: two of three keepers are stopped. Their controllers serve on, and end their plans by themselves.
	for _, m := range told[1:] {
		m.Keeper.Signal(syscall.SIGSTOP)
	}
	until(t, w, "part and plan end", func() bool {
		s, err := w.Status(told[0])
		return err == nil && s.Assignment.Plan == "" && len(s.Assignment.Shares) == 0
	})
	until(t, w, "its controller guesses again", func() bool { s, err := w.Status(told[0]); return err == nil && s.SharePerMillion >= quota.FullShare/4 })
	done := l.Done.Load()
	until(t, w, "jobs are served all the while", func() bool { return l.Done.Load() > done+50 })
	for _, m := range told[1:] {
		m.Keeper.Signal(syscall.SIGCONT)
	}
	for _, m := range told[1:] {
		until(t, w, "its plan ended while its keeper slept", func() bool { return strings.Contains(m.Keeper.Log(), "msg=plan_ended") })
	}
	finish(t, w, l)
}

// An owner whose controller stands still hands over in order; one whose disk is full falls silent, and the next is told to lead
// at once. A voter that is gone for good is forgotten.
func TestAnOwnerThatIsUnfitHandsOver(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: steered, Seed: 8, Controllers: 3, Engines: 2, Voters: 3, ClockMS: map[int]int{0: -420_000, 1: 420_000}}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	cli(t, w, "fleet", "found")
	acts := func(but ...*testcluster.Member) (m *testcluster.Member) {
		t.Helper()
		until(t, w, "somebody owns", func() bool {
			for _, x := range w.Members {
				if !slices.Contains(but, x) && get(t, w, x).Active {
					m = x
					return true
				}
			}
			return false
		})
		return m
	}
	first := acts()
	c := exec.Command(program, "fleet", "found") // another fleet's operator, by mistake
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.Fleet)
	if text, err := c.CombinedOutput(); err == nil || !strings.Contains(string(text), "is a member already") {
		t.Errorf("a fleet is founded twice: %s", text)
	}
	s, err := w.Status(first)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Kill(s.PID, syscall.SIGSTOP)
	second := acts(first)
	syscall.Kill(s.PID, syscall.SIGCONT)
	l := w.NewLoad(1, 1, 10*time.Millisecond, false) // not before: what stands still answers late
	if text := first.Keeper.Log(); !strings.Contains(text, "msg=leader_handover") || !strings.Contains(text, `reason="its controller does not serve"`) {
		t.Errorf("%s", text)
	}
	if err := w.Disk(second.Name, "full"); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(program, "rollout", "start", "--agreed", write(t, w, "change.json", settings(1)))
	c.Env = append(os.Environ(), "ROUTER_OPERATOR="+w.Fleet)
	c.Run() // it may be begun by the next owner, or not at all
	third := acts(second)
	until(t, w, "it says why", func() bool { return strings.Contains(second.Keeper.Log(), "msg=leader_member_halted") })
	if text := cli(t, w, "fleet", "owner"); !strings.Contains(text, "no space left") {
		t.Error(text)
	}
	if err := w.Disk(second.Name, ""); err != nil {
		t.Fatal(err)
	}
	l.Stop() // a keeper's death takes its controller with it
	second.Keeper.End()
	if err := w.Again(second); err != nil {
		t.Fatal(err)
	}
	until(t, w, "it is back with its memory", func() bool { return get(t, w, second).RaftLeader != "" })
	acts()
	gone := w.Members[0]
	for _, m := range w.Members {
		if m != third && m != acts() {
			gone = m
		}
	}
	gone.Keeper.End()
	cli(t, w, "fleet", "forget", gone.Name)
	if v := get(t, w, acts(gone)); len(v.Voters) != 2 || slices.Contains(v.Voters, gone.Name) {
		t.Errorf("%+v", v)
	}
	if err := w.Again(gone); err != nil {
		t.Fatal(err)
	}
	until(t, w, "its controller is back", func() bool { s, err := w.Status(gone); return err == nil && s.Serving })
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, w.Book.Log()) {
		t.Error(v)
	}
}

// A plan that the operator's file gives an end ends while a change is under way; the change goes through all the same.
func TestAPlanEndsInTheMidstOfAChange(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "problem.json")
	if err := os.WriteFile(file, []byte(problem), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, err := exec.Command(program, "solve", file, "--out", filepath.Join(dir, "plan.json"), "--time", "20s").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	ends := monotonic.Now() + int64(6*time.Second)
	w, err := testcluster.Plan{Program: program, Seed: 9, Controllers: 2, Engines: 2, Operator: fmt.Sprintf(`"plan":{"file":%q,"until_boot_ns":%d},`, filepath.Join(dir, "plan.json"), ends)}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(1, 1, 10*time.Millisecond, false)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(program, folder, "start", write(t, w, "change.json", strings.Replace(settings(1), `"bake_ms":300`, `"bake_ms":4000`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "the first stage", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	if monotonic.Now() > ends {
		t.Log("the machine is slow: it ended before the first stage")
	}
	if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
		t.Fatalf("%v: %s", err, p.Log())
	}
	for _, m := range w.Members {
		until(t, w, "its plan has ended", func() bool { return strings.Count(m.Keeper.Log(), "msg=plan_ended") == 1 })
		if strings.Count(m.Keeper.Log(), "msg=plan_taken") != 1 {
			t.Errorf("%s", m.Keeper.Log())
		}
	}
	finish(t, w, l)
}

// order has a keeper run another program, past any conductor.
func order(t *testing.T, m *testcluster.Member, was supervisor.Status, path string) {
	t.Helper()
	want := was.Spec
	want.Program.Path = path
	var err error
	if want.Program.Digest, err = change.OfFile(path); err != nil {
		t.Fatal(err)
	}
	fleet := coordinator.NewFleet([]operator.Member{{Name: m.Name, Listen: m.Keeps}}, 2*time.Second, 2*time.Second)
	if errs := fleet.Order(context.Background(), map[int]change.Order{0: {Format: 1, Fence: change.Fence{Number: 1, Term: 1, Turn: 1}, By: "x", Member: m.Name, Want: want}}); len(errs) > 0 {
		t.Fatal(errs)
	}
}

// An engine just started while an older and a newer process of one controller live: together they keep rule 4.
func TestAColdEngineIsSparedByBothProcesses(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: program, Seed: 10, Controllers: 1, Engines: 2, Cold: true}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	w.Fates.Takes(120 * time.Millisecond)
	l := w.NewLoad(10, 60, 10*time.Millisecond, false)
	m := w.Members[0]
	until(t, w, "jobs are done", func() bool { return l.Done.Load() > 200 })
	s, err := w.Status(m)
	if err != nil {
		t.Fatal(err)
	}
	w.Reborn("e2")
	order(t, m, s, other)
	until(t, w, "both live", func() bool {
		s, err := w.Status(m)
		return err == nil && s.Version == "other" && len(s.DrainingPIDs) == 1
	})
	w.Reborn("e2") // once more, while they do
	until(t, w, "the older one has ended", func() bool { s, err := w.Status(m); return err == nil && len(s.DrainingPIDs) == 0 })
	cold := func() (n int) {
		started := int64(0)
		for _, e := range w.Book.Log() {
			if e.Event == rulecheck.Listed && e.Engine == "e2" {
				started = e.Started
			}
			if e.Event == rulecheck.Began && e.Engine == "e2" && started != 0 && e.TimeNS < started+testcluster.ColdRules().WarmUp {
				n++
			}
		}
		return n
	}
	was := cold()
	until(t, w, "the cold engine is given work by the newer one", func() bool { return cold() > was+5 })
	l.Stop()
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.ColdRules(), w.Book.Log()) {
		t.Error(v)
	}
	tight := testcluster.ColdRules()
	tight.WarmUpWorkPerCore /= 100
	if !slices.ContainsFunc(rulecheck.Check(tight, w.Book.Log()), func(v rulecheck.Violation) bool { return v.Rule == 4 }) {
		t.Error("so little was sent to it that nothing is shown")
	}
}

// What the older process has learned of engines goes over: one that it set aside is aside for the newer one from its start.
func TestAnEngineSetAsideIsAsideForTheNewerProcess(t *testing.T) {
	t.Parallel()
	w, err := testcluster.NewTown(program, 11, 1, 3, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(11, 10, 10*time.Millisecond, false)
	m := w.Members[0]
	w.Fates.Break("e2", true)
	var was supervisor.Status
	until(t, w, "it is set aside", func() bool { was, err = w.Status(m); return err == nil && was.EjectedEngines == 1 })
	broken := func() (n int) {
		for _, e := range w.Book.Log() {
			if e.Event == rulecheck.Began && e.Engine == "e2" {
				n++
			}
		}
		return n
	}
	l.Stop() // no job of the older one's is to count below
	order(t, m, was, other)
	until(t, w, "the newer one serves", func() bool { s, err := w.Status(m); return err == nil && s.Version == "other" && s.Serving })
	if s, err := w.Status(m); err != nil || s.EjectedEngines != 1 || !strings.Contains(m.Keeper.Log(), "msg=state_restored types=2 engines=3") {
		t.Errorf("%d aside, %v: %s", s.EjectedEngines, err, m.Keeper.Log())
	}
	before := broken()
	l = w.NewLoad(12, 10, 10*time.Millisecond, false)
	until(t, w, "jobs are done", func() bool { return l.Done.Load() > 100 })
	if n := broken() - before; n > 0 {
		t.Errorf("%d jobs were sent to it", n)
	}
	finish(t, w, l)
}

// A keeper takes its order and dies before it says so, an old controller is ended by hand meanwhile: the change goes through.
func TestAMemberThatDiesWithItsOrder(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Plan{Program: steered, Seed: 13, Controllers: 3, Engines: 2}.Town()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.NewLoad(13, 1, 10*time.Millisecond, false)
	folder := filepath.Join(w.Dir, "record")
	p, err := w.Rollout(steered, folder, "start", write(t, w, "change.json", strings.Replace(settings(1), `"bake_ms":300`, `"bake_ms":1000`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	until(t, w, "the first stage bakes", func() bool { return phase(folder).Phase == rollout.Baking || p.Over() })
	r, _, _ := coordinator.Look(folder).Record()
	var next, old *testcluster.Member
	for _, m := range w.Members {
		if !slices.Contains(r.Stages[0], m.Name) {
			next, old = m, next
		}
	}
	if next == nil || old == nil {
		t.Fatalf("%v", r.Stages)
	}
	s, err := w.Status(old)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Kill(s.PID, syscall.SIGTERM) // by hand: its keeper starts it again
	if err := w.Disk(next.Name, "400ms"); err != nil {
		t.Fatal(err)
	}
	until(t, w, "it is ordered, and has not said so", func() bool {
		text, _ := os.ReadFile(filepath.Join(w.Dir, next.Name, "held.json"))
		return strings.Contains(string(text), `"budget_free"`) || p.Over()
	})
	next.Keeper.End()
	if err := w.Disk(next.Name, ""); err != nil {
		t.Fatal(err)
	}
	if err := w.Again(next); err != nil {
		t.Fatal(err)
	}
	if err := p.Await(); err != nil || phase(folder).Phase != rollout.Done {
		t.Fatalf("%v, %+v: %s", err, phase(folder), p.Log())
	}
	if !all(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.To.Digest() && s.Serving }) {
		t.Error("not all run it")
	}
	finish(t, w, l)
}
