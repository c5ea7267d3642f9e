package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// slowFactor is by how much a slow answer takes longer.
const slowFactor = 20

// faultyEndpoint logs what comes to an endpoint, and has it fail as the plan says. A job's name stands in its text as a
// comment.
type faultyEndpoint struct {
	name   string
	events *testcluster.EventLog
	faults *testcluster.FaultPlan
}

// intercept is a fake.Interceptor.
func (e *faultyEndpoint) intercept(w http.ResponseWriter, text string) bool {
	_, job, hasJob := strings.Cut(text, "# ")
	if !hasJob {
		return false // a probe
	}
	fault := e.faults.Draw()
	if fault == testcluster.RefusesDispatch {
		e.log(rulecheck.Entry{Event: rulecheck.Reached, Job: job, Protocol: "sparql"})
		w.Header().Set("Not-Started", "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	work := int64(e.faults.WorkDuration())
	e.log(rulecheck.Entry{Event: rulecheck.Began, Job: job, Protocol: "sparql", Work: work})
	duration := e.faults.WorkDuration()
	if fault == testcluster.AnswersSlowly {
		duration *= slowFactor
	}
	time.Sleep(duration) // the job's work, as simulated
	switch fault {
	case testcluster.ResetsConnection:
		e.log(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Answer: rulecheck.Broken})
		panic(http.ErrAbortHandler)
	case testcluster.FailsDispatch: // begins well, and breaks off inside the JSON
		e.log(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Answer: rulecheck.Broken})
		w.Header().Set("Content-Type", "application/sparql-results+json")
		fmt.Fprint(w, `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"uri","val`)
		panic(http.ErrAbortHandler)
	}
	e.log(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Answer: rulecheck.Done})
	return false
}

func (e *faultyEndpoint) log(entry rulecheck.Entry) {
	entry.Engine = e.name
	e.events.Add(entry)
}
