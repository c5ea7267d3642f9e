package ilp

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/golden"
)

// The file in testdata was written by the program as it stood at commit 70e2e4b. With -record it is written if missing.

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
			s.MaxNodes = 1 + n%7
		}
		if n%5 == 1 {
			s.Cutoff = int64(n % 40)
		}
		got := s.Run()
		fmt.Fprintf(&lines, "%d: lp %d after %d, bound %d %v; %v value %d bound %d done %v nodes %d\n", n, ended, lp.Pivots, bound, known,
			got.Values, got.Value, got.Bound, got.Complete, got.Nodes)
	}
	golden.Check(t, "searches.txt", lines.Bytes())
}
