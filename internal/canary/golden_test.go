package canary

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/golden"
)

// sampleFleet draws looks at a fleet of four members from a seed.
type sampleFleet struct {
	random *rand.Rand
	// Of a job by the new version: cancelled for good, over its SLA time, dispatched again, buckets later.
	cancelled, missed, further float64
	later                      int
	day                        float64 // added misses of all members, old and new
	probes                     uint64
	memoryMB                   float64
	crashes                    uint64
	silent                     bool // the new version gets jobs of type report only
}

func (f *sampleFleet) work(isNew bool, typ string) Work {
	jobs := 5 + f.random.IntN(20)
	w := Work{Took: make([]uint64, 48)}
	for range jobs {
		w.Jobs++
		w.Dispatches++
		draw := f.random.Float64()
		if isNew && f.random.Float64() < f.further {
			w.Dispatches++
			w.Further++
		}
		if isNew && f.random.Float64() < f.cancelled {
			w.Cancelled++
			continue
		}
		if draw < 0.01 {
			w.Throttled++
			continue
		}
		w.Done++
		limit := 0.03 + f.day
		if isNew {
			limit += f.missed
		}
		if draw >= limit {
			w.Within++
		}
		bucket := 10 + f.random.IntN(12)
		if typ == "report" {
			bucket += 10
		}
		if isNew {
			bucket += f.later
		}
		w.Took[bucket]++
	}
	return w
}

func (f *sampleFleet) look(newMembers int) []Seen {
	var list []Seen
	for i := range 4 {
		isNew := i < newMembers
		s := Seen{Member: fmt.Sprintf("c%d", i+1), New: isNew, MemoryMB: 30 + 2*f.random.Float64(), CPU: 40e6, Probes: 5, Aside: i % 2,
			Work: map[Group]Work{}}
		for _, g := range []Group{{Type: "lookup", Tenant: "acme"}, {Type: "lookup", Tenant: "bee"}, {Type: "report", Tenant: "acme"}} {
			w := f.work(isNew, g.Type)
			if isNew && f.silent && g.Type == "lookup" {
				continue
			}
			s.Work[g] = w
		}
		if isNew {
			s.Probes += f.probes
			s.MemoryMB += f.memoryMB
			s.Crashes = f.crashes
		}
		list = append(list, s)
	}
	return list
}

func newSampleFleet(seed uint64) *sampleFleet {
	return &sampleFleet{random: rand.New(rand.NewPCG(seed, 3))}
}

// sampleBase is what thirty looks at an unchanged fleet gave.
func sampleBase(f *sampleFleet) *Base {
	b := NewBase()
	for range 30 {
		b.Look(f.look(0))
	}
	return b
}

// TestVerdictsAreThoseRecorded holds every verdict on drawn fleets against those that the program gave when they were
// recorded, evidence to twelve digits.
func TestVerdictsAreThoseRecorded(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *sampleFleet)
	}{
		{"alike", func(*sampleFleet) {}},
		{"cancels", func(f *sampleFleet) { f.cancelled = 0.05 }},
		{"misses", func(f *sampleFleet) { f.missed = 0.08 }},
		{"dispatches again", func(f *sampleFleet) { f.further = 0.15 }},
		{"slower", func(f *sampleFleet) { f.later = 4 }},
		{"a bad day", func(f *sampleFleet) { f.day = 0.3 }},
		{"more probes", func(f *sampleFleet) { f.probes = 400 }},
		{"more memory", func(f *sampleFleet) { f.memoryMB = 40 }},
		{"crashes", func(f *sampleFleet) { f.crashes = 1 }},
		{"one type only", func(f *sampleFleet) { f.silent = true }},
	}
	var text bytes.Buffer
	for _, c := range cases {
		for seed := range uint64(3) {
			for _, newMembers := range []int{1, 3, 4} {
				f := newSampleFleet(seed)
				base := sampleBase(f)
				members := []string{"c1", "c2", "c3", "c4"}[:newMembers]
				judge := NewJudge(Usual(), base, members)
				c.change(f)
				var recovery Recovery
				for look := range 40 {
					list := f.look(newMembers)
					judge.Look(list)
					v := judge.Verdict(look >= 30)
					if look%4 != 3 && v.Kind == Open {
						continue
					}
					recovered := recovery.Look(Usual(), base, list)
					fmt.Fprintf(&text, "%s, seed %d, %d new, look %d: %s odds %.12g of %g, new %d old %d, scarce %q, recovered %t: %s\n",
						c.name, seed, newMembers, look, v.Kind, v.Odds, v.Wanted, v.NewJob, v.OldJob, v.Scarce, recovered, v.Why)
					if v.Kind != Open {
						break
					}
				}
			}
		}
	}
	golden.Check(t, "verdicts.txt", text.Bytes())
}

// TestStoredBaseIsReadAndJudgedBy reads a base as the recorded program stored it: it is written the same, and the verdicts
// by it are those by the base in memory.
func TestStoredBaseIsReadAndJudgedBy(t *testing.T) {
	f := newSampleFleet(7)
	base := sampleBase(f)
	text, err := json.MarshalIndent(base, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "base.json", text)
	stored := NewBase()
	if err := json.Unmarshal(text, stored); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(stored, "", " ")
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("read back it is written otherwise (%v):\n%s", err, again)
	}
	f.cancelled = 0.02
	fromMemory := NewJudge(Usual(), base, []string{"c1"})
	fromFile := NewJudge(Usual(), stored, []string{"c1"})
	for look := range 40 {
		list := f.look(1)
		fromMemory.Look(list)
		fromFile.Look(list)
		if a, b := fromMemory.Verdict(true), fromFile.Verdict(true); a != b {
			t.Fatalf("look %d: %+v by memory, %+v by the file", look, a, b)
		}
	}
}

// TestJSONOfVerdictsLimitsAndWork holds the keys of what is stored or told.
func TestJSONOfVerdictsLimitsAndWork(t *testing.T) {
	values := map[string]any{
		"verdict.json": Verdict{Kind: Shared, Why: "why", Odds: 1.5, Wanted: 500, NewJob: 3, OldJob: 4, Scarce: "lookup"},
		"limits.json":  Usual(),
		"work.json": map[Group]Work{
			{Type: "lookup", Tenant: "a b"}: {Jobs: 9, Within: 8, Done: 7, Throttled: 1, Cancelled: 2, Dispatches: 12, Further: 3, Took: []uint64{0, 7}},
			{Type: "report", Tenant: `q"`}:  {},
		},
		"group.json": struct{ G []Group }{[]Group{{Type: "lookup", Tenant: "acme"}}},
	}
	for name, v := range values {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, text)
	}
}

// TestSumsAndDifferencesOfWork holds the arithmetic on counts, which readers of reports rely on.
func TestSumsAndDifferencesOfWork(t *testing.T) {
	f := newSampleFleet(11)
	first, second := f.look(2), f.look(2)
	var text bytes.Buffer
	for _, isNew := range []bool{true, false} {
		fmt.Fprintf(&text, "sum %t: %+v\n", isNew, Sum(second, isNew))
	}
	for i := range first {
		for _, g := range []Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}} {
			fmt.Fprintf(&text, "%s %s: %+v\n", first[i].Member, g.Type, second[i].Work[g].Less(first[i].Work[g]))
		}
	}
	fmt.Fprintf(&text, "shorter: %+v\n", Work{Jobs: 3, Took: []uint64{1, 2, 3}}.Less(Work{Jobs: 5, Took: []uint64{1}}))
	golden.Check(t, "arithmetic.txt", text.Bytes())
}
