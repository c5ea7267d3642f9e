package main

import (
	"bytes"
	"testing"
	"time"

	"swiftreel/internal/golden"
)

// Operators' scripts parse the table, so its lines must not change. The golden file was written at commit 70e2e4b.
func TestTheTableKeepsItsLines(t *testing.T) {
	found := summary{
		failovers: map[leaderLoss][]time.Duration{
			killed:      {3100 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond},
			cutOff:      {900 * time.Millisecond},
			steppedDown: {40 * time.Millisecond, 60 * time.Millisecond},
		},
		terms:     44,
		jobs:      jobCounts{all: 12345, done: 12001, broken: 17},
		baseline:  jobCounts{all: 3000, done: 2990},
		lostSteps: []string{"applying 1", "baking 1"},
		maxInUse:  987654,
		planCount: 33,
	}
	var table bytes.Buffer
	table.WriteString(headerLine(8, "go1.26"))
	table.WriteString(costLine(50, leadingCost{cores: 0.0123, bytes: 45678, assignments: 0.987}, 0.0045))
	assigned := unevenResult{meanError: 0.012, doneShare: 0.9988}
	estimated := unevenResult{meanError: 0.096, doneShare: 0.9911}
	table.WriteString(sharesLine(assigned, estimated))
	found.print(&table)
	golden.Check(t, "table.txt", table.Bytes())
}

func TestTheSummaryHolds(t *testing.T) {
	good := func() summary {
		return summary{jobs: jobCounts{all: 1000, done: 985}, baseline: jobCounts{all: 1000, done: 990}, planCount: 1}
	}
	for name, test := range map[string]struct {
		change func(*summary)
		want   bool
	}{
		"as it should be":                 {func(*summary) {}, true},
		"over a point less done":          {func(s *summary) { s.jobs.done = 979 }, false},
		"no jobs":                         {func(s *summary) { s.jobs.all = 0 }, false},
		"no jobs without a leader":        {func(s *summary) { s.baseline.all = 0 }, false},
		"no plan was taken":               {func(s *summary) { s.planCount = 0 }, false},
		"more done than without a leader": {func(s *summary) { s.jobs.done = 1000 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := good()
			test.change(&s)
			if s.holds() != test.want {
				t.Errorf("holds: %v", s.holds())
			}
		})
	}
}

func TestOrdersAreCheckedAgainstTheirFences(t *testing.T) {
	const (
		first       = "msg=order_accepted fence=1.2.1 ordered_by=x@v1\n"
		second      = "msg=order_accepted fence=1.2.2 ordered_by=x@v1\n"
		otherLeader = "msg=order_accepted fence=1.2.2 ordered_by=x@v2\n"
		nextTerm    = "msg=order_accepted fence=1.3.1 ordered_by=x@v2\n"
	)
	for name, test := range map[string]struct {
		text string
		want bool
	}{
		"in order":                  {first + second + nextTerm, true},
		"out of order":              {nextTerm + second, false},
		"the same twice":            {first + first, false},
		"two leaders of one term":   {first + otherLeader, false},
		"not a fence":               {"msg=order_accepted fence=none ordered_by=x@v1\n", false},
		"other lines are of no use": {"msg=plan_taken\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := checkOrders(test.text, map[int64]string{}); (err == nil) != test.want {
				t.Errorf("%v", err)
			}
		})
	}
}
