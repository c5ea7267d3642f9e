package canary

import (
	"strings"
	"testing"
)

var lookup, report = Group{"lookup", "a"}, Group{"report", "a"}

func work(jobs, missed, cancelled, bucket int) Work {
	w := Work{Jobs: uint64(jobs), Within: uint64(jobs - missed - cancelled), Done: uint64(jobs - cancelled), Cancelled: uint64(cancelled),
		Dispatches: uint64(jobs), Took: make([]uint64, 40)}
	w.Took[bucket] = w.Done
	return w
}

// stage plays a base and looks at a stage on c1; each gives the work of a look.
func stage(looks int, old, new func(i int) map[Group]Work) Verdict {
	b := NewBase()
	list := func(i int, first func(int) map[Group]Work, on bool) []Seen {
		return []Seen{{Member: "c1", New: on, Work: first(i), MemoryMB: 20}, {Member: "c2", Work: old(i), MemoryMB: 20}, {Member: "c3", Work: old(i), MemoryMB: 20}}
	}
	for i := range 30 {
		b.Look(list(i, old, false))
	}
	j := NewJudge(Usual(), b, []string{"c1"})
	v := Verdict{}
	for i := range looks {
		j.Look(list(i, new, true))
		if v = j.Verdict(i == looks-1); v.Kind == Worse || v.Kind == Shared {
			return v
		}
	}
	return v
}

func both(missed, cancelled, bucket int) func(int) map[Group]Work {
	return func(i int) map[Group]Work {
		return map[Group]Work{lookup: work(20, missed, cancelled, bucket), report: work(10, 0, 0, 20)}
	}
}

func TestAStageIsJudged(t *testing.T) {
	for name, c := range map[string]struct {
		old, new func(int) map[Group]Work
		kind     Kind
		why      string
	}{
		"alike":      {both(1, 0, 10), both(1, 0, 10), Even, "no evidence"},
		"cancels":    {both(1, 0, 10), both(1, 2, 10), Worse, "lookup of a: cancelled for good"},
		"misses":     {both(1, 0, 10), both(7, 0, 10), Worse, "missed the SLA time"},
		"slow":       {both(1, 0, 10), both(1, 0, 14), Worse, "slower"},
		"all worse":  {both(1, 0, 10), nil, Shared, "all miss more"},
		"one type":   {both(1, 0, 10), func(int) map[Group]Work { return map[Group]Work{report: work(10, 0, 0, 20)} }, Open, "too few jobs of lookup"},
		"no traffic": {both(1, 0, 10), func(int) map[Group]Work { return nil }, Open, "too few jobs"},
	} {
		if c.new == nil { // the stage hurts all
			old := c.old
			now := func(i int) map[Group]Work { return both(9, 0, 10)(i) }
			b := NewBase()
			for i := range 30 {
				b.Look([]Seen{{Member: "c1", Work: old(i)}, {Member: "c2", Work: old(i)}})
			}
			j := NewJudge(Usual(), b, []string{"c1"})
			v := Verdict{}
			for i := range 60 {
				j.Look([]Seen{{Member: "c1", New: true, Work: now(i)}, {Member: "c2", Work: now(i)}})
				if v = j.Verdict(false); v.Kind != Open {
					break
				}
			}
			if v.Kind != c.kind || !strings.Contains(v.Why, c.why) {
				t.Errorf("%s: %+v", name, v)
			}
			continue
		}
		if v := stage(60, c.old, c.new); v.Kind != c.kind || !strings.Contains(v.Why, c.why) {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

func TestGuardsAndCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Seen, int)
		why    string
	}{
		"crashes": {func(s *Seen, i int) { s.Crashes = uint64(i % 2) }, "ended or failed to start 2 times"},
		"leaks":   {func(s *Seen, i int) { s.MemoryMB += float64(5 * i) }, "memory"},
		"floods":  {func(s *Seen, i int) { s.Probes = 200 }, "probes a job"},
		"shuns":   {func(s *Seen, i int) { s.Aside = 3 }, "engines set aside"},
		"burns":   {func(s *Seen, i int) { s.CPU = 300e6 }, "CPU a job"},
		"a spike": {func(s *Seen, i int) { s.Probes = uint64(i % 3 * 100) }, ""},
	} {
		b := NewBase()
		look := func(i int, on bool) []Seen {
			list := []Seen{{Member: "c1", New: on, Work: both(1, 0, 10)(i), MemoryMB: 20, CPU: 6e6}, {Member: "c2", Work: both(1, 0, 10)(i), MemoryMB: 20, CPU: 6e6}}
			if on {
				c.change(&list[0], i)
			}
			return list
		}
		for i := range 20 {
			b.Look(look(i, false))
		}
		j, v := NewJudge(Usual(), b, []string{"c1"}), Verdict{}
		for i := range 20 {
			j.Look(look(i, true))
			if v = j.Verdict(false); v.Kind == Worse {
				break
			}
		}
		if (v.Kind == Worse) != (c.why != "") || !strings.Contains(v.Why, c.why) {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

func TestHabitsOfAControllerAreNoHarm(t *testing.T) {
	b := NewBase()
	look := func(on bool) []Seen { // c1 always misses more than the others
		return []Seen{{Member: "c1", New: on, Work: both(4, 0, 10)(0)}, {Member: "c2", Work: both(1, 0, 10)(0)}, {Member: "c3", Work: both(1, 0, 10)(0)}}
	}
	for range 30 {
		b.Look(look(false))
	}
	j := NewJudge(Usual(), b, []string{"c1"})
	for i := range 100 {
		j.Look(look(true))
		if v := j.Verdict(true); v.Kind == Worse {
			t.Fatalf("look %d: %+v", i, v)
		}
	}
}
