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

// The file in testdata was written by the version at commit 70e2e4b. With -record it is written if missing.

// On random input, plans are due at the same times and for the same problems as in the earlier version.
func TestDecisionsAreThoseOfAnEarlierProgram(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(40) {
		fmt.Fprintf(&lines, "%d: %s\n", seed, decisionTrace(t, seed))
	}
	golden.Check(t, "decisions.txt", lines.Bytes())
}

var (
	lookup         = canary.Group{Type: "lookup", Tenant: "acme"}
	report         = canary.Group{Type: "report", Tenant: "acme"}
	unlistedType   = canary.Group{Type: "other", Tenant: "acme"}
	unlistedTenant = canary.Group{Type: "lookup", Tenant: "nobody"}
)

// decisionTrace runs a planner on random input, and returns the seconds at which plans were due and a digest of the
// problems.
func decisionTrace(t *testing.T, seed uint64) string {
	t.Helper()
	random, problems := rand.New(rand.NewPCG(seed, 9)), fnv.New64a()
	p := New(base, Timing{MaxInterval: 60e9, MinInterval: 5e9}, 0)
	var dueAt []int64 // in seconds
	rates := [2]float64{100, 5}
	lists := [][]string{{"e1", "e2", "e3"}, {"e1", "e2", "e3"}, {"e1", "e2", "e3", "e9"}}
	for now := int64(1e9); now < 400e9; now += 1e9 {
		if random.IntN(12) == 0 {
			rates[random.IntN(2)] *= 0.4 + 2*random.Float64()
		}
		if random.IntN(15) == 0 {
			lists[random.IntN(3)] = [][]string{{"e1"}, {"e1", "e2"}, {"e1", "e2", "e3"}, {"e3", "e9"}, nil}[random.IntN(5)]
		}
		problem, reason := p.Next(now, Observation{Engines: lists, Rates: map[string]map[canary.Group]float64{
			"east":  {lookup: rates[0], report: rates[1], unlistedType: 3},
			"west":  {lookup: 7, unlistedTenant: 9},
			"north": {lookup: 2},
		}})
		if (problem == nil) != (reason == "") {
			t.Fatalf("seed %d at %d: %v for %q", seed, now, problem, reason)
		}
		if problem == nil {
			continue
		}
		text, err := json.Marshal(problem)
		if err != nil {
			t.Fatal(err)
		}
		problems.Write(text)
		fmt.Fprint(problems, p.UnknownEngines())
		dueAt = append(dueAt, now/1e9)
		p.ReportResult(random.IntN(3) > 0)
	}
	return fmt.Sprintf("%v %016x", dueAt, problems.Sum64())
}
