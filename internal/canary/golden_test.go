package canary

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/golden"
)

// sampleFleet generates random samples of a fleet of four members from a seed.
type sampleFleet struct {
	random *rand.Rand
	// Probabilities that the new version cancels a job permanently, misses its SLA time, dispatches it again.
	cancelled, missed, retried float64
	bucketShift                int     // by how many latency buckets the new version is slower
	addedMisses                float64 // probability, for all members, that a job misses its SLA time in addition
	probes                     uint64
	memoryMB                   float64
	crashes                    uint64
	reportsOnly                bool // the new version receives no jobs of type lookup
}

func (f *sampleFleet) jobCounts(isNew bool, typ string) JobCounts {
	jobs := 5 + f.random.IntN(20)
	w := JobCounts{LatencyBuckets: make([]uint64, 48)}
	for range jobs {
		w.Jobs++
		w.Dispatches++
		draw := f.random.Float64()
		if isNew && f.random.Float64() < f.retried {
			w.Dispatches++
			w.Retries++
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
		limit := 0.03 + f.addedMisses
		if isNew {
			limit += f.missed
		}
		if draw >= limit {
			w.WithinSLA++
		}
		bucket := 10 + f.random.IntN(12)
		if typ == "report" {
			bucket += 10
		}
		if isNew {
			bucket += f.bucketShift
		}
		w.LatencyBuckets[bucket]++
	}
	return w
}

func (f *sampleFleet) samples(newMembers int) []Sample {
	var list []Sample
	for i := range 4 {
		isNew := i < newMembers
		s := Sample{
			Member:         fmt.Sprintf("c%d", i+1),
			IsNew:          isNew,
			MemoryMB:       30 + 2*f.random.Float64(),
			CPUNS:          40e6,
			Probes:         5,
			EjectedEngines: i % 2,
			Counts:         map[Group]JobCounts{},
		}
		for _, g := range sampleGroups {
			w := f.jobCounts(isNew, g.Type)
			if isNew && f.reportsOnly && g.Type == "lookup" {
				continue
			}
			s.Counts[g] = w
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

var sampleGroups = []Group{
	{Type: "lookup", Tenant: "acme"},
	{Type: "lookup", Tenant: "bee"},
	{Type: "report", Tenant: "acme"},
}

func newSampleFleet(seed uint64) *sampleFleet {
	return &sampleFleet{random: rand.New(rand.NewPCG(seed, 3))}
}

// sampleBaseline returns a baseline of thirty samples of a fleet on the old version.
func sampleBaseline(f *sampleFleet) *Baseline {
	b := NewBaseline()
	for range 30 {
		b.Observe(f.samples(0))
	}
	return b
}

// TestVerdictsAreThoseRecorded compares the verdicts on randomly generated samples with those recorded in testdata; the
// evidence has to agree to twelve digits.
func TestVerdictsAreThoseRecorded(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *sampleFleet)
	}{
		{"alike", func(*sampleFleet) {}},
		{"cancels", func(f *sampleFleet) { f.cancelled = 0.05 }},
		{"misses", func(f *sampleFleet) { f.missed = 0.08 }},
		{"dispatches again", func(f *sampleFleet) { f.retried = 0.15 }},
		{"slower", func(f *sampleFleet) { f.bucketShift = 4 }},
		{"a bad day", func(f *sampleFleet) { f.addedMisses = 0.3 }},
		{"more probes", func(f *sampleFleet) { f.probes = 400 }},
		{"more memory", func(f *sampleFleet) { f.memoryMB = 40 }},
		{"crashes", func(f *sampleFleet) { f.crashes = 1 }},
		{"one type only", func(f *sampleFleet) { f.reportsOnly = true }},
	}
	var text bytes.Buffer
	for _, c := range cases {
		for seed := range uint64(3) {
			for _, newMembers := range []int{1, 3, 4} {
				f := newSampleFleet(seed)
				base := sampleBaseline(f)
				members := []string{"c1", "c2", "c3", "c4"}[:newMembers]
				analysis := NewAnalysis(DefaultLimits(), base, members)
				c.change(f)
				var recovery RecoveryCheck
				for look := range 40 {
					list := f.samples(newMembers)
					analysis.Observe(list)
					v := analysis.Verdict(look >= 30)
					if look%4 != 3 && v.Conclusion == Inconclusive {
						continue
					}
					recovered := recovery.Observe(DefaultLimits(), base, list)
					fmt.Fprintf(
						&text,
						"%s, seed %d, %d new, look %d: %s odds %.12g of %g, new %d old %d, scarce %q, recovered %t: %s\n",
						c.name,
						seed,
						newMembers,
						look,
						v.Conclusion,
						v.EValue,
						v.Threshold,
						v.NewJobs,
						v.OldJobs,
						v.ScarceType,
						recovered,
						v.Reason,
					)
					if v.Conclusion != Inconclusive {
						break
					}
				}
			}
		}
	}
	golden.Check(t, "verdicts.txt", text.Bytes())
}

// TestStoredBaselineGivesTheSameVerdicts reads a stored baseline. Written again it must not differ, and verdicts
// against it must be equal to those against the baseline in memory.
func TestStoredBaselineGivesTheSameVerdicts(t *testing.T) {
	f := newSampleFleet(7)
	base := sampleBaseline(f)
	text, err := json.MarshalIndent(base, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "base.json", text)
	stored := NewBaseline()
	if err := json.Unmarshal(text, stored); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(stored, "", " ")
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("the baseline differs after it was read back (%v):\n%s", err, again)
	}
	f.cancelled = 0.02
	fromMemory := NewAnalysis(DefaultLimits(), base, []string{"c1"})
	fromFile := NewAnalysis(DefaultLimits(), stored, []string{"c1"})
	for look := range 40 {
		list := f.samples(1)
		fromMemory.Observe(list)
		fromFile.Observe(list)
		if a, b := fromMemory.Verdict(true), fromFile.Verdict(true); a != b {
			t.Fatalf("sample %d: %+v from memory, %+v from the file", look, a, b)
		}
	}
}

// TestJSONOfVerdictsLimitsAndJobCounts checks the keys of the types that are stored or reported.
func TestJSONOfVerdictsLimitsAndJobCounts(t *testing.T) {
	values := map[string]any{
		"verdict.json": Verdict{
			Conclusion: AllRegressed,
			Reason:     "why",
			EValue:     1.5,
			Threshold:  500,
			NewJobs:    3,
			OldJobs:    4,
			ScarceType: "lookup",
		},
		"limits.json": DefaultLimits(),
		"work.json": map[Group]JobCounts{
			{Type: "lookup", Tenant: "a b"}: {
				Jobs:           9,
				WithinSLA:      8,
				Done:           7,
				Throttled:      1,
				Cancelled:      2,
				Dispatches:     12,
				Retries:        3,
				LatencyBuckets: []uint64{0, 7},
			},
			{Type: "report", Tenant: `q"`}: {},
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

// TestSumsAndDifferencesOfJobCounts checks the arithmetic on counts, on which reports are based.
func TestSumsAndDifferencesOfJobCounts(t *testing.T) {
	// textOf uses the names in the golden file, which do not follow the names of the fields.
	textOf := func(c JobCounts) string {
		return fmt.Sprintf(
			"{Jobs:%d Within:%d Done:%d Throttled:%d Cancelled:%d Dispatches:%d Further:%d Took:%v}",
			c.Jobs,
			c.WithinSLA,
			c.Done,
			c.Throttled,
			c.Cancelled,
			c.Dispatches,
			c.Retries,
			c.LatencyBuckets,
		)
	}
	f := newSampleFleet(11)
	first, second := f.samples(2), f.samples(2)
	var text bytes.Buffer
	for _, isNew := range []bool{true, false} {
		fmt.Fprintf(&text, "sum %t: %s\n", isNew, textOf(SumCounts(second, isNew)))
	}
	for i := range first {
		for _, g := range []Group{{Type: "lookup", Tenant: "acme"}, {Type: "report", Tenant: "acme"}} {
			fmt.Fprintf(
				&text,
				"%s %s: %s\n",
				first[i].Member,
				g.Type,
				textOf(second[i].Counts[g].Minus(first[i].Counts[g])),
			)
		}
	}
	fmt.Fprintf(
		&text,
		"shorter: %s\n",
		textOf(
			JobCounts{
				Jobs:           3,
				LatencyBuckets: []uint64{1, 2, 3},
			}.Minus(
				JobCounts{Jobs: 5, LatencyBuckets: []uint64{1}},
			),
		),
	)
	golden.Check(t, "arithmetic.txt", text.Bytes())
}
