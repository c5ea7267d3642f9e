package planner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/canary"
	"swiftreel/internal/golden"
)

// The file in testdata was written by the program as it stood at commit 70e2e4b. With -record it is written if missing.

// When the fleet is planned, and for which problem, on drawn input, is what it was before.
func TestDecisionsAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintf(&lines, "%d: %s\n", seed, trace(t, seed))
	}
	golden.Check(t, "decisions.txt", lines.Bytes())
}

// trace is one run: the seconds at which it planned, and a digest of the problems.
func trace(t *testing.T, seed uint64) string {
	r, sum := rand.New(rand.NewPCG(seed, 9)), fnv.New64a()
	p := New(base, Timing{MaxInterval: 60e9, MinInterval: 5e9}, 0)
	var at []int64
	rates := [2]float64{100, 5}
	lists := [][]string{{"e1", "e2", "e3"}, {"e1", "e2", "e3"}, {"e1", "e2", "e3", "e9"}}
	for now := int64(1e9); now < 400e9; now += 1e9 {
		if r.IntN(12) == 0 {
			rates[r.IntN(2)] *= 0.4 + 2*r.Float64()
		}
		if r.IntN(15) == 0 {
			lists[r.IntN(3)] = [][]string{{"e1"}, {"e1", "e2"}, {"e1", "e2", "e3"}, {"e3", "e9"}, nil}[r.IntN(5)]
		}
		s := Observation{Engines: lists, Rates: map[string]map[canary.Group]float64{
			"east": {{Type: "lookup", Tenant: "acme"}: rates[0], {Type: "report", Tenant: "acme"}: rates[1], {Type: "other", Tenant: "acme"}: 3},
			"west": {{Type: "lookup", Tenant: "acme"}: 7, {Type: "lookup", Tenant: "nobody"}: 9}, "north": {{Type: "lookup", Tenant: "acme"}: 2}}}
		q, why := p.Next(now, s)
		if (q == nil) != (why == "") {
			t.Fatalf("seed %d at %d: %v for %q", seed, now, q, why)
		}
		if q == nil {
			continue
		}
		text, err := json.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		sum.Write(text)
		fmt.Fprint(sum, p.UnknownEngines())
		at = append(at, now/1e9)
		p.ReportResult(r.IntN(3) > 0)
	}
	return fmt.Sprintf("%v %016x", at, sum.Sum64())
}
