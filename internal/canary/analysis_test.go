package canary

import (
	"strings"
	"testing"
)

var (
	lookup = Group{Type: "lookup", Tenant: "a"}
	report = Group{Type: "report", Tenant: "a"}
)

// countsOf returns the counts of jobs whose latencies are all in one bucket.
func countsOf(jobs, missed, cancelled, bucket int) JobCounts {
	counts := JobCounts{
		Jobs:           uint64(jobs),
		WithinSLA:      uint64(jobs - missed - cancelled),
		Done:           uint64(jobs - cancelled),
		Cancelled:      uint64(cancelled),
		Dispatches:     uint64(jobs),
		LatencyBuckets: make([]uint64, 40),
	}
	counts.LatencyBuckets[bucket] = counts.Done
	return counts
}

// bothTypes returns the counts of a sample in which the arguments apply to the lookups only.
func bothTypes(missed, cancelled, bucket int) map[Group]JobCounts {
	return map[Group]JobCounts{
		lookup: countsOf(20, missed, cancelled, bucket),
		report: countsOf(10, 0, 0, 20),
	}
}

// usualCounts returns the counts of a controller in a sample before the stage.
func usualCounts() map[Group]JobCounts { return bothTypes(1, 0, 10) }

// baselineOf returns a baseline that observed the same samples thirty times.
func baselineOf(samples []Sample) *Baseline {
	b := NewBaseline()
	for range 30 {
		b.Observe(samples)
	}
	return b
}

// runStage observes a stage on c1 until a regression is found, or for count samples; the minimum bake time ends with
// the last one.
func runStage(baseline *Baseline, samples []Sample, count int) Verdict {
	analysis := NewAnalysis(DefaultLimits(), baseline, []string{"c1"})
	var v Verdict
	for i := range count {
		analysis.Observe(samples)
		v = analysis.Verdict(i == count-1)
		if v.Conclusion == Regressed || v.Conclusion == AllRegressed {
			return v
		}
	}
	return v
}

func TestVerdictOfAStage(t *testing.T) {
	reportsOnly := map[Group]JobCounts{report: countsOf(10, 0, 0, 20)}
	for name, c := range map[string]struct {
		newCounts  map[Group]JobCounts
		conclusion Conclusion
		reason     string
	}{
		"alike":      {bothTypes(1, 0, 10), NoRegression, "no evidence"},
		"cancels":    {bothTypes(1, 2, 10), Regressed, "lookup of a: cancelled for good"},
		"misses":     {bothTypes(7, 0, 10), Regressed, "missed the SLA time"},
		"slow":       {bothTypes(1, 0, 14), Regressed, "slower"},
		"one type":   {reportsOnly, Inconclusive, "too few jobs of lookup"},
		"no traffic": {nil, Inconclusive, "too few jobs"},
	} {
		t.Run(name, func(t *testing.T) {
			samplesOf := func(isNew bool, first map[Group]JobCounts) []Sample {
				return []Sample{
					{Member: "c1", IsNew: isNew, Counts: first, MemoryMB: 20},
					{Member: "c2", Counts: usualCounts(), MemoryMB: 20},
					{Member: "c3", Counts: usualCounts(), MemoryMB: 20},
				}
			}
			v := runStage(baselineOf(samplesOf(false, usualCounts())), samplesOf(true, c.newCounts), 60)
			if v.Conclusion != c.conclusion || !strings.Contains(v.Reason, c.reason) {
				t.Errorf("%+v", v)
			}
		})
	}
}

func TestHarmToBothVersionsIsToldApart(t *testing.T) {
	baseline := baselineOf([]Sample{{Member: "c1", Counts: usualCounts()}, {Member: "c2", Counts: usualCounts()}})
	worse := bothTypes(9, 0, 10)
	analysis := NewAnalysis(DefaultLimits(), baseline, []string{"c1"})
	var v Verdict
	for range 60 {
		analysis.Observe([]Sample{{Member: "c1", IsNew: true, Counts: worse}, {Member: "c2", Counts: worse}})
		if v = analysis.Verdict(false); v.Conclusion != Inconclusive {
			break
		}
	}
	if v.Conclusion != AllRegressed || !strings.Contains(v.Reason, "all miss more") {
		t.Errorf("%+v", v)
	}
}

func TestGuardrailsAndCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Sample, int)
		reason string
	}{
		"crashes":  {func(s *Sample, i int) { s.Crashes = uint64(i % 2) }, "ended or failed to start 2 times"},
		"leaks":    {func(s *Sample, i int) { s.MemoryMB += float64(5 * i) }, "memory"},
		"floods":   {func(s *Sample, _ int) { s.Probes = 200 }, "probes a job"},
		"ejects":   {func(s *Sample, _ int) { s.EjectedEngines = 3 }, "engines set aside"},
		"uses CPU": {func(s *Sample, _ int) { s.CPUNS = 300e6 }, "CPU a job"},
		"a spike":  {func(s *Sample, i int) { s.Probes = uint64(i % 3 * 100) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			samplesOf := func(isNew bool) []Sample {
				return []Sample{
					{Member: "c1", IsNew: isNew, Counts: usualCounts(), MemoryMB: 20, CPUNS: 6e6},
					{Member: "c2", Counts: usualCounts(), MemoryMB: 20, CPUNS: 6e6},
				}
			}
			baseline := NewBaseline()
			for range 20 {
				baseline.Observe(samplesOf(false))
			}
			analysis := NewAnalysis(DefaultLimits(), baseline, []string{"c1"})
			var v Verdict
			for i := range 20 {
				samples := samplesOf(true)
				c.change(&samples[0], i)
				analysis.Observe(samples)
				if v = analysis.Verdict(false); v.Conclusion == Regressed {
					break
				}
			}
			if (v.Conclusion == Regressed) != (c.reason != "") || !strings.Contains(v.Reason, c.reason) {
				t.Errorf("%+v", v)
			}
		})
	}
}

func TestHabitsOfAControllerAreNoRegression(t *testing.T) {
	samplesOf := func(isNew bool) []Sample { // more jobs of c1 than of the others are always over their SLA time
		return []Sample{
			{Member: "c1", IsNew: isNew, Counts: bothTypes(4, 0, 10)},
			{Member: "c2", Counts: usualCounts()},
			{Member: "c3", Counts: usualCounts()},
		}
	}
	analysis := NewAnalysis(DefaultLimits(), baselineOf(samplesOf(false)), []string{"c1"})
	for i := range 100 {
		analysis.Observe(samplesOf(true))
		if v := analysis.Verdict(true); v.Conclusion == Regressed {
			t.Fatalf("sample %d: %+v", i, v)
		}
	}
}
