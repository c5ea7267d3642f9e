package coordinator

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"swiftreel/internal/canary"
)

// The tests read files that the previous release wrote, see fixtures_test.go: written again they must be identical to
// the byte.

// storedFolders returns the fixture folders.
func storedFolders(t *testing.T) []string {
	t.Helper()
	list, err := filepath.Glob("testdata/folders/*")
	if err != nil || len(list) < 12 {
		t.Fatalf("%d folders: %v", len(list), err)
	}
	return list
}

func checkSameFile(t *testing.T, want, got string) {
	t.Helper()
	a, err := os.ReadFile(want)
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Errorf("%s is written as\n%s\ninstead of\n%s", want, b, a)
	}
	info, err := os.Stat(got)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%s: %v %v", got, info.Mode(), err)
	}
}

// readStrictly decodes a file that must not contain unknown fields. It returns false if there is no file.
func readStrictly(t *testing.T, path string, into any) bool {
	t.Helper()
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		t.Errorf("%s: %v", path, err)
	}
	return true
}

func TestStoredFilesAreWrittenAsTheyWere(t *testing.T) {
	for _, folder := range storedFolders(t) {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			from, to := OpenUnlocked(folder), OpenUnlocked(t.TempDir())
			record, is, err := from.Record()
			if err != nil || !is {
				t.Fatal(is, err)
			}
			var strict Record
			readStrictly(t, from.path(recordFile), &strict)
			if err := to.write(recordFile, record); err != nil {
				t.Fatal(err)
			}
			checkSameFile(t, from.path(recordFile), to.path(recordFile))
			if readStrictly(t, from.path(baselineFile), canary.NewBaseline()) {
				base, err := from.Baseline()
				if err != nil {
					t.Fatal(err)
				}
				if err := to.write(baselineFile, base); err != nil {
					t.Fatal(err)
				}
				checkSameFile(t, from.path(baselineFile), to.path(baselineFile))
			}
			if readStrictly(t, from.path(requestFile), &OperatorRequest{}) {
				if err := to.write(requestFile, from.PendingRequest()); err != nil {
					t.Fatal(err)
				}
				checkSameFile(t, from.path(requestFile), to.path(requestFile))
			}
			steps, err := from.History()
			if err != nil || len(steps) == 0 {
				t.Fatal(len(steps), err)
			}
			for _, s := range steps {
				to.addTransition(s)
			}
			checkSameFile(t, from.path(historyFile), to.path(historyFile))
			points, err := from.Samples()
			if err != nil {
				t.Fatal(err)
			}
			if len(points) > 0 {
				for _, p := range points {
					to.addSample(p)
				}
				checkSameFile(t, from.path(samplesFile), to.path(samplesFile))
			}
		})
	}
}

func TestALongFileOfLinesBeginsAnewAndKeepsOneBefore(t *testing.T) {
	f := OpenUnlocked(t.TempDir())
	f.addTransition(Transition{Number: 1})
	if err := os.Truncate(f.path(historyFile), maxHistoryBytes+1); err != nil {
		t.Fatal(err)
	}
	f.addTransition(Transition{Number: 2})
	steps, err := f.History()
	if err != nil || len(steps) != 1 || steps[0].Number != 2 {
		t.Errorf("%v %v", steps, err)
	}
	if info, err := os.Stat(f.path("history.jsonl.before")); err != nil || info.Size() != maxHistoryBytes+1 {
		t.Errorf("%v %v", info, err)
	}
}

// Every exported field of a stored type has a tag with its JSON key, so that renaming the field does not change it.
func TestEveryStoredFieldStatesItsKey(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type)
	walk = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(typ.Elem())
		case reflect.Struct:
			if seen[typ] || typ == reflect.TypeFor[time.Time]() {
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
	for _, v := range []any{Record{}, Transition{}, PollSummary{}, OperatorRequest{}} {
		walk(reflect.TypeOf(v))
	}
	if len(seen) < 13 {
		t.Errorf("only %d types were seen", len(seen))
	}
}
