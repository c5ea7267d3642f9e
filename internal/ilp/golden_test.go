package ilp

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/golden"
)

// The search is deterministic: each search visits as many nodes and gives the same result as recorded, also when
// stopped early. testdata/searches.txt was recorded at commit 70e2e4b; -record writes it if it is missing.
func TestSearchesMatchRecordedResults(t *testing.T) {
	var lines bytes.Buffer
	random := rand.New(rand.NewPCG(11, 12))
	for n := range 600 {
		p := randomProgram(random)
		lp := NewLP(p)
		outcome := lp.Solve(func() bool { return false })
		bound, isExact := p.Bound(lp.Multipliers(outcome))
		search := NewSearch(p)
		if n%3 == 1 {
			search.MaxNodes = 1 + n%7
		}
		if n%5 == 1 {
			search.Cutoff = int64(n % 40)
		}
		got := search.Run()
		fmt.Fprintf(&lines, "%d: lp %d after %d, bound %d %v; ", n, outcome, lp.Pivots, bound, isExact)
		fmt.Fprintf(&lines, "%v value %d bound %d done %v nodes %d\n",
			got.Values, got.Value, got.Bound, got.Complete, got.Nodes)
	}
	golden.Check(t, "searches.txt", lines.Bytes())
}
