package supervisor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

func TestEndsInARowAreWaitedOutLongerAndLonger(t *testing.T) {
	var a again
	var waits []time.Duration
	for range 9 {
		waits = append(waits, a.ended(time.Second))
	}
	if waits[0] != againFirst || waits[3] != 8*againFirst || waits[8] != againMost || a.Crashes != 9 {
		t.Errorf("%v", waits)
	}
	if w := a.ended(time.Minute); w != againFirst {
		t.Errorf("after a long run: %v", w)
	}
}

func TestFieldsOfAnotherVersionAreKeptAndTold(t *testing.T) {
	s, err := ReadStatus([]byte(`{"format":2,"name":"c1","serves":true,"mood":"good","work":{"\"lookup\" \"a b\"":{"jobs":3,"within":2}}}`))
	if err != nil || !s.Serves || string(s.Others["mood"]) != `"good"` || len(s.Others) != 1 {
		t.Fatalf("%+v %v", s, err)
	}
	for g, w := range s.Work {
		if g.Type != "lookup" || g.Tenant != "a b" || w.Jobs != 3 {
			t.Errorf("%v %v", g, w)
		}
	}
	if _, err := ReadStatus([]byte(`{"work":{"lookup":{}}}`)); err == nil {
		t.Error("a group without its form is read")
	}
}

func TestWhatIsHeldIsReadWholeOrNotAtAll(t *testing.T) {
	dir := t.TempDir()
	program, file := filepath.Join(dir, "program"), filepath.Join(dir, "operator.json")
	os.WriteFile(program, []byte("x"), 0o700)
	os.WriteFile(file, []byte(`{"shape":{"cancel":false},"fleet":{"members":[]}}`), 0o600)
	o := Options{Name: "c1", State: filepath.Join(dir, "state"), Operator: file, Program: program}
	k, err := New(o)
	if err != nil || string(k.held.Want.Shape) != `{"cancel":false}` || k.held.Fence != (change.Fence{}) {
		t.Fatalf("%+v %v", k, err)
	}
	order := change.Order{Format: 1, Fence: change.Fence{Number: 4, Term: 2, Turn: 9}, By: "x", Member: "c1", Want: k.held.Want}
	if err := k.Take(order); err != nil {
		t.Fatal(err)
	}
	c := &child{file: k.path("operator-1.json")}
	if !k.file(c, k.held, assignment.Accepted{}, true) || c.told != (told{spec: k.held.Want.Digest(), elder: true}) {
		t.Fatal(k.failed)
	}
	var parts map[string]json.RawMessage
	text, _ := os.ReadFile(c.file)
	if json.Unmarshal(text, &parts); parts["fleet"] != nil || !strings.Contains(string(parts["tally"]), string(k.held.Want.Digest())) {
		t.Errorf("%s", text)
	}
	if k, err = New(o); err != nil || k.held.Fence != order.Fence || k.held.By != "x" {
		t.Errorf("read back as %+v, %v", k.held, err)
	}
	text, _ = os.ReadFile(k.path("held.json"))
	os.WriteFile(k.path("held.json"), text[:len(text)/2], 0o600)
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "held.json") {
		t.Errorf("a torn record: %v", err)
	}
}

func TestAProgramThatCannotLiveNeverTakesThePlaceOfOneThatDoes(t *testing.T) {
	for i, c := range []struct {
		s    scene
		want act
	}{
		{scene{}, startOne}, {scene{wait: true}, nothing}, {scene{olds: 1}, startOne}, {scene{olds: 2}, nothing},
		{scene{now: true, nowFits: true}, tell}, {scene{now: true, nowFits: true, told: true}, nothing},
		{scene{now: true}, startOne}, {scene{now: true, olds: 1}, nothing}, {scene{now: true, wait: true}, nothing},
		{scene{now: true, next: true, nextFits: true}, nothing}, {scene{now: true, next: true, nextFits: true, nextReady: true}, promote},
		{scene{now: true, next: true, nextReady: true}, discard}, {scene{now: true, nowFits: true, next: true, nextFits: true}, discard},
		{scene{next: true}, promote}, {scene{drain: true, now: true, next: true}, endAll}, {scene{drain: true}, nothing},
	} {
		if got := c.s.decide(); got != c.want {
			t.Errorf("%d: %+v: %d, not %d", i, c.s, got, c.want)
		}
	}
	for n := range 1 << 8 { // all scenes: a second program never starts beside two, and serves only when ready or alone
		b := func(i int) bool { return n>>i&1 == 1 }
		s := scene{b(0), b(1), b(2), b(3), b(4), b(5), n >> 6 & 1, b(7), false}
		switch a := s.decide(); {
		case a == startOne && (s.next || s.now && s.olds > 0 || s.drain || s.wait):
			t.Errorf("%+v starts one more", s)
		case a == promote && s.now && !(s.nextReady && s.nextFits):
			t.Errorf("%+v has the next serve", s)
		}
	}
}

func TestOneOutOfServiceSaysWhenItIsMended(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	os.WriteFile(program, []byte("x"), 0o700)
	k, err := New(Options{Name: "c1", State: filepath.Join(dir, "state"), Program: program})
	if err != nil {
		t.Fatal(err)
	}
	k.held.Drain = true
	os.Remove(program)
	k.fits(k.held.Want.Program)
	k.turn(t.Context())
	if s := k.Status(); s.Failed == "" || !s.Drained {
		t.Fatalf("%+v", s)
	}
	os.WriteFile(program, []byte("y"), 0o700) // another one is no mend
	k.checked = time.Time{}
	if k.turn(t.Context()); k.Status().Failed == "" {
		t.Error("another program mends it")
	}
	os.WriteFile(program, []byte("x"), 0o700)
	k.checked = time.Time{}
	if k.turn(t.Context()); k.Status().Failed != "" || !k.Status().Drained {
		t.Errorf("%+v", k.Status())
	}
}

// A lower part counts as taken once the controller goes by it: that its keeper has heard of it is not enough.
func TestAPartIsTakenOnceTheControllerHasIt(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	os.WriteFile(program, []byte("x"), 0o700)
	k, err := New(Options{Name: "c1", State: filepath.Join(dir, "state"), Program: program})
	if err != nil {
		t.Fatal(err)
	}
	var got []jobstats.Part
	well := false
	door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var p jobstats.Part
		if !well || json.NewDecoder(r.Body).Decode(&p) != nil {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		got = append(got, p)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer door.Close()
	c := &child{program: k.held.Want.Program, ended: make(chan struct{}), address: strings.TrimPrefix(door.URL, "http://")}
	c.report.Ready = true
	c.cmd = exec.Command("true")
	c.cmd.Process = &os.Process{Pid: os.Getpid()}
	k.now = c
	hear := func(count, share int64) {
		t.Helper()
		if err := k.Hear(assignment.Assignment{Term: 1, Sequence: count, Leader: "a", Member: "c1", Incarnation: k.life, Shares: quota.Shares{quota.Fleet: share, quota.TenantQuota("acme"): 7}, SharesUntil: monotonic.Now() + 60e9}); err != nil {
			t.Fatal(err)
		}
	}
	hear(3, 500_000)
	if c.carry(t.Context(), &k.http, k.word) || k.Status().Carried != 0 {
		t.Error("it counts as taken, and was not")
	}
	well = true
	if !c.carry(t.Context(), &k.http, k.word) || len(got) != 1 || got[0].PerMillion != 500_000 || got[0].Quotas["acme"] != 7 {
		t.Fatalf("%+v", got)
	}
	if c.part = [2]int64{1, 3}; k.Status().Carried != 3 {
		t.Error("it was taken, and does not count")
	}
	if hear(4, 100_000); k.Status().Carried != 0 {
		t.Error("the next counts before it is taken")
	}
	k.olds = append(k.olds, &child{cmd: c.cmd})
	if c.part = [2]int64{1, 4}; k.Status().Carried != 0 {
		t.Error("an older process goes by an earlier part, and it counts")
	}
}
