package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// scriptEndpoint has an endpoint log, and misbehave. A job's name stands in its text as a comment.
func scriptEndpoint(e *fake.Endpoint, name string, b *testcluster.EventLog, f *testcluster.FaultPlan) {
	e.Intercept(func(w http.ResponseWriter, text string) bool {
		_, job, is := strings.Cut(text, "# ")
		if !is {
			return false // a probe
		}
		what := f.Draw()
		if what == testcluster.RefusesDispatch {
			b.Add(rulecheck.Entry{Event: rulecheck.Reached, Job: job, Engine: name, Protocol: "sparql"})
			w.Header().Set("Not-Started", "?1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		b.Add(rulecheck.Entry{Event: rulecheck.Began, Job: job, Engine: name, Protocol: "sparql", Work: int64(f.WorkDuration())})
		takes := f.WorkDuration()
		if what == testcluster.AnswersSlowly {
			takes *= 20
		}
		time.Sleep(takes) // the job's work, as simulated
		switch what {
		case testcluster.ResetsConnection:
			b.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Broken})
			panic(http.ErrAbortHandler)
		case testcluster.FailsDispatch: // begins well, and breaks off inside the JSON
			b.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Broken})
			w.Header().Set("Content-Type", "application/sparql-results+json")
			fmt.Fprint(w, `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"uri","val`)
			panic(http.ErrAbortHandler)
		}
		b.Add(rulecheck.Entry{Event: rulecheck.Ended, Job: job, Engine: name, Answer: rulecheck.Done})
		return false
	})
}
