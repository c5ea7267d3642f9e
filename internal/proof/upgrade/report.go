package main

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// outcome is the result of a check.
type outcome string

const (
	passed outcome = "ok"
	failed outcome = "FAILED"
	notRun outcome = "NOT RUN"
)

// check is one line of the printed table.
type check struct {
	name    string
	outcome outcome
	detail  string // figures, or why it failed
}

// report holds the checks of one scenario, in order. It is safe for concurrent use.
type report struct {
	scenario string

	mu     sync.Mutex
	checks []check
}

func (r *report) add(name string, o outcome, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks = append(r.checks, check{name, o, detail})
}

// result adds a check that was run; it failed if err is not nil.
func (r *report) result(name, detail string, err error) {
	if err != nil {
		r.add(name, failed, err.Error())
		return
	}
	r.add(name, passed, detail)
}

// printReports prints a line for each check and returns whether all passed.
func printReports(out io.Writer, reports []*report) bool {
	ok, count := true, 0
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SCENARIO\tCHECK\tRESULT\tDETAIL")
	for _, r := range reports {
		for _, c := range r.checks {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.scenario, c.name, c.outcome, c.detail)
			ok = ok && c.outcome == passed
			count++
		}
	}
	if err := table.Flush(); err != nil {
		return false
	}
	fmt.Fprintf(out, "\n%d checks, all passed: %v\n", count, ok)
	return ok && count > 0
}
