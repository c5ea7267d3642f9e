package planner

import (
	"fmt"
	"strings"
	"testing"

	"swiftreel/internal/canary"
	"swiftreel/internal/solve"
)

var base = solve.Problem{
	Engines: []solve.Engine{{Name: "e1", Kind: "std", Zone: "east", Cores: 8}, {Name: "e2", Kind: "std", Zone: "east", Cores: 8}, {Name: "e3", Kind: "std", Zone: "west", Cores: 8}},
	Types:   []solve.Type{{Name: "lookup", Threads: 1, WorkMS: 100, Value: 1}, {Name: "report", Threads: 2, WorkMS: 2000, Value: 8}},
	Tenants: []solve.Tenant{{Name: "acme"}}, Zones: []solve.Zone{{Name: "east"}, {Name: "west"}},
}

func seen(lookups, reports float64, engines ...string) Observation {
	return Observation{Rates: map[string]map[canary.Group]float64{"east": {{Type: "lookup", Tenant: "acme"}: lookups, {Type: "report", Tenant: "acme"}: reports}},
		Engines: [][]string{engines, engines, {"e1"}}}
}

func TestTheFleetIsPlannedWhenSomethingIsOther(t *testing.T) {
	p := New(base, Timing{MaxInterval: 180e9, MinInterval: 10e9}, 0)
	want := func(at int64, s Observation, why string) *solve.Problem {
		t.Helper()
		q, got := p.Next(at, s)
		if (why == "") != (q == nil) || !strings.Contains(got, why) {
			t.Errorf("at %d: %q, wanted %q", at/1e9, got, why)
		}
		if q != nil {
			p.ReportResult(true)
		}
		return q
	}
	usual := seen(100, 5, "e1", "e2", "e3")
	want(5e9, usual, "")
	q := want(11e9, usual, "first plan")
	if len(q.Engines) != 3 || len(q.Demand) != 2 || q.Demand[0] != (solve.Demand{Type: "lookup", Tenant: "acme", Zone: "east", JobsPer1000S: 120_000}) {
		t.Errorf("%+v", q)
	}
	want(30e9, seen(110, 5, "e1", "e2", "e3"), "")
	want(40e9, seen(100, 8, "e1", "e2", "e3"), `report from "east" needs 16.0 threads, planned for 10.0`)
	want(45e9, usual, "") // too soon
	want(46e9, seen(1, 8, "e1", "e2", "e3"), "")
	want(60e9, seen(100, 8, "e1", "e3"), "") // one look may be chance
	q = want(61e9, seen(100, 8, "e1", "e3"), "2 engines, planned for 3")
	if len(q.Engines) != 2 || q.Engines[1].Name != "e3" {
		t.Errorf("%+v", q.Engines)
	}
	want(100e9, seen(100, 8, "e1", "e3"), "")
	want(242e9, seen(100, 8, "e1", "e3"), "interval elapsed")
	want(260e9, Observation{}, "") // nobody tells: nothing is planned for no engines
	if len(base.Demand) != 0 || len(base.Engines) != 3 {
		t.Error("the operator's problem is written to")
	}
}

func TestOneListThatIsLateIsNotBelievedAndStrangeEnginesAreNamed(t *testing.T) {
	p := New(base, Timing{MaxInterval: 180e9, MinInterval: 1}, 0)
	q, _ := p.Next(1e9, Observation{Rates: seen(1, 1).Rates, Engines: [][]string{{"e1", "e2"}, {"e1", "e2", "e3"}, {"e1", "e9"}, {"e1", "e2", "e9"}, {"e1", "e9"}}})
	if fmt.Sprint(names(q.Engines)) != "[e1 e2]" || fmt.Sprint(p.UnknownEngines()) != "[e9]" {
		t.Errorf("%v, strange %v", names(q.Engines), p.UnknownEngines())
	}
}

func TestWhatDoesNotFitIsTriedLessAndLessOften(t *testing.T) {
	p := New(base, Timing{MaxInterval: 1e9, MinInterval: 1e9}, 0)
	tries := []int64{}
	for now := int64(0); now < 300e9; now += 1e9 {
		if q, _ := p.Next(now, seen(100, 5, "e1")); q != nil {
			p.ReportResult(false)
			tries = append(tries, now/1e9)
		}
	}
	if fmt.Sprint(tries) != "[1 3 7 15 31 63 127 191 255]" {
		t.Errorf("%v", tries)
	}
}

func names(list []solve.Engine) (names []string) {
	for _, e := range list {
		names = append(names, e.Name)
	}
	return names
}
