package canary

import (
	"strings"
	"testing"
)

var lookup, report = Group{"lookup", "a"}, Group{"report", "a"}

func work(jobs, missed, cancelled, bucket int) JobCounts {
	w := JobCounts{Jobs: uint64(jobs), WithinSLA: uint64(jobs - missed - cancelled), Done: uint64(jobs - cancelled), Cancelled: uint64(cancelled),
		Dispatches: uint64(jobs), LatencyBuckets: make([]uint64, 40)}
	w.LatencyBuckets[bucket] = w.Done
	return w
}

// stage plays a base and looks at a stage on c1; each gives the work of a look.
func stage(looks int, old, new func(i int) map[Group]JobCounts) Verdict {
	b := NewBaseline()
	list := func(i int, first func(int) map[Group]JobCounts, on bool) []Sample {
		return []Sample{{Member: "c1", IsNew: on, Counts: first(i), MemoryMB: 20}, {Member: "c2", Counts: old(i), MemoryMB: 20}, {Member: "c3", Counts: old(i), MemoryMB: 20}}
	}
	for i := range 30 {
		b.Observe(list(i, old, false))
	}
	j := NewAnalysis(DefaultLimits(), b, []string{"c1"})
	v := Verdict{}
	for i := range looks {
		j.Observe(list(i, new, true))
		if v = j.Verdict(i == looks-1); v.Conclusion == Regressed || v.Conclusion == AllRegressed {
			return v
		}
	}
	return v
}

func both(missed, cancelled, bucket int) func(int) map[Group]JobCounts {
	return func(i int) map[Group]JobCounts {
		return map[Group]JobCounts{lookup: work(20, missed, cancelled, bucket), report: work(10, 0, 0, 20)}
	}
}

func TestAStageIsJudged(t *testing.T) {
	for name, c := range map[string]struct {
		old, new func(int) map[Group]JobCounts
		kind     Conclusion
		why      string
	}{
		"alike":      {both(1, 0, 10), both(1, 0, 10), NoRegression, "no evidence"},
		"cancels":    {both(1, 0, 10), both(1, 2, 10), Regressed, "lookup of a: cancelled for good"},
		"misses":     {both(1, 0, 10), both(7, 0, 10), Regressed, "missed the SLA time"},
		"slow":       {both(1, 0, 10), both(1, 0, 14), Regressed, "slower"},
		"all worse":  {both(1, 0, 10), nil, AllRegressed, "all miss more"},
		"one type":   {both(1, 0, 10), func(int) map[Group]JobCounts { return map[Group]JobCounts{report: work(10, 0, 0, 20)} }, Inconclusive, "too few jobs of lookup"},
		"no traffic": {both(1, 0, 10), func(int) map[Group]JobCounts { return nil }, Inconclusive, "too few jobs"},
	} {
		if c.new == nil { // the stage hurts all
			old := c.old
			now := func(i int) map[Group]JobCounts { return both(9, 0, 10)(i) }
			b := NewBaseline()
			for i := range 30 {
				b.Observe([]Sample{{Member: "c1", Counts: old(i)}, {Member: "c2", Counts: old(i)}})
			}
			j := NewAnalysis(DefaultLimits(), b, []string{"c1"})
			v := Verdict{}
			for i := range 60 {
				j.Observe([]Sample{{Member: "c1", IsNew: true, Counts: now(i)}, {Member: "c2", Counts: now(i)}})
				if v = j.Verdict(false); v.Conclusion != Inconclusive {
					break
				}
			}
			if v.Conclusion != c.kind || !strings.Contains(v.Reason, c.why) {
				t.Errorf("%s: %+v", name, v)
			}
			continue
		}
		if v := stage(60, c.old, c.new); v.Conclusion != c.kind || !strings.Contains(v.Reason, c.why) {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

func TestGuardsAndCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Sample, int)
		why    string
	}{
		"crashes": {func(s *Sample, i int) { s.Crashes = uint64(i % 2) }, "ended or failed to start 2 times"},
		"leaks":   {func(s *Sample, i int) { s.MemoryMB += float64(5 * i) }, "memory"},
		"floods":  {func(s *Sample, i int) { s.Probes = 200 }, "probes a job"},
		"shuns":   {func(s *Sample, i int) { s.EjectedEngines = 3 }, "engines set aside"},
		"burns":   {func(s *Sample, i int) { s.CPUNS = 300e6 }, "CPU a job"},
		"a spike": {func(s *Sample, i int) { s.Probes = uint64(i % 3 * 100) }, ""},
	} {
		b := NewBaseline()
		look := func(i int, on bool) []Sample {
			list := []Sample{{Member: "c1", IsNew: on, Counts: both(1, 0, 10)(i), MemoryMB: 20, CPUNS: 6e6}, {Member: "c2", Counts: both(1, 0, 10)(i), MemoryMB: 20, CPUNS: 6e6}}
			if on {
				c.change(&list[0], i)
			}
			return list
		}
		for i := range 20 {
			b.Observe(look(i, false))
		}
		j, v := NewAnalysis(DefaultLimits(), b, []string{"c1"}), Verdict{}
		for i := range 20 {
			j.Observe(look(i, true))
			if v = j.Verdict(false); v.Conclusion == Regressed {
				break
			}
		}
		if (v.Conclusion == Regressed) != (c.why != "") || !strings.Contains(v.Reason, c.why) {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

func TestHabitsOfAControllerAreNoHarm(t *testing.T) {
	b := NewBaseline()
	look := func(on bool) []Sample { // c1 always misses more than the others
		return []Sample{{Member: "c1", IsNew: on, Counts: both(4, 0, 10)(0)}, {Member: "c2", Counts: both(1, 0, 10)(0)}, {Member: "c3", Counts: both(1, 0, 10)(0)}}
	}
	for range 30 {
		b.Observe(look(false))
	}
	j := NewAnalysis(DefaultLimits(), b, []string{"c1"})
	for i := range 100 {
		j.Observe(look(true))
		if v := j.Verdict(true); v.Conclusion == Regressed {
			t.Fatalf("look %d: %+v", i, v)
		}
	}
}
