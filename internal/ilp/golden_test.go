package ilp

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

// The file in testdata was written by the program as it stood at commit 70e2e4b. With -record it is written if it is missing.
var record = flag.Bool("record", false, "write files of testdata that are not there")

// Each search takes the same nodes to the same answer as before, also where it is stopped.
func TestSearchesAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	r := rand.New(rand.NewPCG(11, 12))
	for n := range 600 {
		p := drawn(r)
		lp := NewLP(p)
		ended := lp.Solve(func() bool { return false })
		bound, known := p.Bound(lp.Multipliers(ended))
		s := NewSearch(p)
		if n%3 == 1 {
			s.Nodes = 1 + n%7
		}
		if n%5 == 1 {
			s.Above = int64(n % 40)
		}
		got := s.Run()
		fmt.Fprintf(&lines, "%d: lp %d after %d, bound %d %v; %v value %d bound %d done %v nodes %d\n", n, ended, lp.Turns, bound, known,
			got.X, got.Value, got.Bound, got.Done, got.Nodes)
	}
	path := filepath.Join("testdata", "searches.txt")
	want, err := os.ReadFile(path)
	if *record && errors.Is(err, fs.ErrNotExist) {
		if err := os.WriteFile(path, lines.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines.Bytes(), want) {
		t.Errorf("%s\nwanted:\n%s", lines.Bytes(), want)
	}
}
