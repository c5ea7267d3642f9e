package keep

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/change"
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
	if !k.file(k.held) {
		t.Fatal(k.failed)
	}
	var parts map[string]json.RawMessage
	text, _ := os.ReadFile(k.path("operator.json"))
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
