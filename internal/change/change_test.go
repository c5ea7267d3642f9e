package change

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func spec(program string) Spec { return Spec{Program: Program{Path: "/p", Digest: Digest(program)}} }

func TestAnOrderThatComesLateTwiceOrFromAnotherChangesNothing(t *testing.T) {
	order := func(number, term, revision int64, by, program string) Order {
		fence := Fence{number, term, revision}
		return Order{Format: Format, Fence: fence, CoordinatorID: by, Member: "c1", Spec: spec(program)}
	}
	var accepted AcceptedOrder
	for i, c := range []struct {
		order   Order
		changed bool
		refusal error  // an error of the expected type
		text    string // of the refusal
	}{
		{order(1, 1, 1, "x", "new"), true, nil, ""},
		{order(1, 1, 1, "x", "new"), false, nil, ""},
		{order(1, 1, 1, "x", "old"), false, &ConflictingOrderError{}, "did not"},
		{order(1, 1, 3, "x", "old"), true, nil, ""},
		{order(1, 1, 2, "x", "new"), false, &StaleOrderError{}, "comes after"},
		{order(1, 1, 4, "y", "new"), false, &ForeignOrderError{}, "conducts"},
		{order(1, 2, 1, "y", "new"), true, nil, ""},
		{order(1, 1, 9, "x", "old"), false, &StaleOrderError{}, "comes after"},
		{order(2, 1, 1, "z", "old"), true, nil, ""},
		{order(1, 7, 7, "y", "new"), false, &StaleOrderError{}, "comes after"},
	} {
		before := accepted
		next, changed, err := accepted.Accept(c.order)
		if changed != c.changed || (err != nil) != (c.text != "") || err != nil && !strings.Contains(err.Error(), c.text) {
			t.Errorf("%d: %v %v", i, changed, err)
		}
		if err != nil && reflect.TypeOf(err) != reflect.TypeOf(c.refusal) {
			t.Errorf("%d: refused by a %T, not a %T", i, err, c.refusal)
		}
		if !changed && next.Fence != before.Fence {
			t.Errorf("%d: a refused order changed the fence", i)
		}
		accepted = next
	}
}

func TestOrdersAreReadWholeOrNotAtAll(t *testing.T) {
	good := `{"format":1,"fence":{"number":1,"term":1,"turn":1},"by":"x","member":"c1",` +
		`"want":{"program":{"path":"/p","digest":"d"}}}`
	if _, err := ReadOrder(strings.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	tooLong := `"format":2,"why":"` + strings.Repeat("y", maxReasonBytes+1) + `"`
	for _, c := range [][2]string{
		{`"by":"x"`, `"by":"x","hurry":true`},
		{`"format":1`, `"format":3`},
		{`"format":1`, `"format":0`},
		{`"by":"x"`, `"by":"x","why":"y"`},
		{`"format":1`, tooLong},
		{`"turn":1`, `"turn":0`},
		{`"by":"x"`, `"by":""`},
		{`"digest":"d"`, `"digest":""`},
		{`}}}`, `}}`},
	} {
		if _, err := ReadOrder(strings.NewReader(strings.Replace(good, c[0], c[1], 1))); err == nil ||
			!strings.HasPrefix(err.Error(), "/") {
			t.Errorf("%s: %v", c[1], err)
		}
	}
}

func TestOrdersAreWrittenAsTheirReaderReadsThem(t *testing.T) {
	o := Order{
		Format:        Format,
		Fence:         Fence{1, 1, 1},
		CoordinatorID: "x",
		Member:        "c1",
		Spec:          spec("d"),
		Reason:        strings.Repeat("é", maxReasonBytes),
	}
	for theirs, want := range map[int]int{0: 1, 1: 1, 2: 2, 3: 2} {
		f := FormatFor(theirs)
		text, _ := json.Marshal(o.ForFormat(f))
		if p, err := ReadOrder(strings.NewReader(string(text))); f != want || err != nil ||
			(p.Reason != "") != (want > 1) {
			t.Errorf("to %d: %d, %q %v", theirs, f, p.Reason, err)
		}
	}
}

func TestASpecIsNamedByWhatItHolds(t *testing.T) {
	a, b := spec("d"), spec("d")
	a.Topology, b.Topology = json.RawMessage(
		`{"cancel": true, "budget_free":5}`,
	), json.RawMessage(
		`{"budget_free":5,"cancel":true}`,
	)
	b.Program.Path = "/elsewhere"
	if a.Digest() != b.Digest() {
		t.Error("white space, the order of keys or the program's path changes the digest")
	}
	if b.Topology = json.RawMessage(`{}`); a.Digest() == b.Digest() || spec("d").Digest() == b.Digest() {
		t.Error("different specs have the same digest")
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestEveryFaultOfAChangeIsNamed(t *testing.T) {
	dir := t.TempDir()
	for text, faults := range map[string][]string{
		`{"number":0,"kind":"settings","to":{"shape":{}},"hurry":1}`: {"/number:", "hurry"},
		`{"number":1,"kind":"plan","to":{"shape":{}}}`:               {"/to: kind plan"},
		`{"number":1,"kind":"settings","to":{"shape":{}},"stages":[{"per_mille":300},{"per_mille":200}]}`: {
			"/stages/1/per_mille: 200", "/stages/1/per_mille: the last",
		},
		`{"number":1,"kind":"settings","to":{"shape":{}},"stages":[{},{"per_mille":1000}]}`: {"/stages/0: either"},
		`{"number":1,"kind":"settings","to":{"shape":{}},"pace":{"bake_ms":2000000}}`:       {"/pace/most_ms"},
		`{"number":1,"kind":"settings","to":{"shape":{}},"limits":{"missed_per_mille":-1}}`: {
			"/limits/missed_per_mille",
		},
	} {
		path := filepath.Join(dir, "c.json")
		writeFile(t, path, text)
		_, err := Load(path)
		for _, s := range faults {
			if err == nil || !strings.Contains(err.Error(), s) {
				t.Errorf("%s: %v, not %s", text, err, s)
			}
		}
	}
	path := filepath.Join(dir, "c.json")
	writeFile(t, path, `{"number":3,"kind":"settings","to":{"shape":{}},"limits":{"missed_per_mille":1}}`)
	c, err := Load(path)
	if err != nil || c.Timing.BakeMS != 60_000 || len(c.Stages) != 3 || c.Limits.MissedPerMille != 1 ||
		c.Limits.MaxCrashes != 2 {
		t.Errorf("%+v %v", c, err)
	}
}

func TestStagesKeepTheOldVersionInEachZoneAndType(t *testing.T) {
	places := []Candidate{
		{"a1", "a", nil, 500},
		{"a2", "a", nil, 100},
		{"a3", "a", nil, 90},
		{"b1", "b", nil, 110},
		{"b2", "b", []string{"load"}, 100},
		{"b3", "b", []string{"load"}, 2},
	}
	list, err := PlanStages([]Stage{{PerMille: 1}, {PerMille: 500}, {PerMille: 900}, {PerMille: 1000}}, places)
	if err != nil || len(list) != 4 {
		t.Fatalf("%v %v", list, err)
	}
	if len(list[0]) != 1 || list[0][0] != "a2" {
		t.Errorf("the first controller is not a typical one: %v", list[0])
	}
	for _, s := range list[:3] {
		left := map[string]int{}
		for _, p := range places {
			if !slices.Contains(s, p.Name) {
				left[p.Zone]++
				for _, typ := range p.Types {
					left[typ]++
				}
			}
		}
		if left["a"] == 0 || left["b"] == 0 || left["load"] == 0 {
			t.Errorf("stage %v leaves %v on the old version", s, left)
		}
	}
	if len(list[3]) != 6 {
		t.Errorf("the last stage does not include all: %v", list[3])
	}
	if list, _ := PlanStages([]Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: 1000}}, places[:2]); len(list) != 2 {
		t.Errorf("two controllers: %v", list)
	}
	if _, err := PlanStages([]Stage{{Members: []string{"zz"}}, {PerMille: 1000}}, places); err == nil ||
		!strings.HasPrefix(err.Error(), "/stages/0/members/0") {
		t.Error(err)
	}
}
