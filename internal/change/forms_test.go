package change

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"swiftreel/internal/golden"
)

// The files in testdata hold change files, what is read from them, orders and digests, as the previous release wrote
// them. The format must not change.

func indented(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func TestChangeFilesAreReadAsTheyWere(t *testing.T) {
	for _, name := range []string{"settings", "settings-null", "plan", "program"} {
		t.Run(name, func(t *testing.T) {
			c, err := Load(filepath.Join("testdata", "change-"+name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "change-"+name+".golden", indented(t, c))
			from := Spec{
				Program:  Program{Path: "/old", Digest: "0123"},
				Topology: json.RawMessage(`{"budget_free":5}`),
				Plan:     json.RawMessage(`{"steps":[]}`),
			}
			to, err := c.TargetSpec(from)
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "spec-"+name+".golden", append(indented(t, to), to.Digest()+"\n"...))
		})
	}
}

func TestOrdersAndAcceptedOrdersAreWrittenAsTheyWere(t *testing.T) {
	spec := Spec{
		Program:  Program{Path: "/opt/swiftreel", Digest: "0123"},
		Topology: json.RawMessage(`{"budget_free":5}`),
		Plan:     json.RawMessage(`{"steps":[]}`),
	}
	o := Order{
		Format:        2,
		Fence:         Fence{3, 2, 1},
		CoordinatorID: "record",
		Member:        "c1",
		Spec:          spec,
		Drain:         true,
		Reason:        "stage 1 passed",
	}
	held, is, err := AcceptedOrder{}.Accept(o)
	if err != nil || !is {
		t.Fatal(is, err)
	}
	text := bytes.Join(
		[][]byte{indented(t, o), indented(t, o.ForFormat(1)), indented(t, held), indented(t, AcceptedOrder{})},
		nil,
	)
	golden.Check(t, "order.golden", text)
}

func TestDigestsAreAsTheyWere(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("a program"), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := FileDigest(path)
	if err != nil {
		t.Fatal(err)
	}
	list := []Digest{
		file,
		JSONDigest(map[string]any{"b": 1, "a": []any{"x", nil, 0.5}}),
		Spec{}.Digest(),
		Spec{Program: Program{Digest: "0123"}, Topology: json.RawMessage(`{"b":1,"a":2}`)}.Digest(),
		Spec{Program: Program{Digest: "0123"}, Plan: json.RawMessage(`{"steps":[]}`)}.Digest(),
	}
	golden.Check(t, "digests.golden", indented(t, list))
}

// The error texts of refused orders are part of supervisors' replies, and operators search for them.
func TestRefusalsAreWordedAsTheyWere(t *testing.T) {
	good := `{"format":2,"fence":{"number":1,"term":1,"turn":1},"by":"x","member":"c1",` +
		`"want":{"program":{"path":"/p","digest":"d"}}}`
	var lines []string
	for _, c := range [][2]string{
		{`"by":"x"`, `"by":"x","hurry":true`},
		{`"format":2`, `"format":3`},
		{`"format":2`, `"format":1,"why":"y"`},
		{`"by":"x"`, `"by":"x","why":"` + strings.Repeat("y", 1001) + `"`},
		{`"turn":1`, `"turn":0`},
		{`"by":"x"`, `"by":""`},
		{`"digest":"d"`, `"digest":""`},
		{`}}}`, `}}`},
		{`{`, strings.Repeat(" ", 4<<20+1)},
	} {
		_, err := ReadOrder(strings.NewReader(strings.Replace(good, c[0], c[1], 1)))
		if err == nil {
			t.Fatalf("%.40q is accepted", c[1])
		}
		lines = append(lines, err.Error())
	}
	o := Order{
		Format:        2,
		Fence:         Fence{1, 1, 2},
		CoordinatorID: "x",
		Member:        "c1",
		Spec:          Spec{Program: Program{Path: "/p", Digest: "d"}},
	}
	held, _, _ := AcceptedOrder{}.Accept(o)
	early, other, another := o, o, o
	early.Fence.Revision, other.CoordinatorID, another.Drain = 1, "y", true
	for _, o := range []Order{early, other, another} {
		_, _, err := held.Accept(o)
		if err == nil {
			t.Fatalf("%+v is accepted", o)
		}
		lines = append(lines, err.Error())
	}
	golden.Check(t, "refusals.golden", indented(t, lines))
}

// Every exported field of an encoded type has a tag with its JSON key, so that renaming the field does not change it.
func TestEveryFieldStatesItsKey(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type)
	walk = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(typ.Elem())
		case reflect.Struct:
			if seen[typ] {
				return
			}
			seen[typ] = true
			for i := range typ.NumField() {
				f := typ.Field(i)
				if f.IsExported() && f.Tag.Get("json") == "" {
					t.Errorf("%v.%s has no key", typ, f.Name)
				}
				walk(f.Type)
			}
		}
	}
	for _, v := range []any{Change{}, Order{}, AcceptedOrder{}} {
		walk(reflect.TypeOf(v))
	}
	if len(seen) < 8 {
		t.Errorf("only %d types were seen", len(seen))
	}
}
