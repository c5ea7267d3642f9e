// Package golden compares the output of a test with a file in testdata. Only tests import it.
package golden

import (
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

var record = flag.Bool("record", false, "write golden files that do not exist yet; existing ones are never overwritten")

// ShouldRecord reports whether the file at path does not exist and the test is to write it, because -record is set.
// Without -record it returns false.
func ShouldRecord(path string) bool {
	_, err := os.Stat(path)
	return *record && errors.Is(err, fs.ErrNotExist)
}

// Check fails the test unless got equals the contents of testdata/name byte for byte. With -record, a missing file is
// written first.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if ShouldRecord(path) {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s differs:\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}
