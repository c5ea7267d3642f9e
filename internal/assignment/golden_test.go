package assignment

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"swiftreel/internal/change"
	"swiftreel/internal/quota"
)

// The files in testdata were written by the program as it stood at commit 70e2e4b. With -record a missing one is written.
var record = flag.Bool("record", false, "write files of testdata that are not there")

func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if *record && errors.Is(err, fs.ErrNotExist) {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return got
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwanted:\n%s", name, got, want)
	}
	return want
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// A word and what is held of words are written to the byte as before, and read back whole.
func TestFormsOfWordsStay(t *testing.T) {
	text := json.RawMessage(`{"method":"m","status":"optimal"}`)
	full := Word{Format: change.Format, Reign: 5, Count: 17, Owner: "v1", Member: "c1", Life: "0123456789abcdef",
		Part: quota.Share{quota.Fleet: 250_000, quota.Quota("acme"): 500_000, quota.Quota(""): 1}, PartUntil: 123_456_789_000,
		Plan: change.OfJSON(text), PlanUntil: 987_654_321_000, Text: text}
	for name, w := range map[string]Word{"word-full.json": full, "word-least.json": {Format: change.Format, Reign: 1, Count: 1, Owner: "a", Member: "b", Life: "c"}} {
		got, err := ReadWord(bytes.NewReader(golden(t, name, marshal(t, w))))
		if err != nil || !reflect.DeepEqual(got, w) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
	}
	held, err := Held{}.Take(full, "c1", "0123456789abcdef", 1000)
	if err != nil {
		t.Fatal(err)
	}
	for name, h := range map[string]Held{"held-full.json": held, "held-none.json": {}} {
		var got Held
		if err := json.Unmarshal(golden(t, name, marshal(t, h)), &got); err != nil {
			t.Fatal(err)
		}
		h.Text = nil // it is not told in a status
		if !reflect.DeepEqual(got, h) {
			t.Errorf("%s is read as %+v", name, got)
		}
	}
}
