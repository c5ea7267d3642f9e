package planner

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/canary"
	"swiftreel/internal/solve"
)

var base = solve.Problem{
	Engines: []solve.Engine{
		{Name: "e1", Kind: "std", Zone: "east", Cores: 8},
		{Name: "e2", Kind: "std", Zone: "east", Cores: 8},
		{Name: "e3", Kind: "std", Zone: "west", Cores: 8},
	},
	Types: []solve.Type{
		{Name: "lookup", Threads: 1, WorkMS: 100, Value: 1},
		{Name: "report", Threads: 2, WorkMS: 2000, Value: 8},
	},
	Tenants: []solve.Tenant{{Name: "acme"}},
	Zones:   []solve.Zone{{Name: "east"}, {Name: "west"}},
}

// observation returns an Observation in which two of three controllers see the engines, and all jobs are from one zone.
func observation(lookups, reports float64, engines ...string) Observation {
	rates := map[canary.Group]float64{
		{Type: "lookup", Tenant: "acme"}: lookups,
		{Type: "report", Tenant: "acme"}: reports,
	}
	return Observation{
		Rates:   map[string]map[canary.Group]float64{"east": rates},
		Engines: [][]string{engines, engines, {"e1"}},
	}
}

// expectNext fails the test unless a plan is due for the given reason ("" for none due). It reports success for a plan
// that is due.
func expectNext(t *testing.T, p *Planner, seconds int64, observed Observation, reason string) *solve.Problem {
	t.Helper()
	problem, got := p.Next(seconds*1e9, observed)
	if (reason == "") != (problem == nil) || !strings.Contains(got, reason) {
		t.Errorf("at %d s: got reason %q, want %q", seconds, got, reason)
	}
	if problem != nil {
		p.ReportResult(true)
	}
	return problem
}

func TestAPlanIsDueWhenSomethingChanges(t *testing.T) {
	p := New(base, Timing{MaxInterval: 180e9, MinInterval: 10e9}, 0)
	typical := observation(100, 5, "e1", "e2", "e3")
	expectNext(t, p, 5, typical, "")
	problem := expectNext(t, p, 11, typical, "first plan")
	first := solve.Demand{Type: "lookup", Tenant: "acme", Zone: "east", JobsPer1000S: 120_000}
	if len(problem.Engines) != 3 || len(problem.Demand) != 2 || problem.Demand[0] != first {
		t.Errorf("%+v", problem)
	}
	expectNext(t, p, 30, observation(110, 5, "e1", "e2", "e3"), "")
	expectNext(t, p, 40, observation(100, 8, "e1", "e2", "e3"), `report from "east" needs 16.0 threads, planned for 10.0`)
	expectNext(t, p, 45, typical, "") // too early
	expectNext(t, p, 46, observation(1, 8, "e1", "e2", "e3"), "")
	expectNext(t, p, 60, observation(100, 8, "e1", "e3"), "") // not yet confirmed
	problem = expectNext(t, p, 61, observation(100, 8, "e1", "e3"), "2 engines, planned for 3")
	if len(problem.Engines) != 2 || problem.Engines[1].Name != "e3" {
		t.Errorf("%+v", problem.Engines)
	}
	expectNext(t, p, 100, observation(100, 8, "e1", "e3"), "")
	expectNext(t, p, 242, observation(100, 8, "e1", "e3"), "interval elapsed")
	expectNext(t, p, 260, Observation{}, "") // no controller replies: without engines no plan is due
	if len(base.Demand) != 0 || len(base.Engines) != 3 {
		t.Error("the operator's problem is modified")
	}
}

func TestASingleLateListIsIgnoredAndUnknownEnginesAreNamed(t *testing.T) {
	p := New(base, Timing{MaxInterval: 180e9, MinInterval: 1}, 0)
	observed := observation(1, 1)
	observed.Engines = [][]string{{"e1", "e2"}, {"e1", "e2", "e3"}, {"e1", "e9"}, {"e1", "e2", "e9"}, {"e1", "e9"}}
	problem, _ := p.Next(1e9, observed)
	var names []string
	for _, engine := range problem.Engines {
		names = append(names, engine.Name)
	}
	if fmt.Sprint(names) != "[e1 e2]" || fmt.Sprint(p.UnknownEngines()) != "[e9]" {
		t.Errorf("%v, unknown %v", names, p.UnknownEngines())
	}
}

func TestAttemptsBecomeLessFrequentAfterFailures(t *testing.T) {
	p := New(base, Timing{MaxInterval: 1e9, MinInterval: 1e9}, 0)
	var attempts []int64 // in seconds
	for now := int64(0); now < 300e9; now += 1e9 {
		if problem, _ := p.Next(now, observation(100, 5, "e1")); problem != nil {
			p.ReportResult(false)
			attempts = append(attempts, now/1e9)
		}
	}
	if fmt.Sprint(attempts) != "[1 3 7 15 31 63 127 191 255]" {
		t.Errorf("%v", attempts)
	}
}
