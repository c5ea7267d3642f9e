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

// faultyEndpoint intercepts the requests to an endpoint, logs them and injects faults.
type faultyEndpoint struct {
	name   string
	events *testcluster.EventLog
	faults *testcluster.FaultPlan
}

// startEndpoint starts an endpoint that logs its requests and injects faults by a fault plan.
func startEndpoint(name string, events *testcluster.EventLog, faults *testcluster.FaultPlan) (*fake.Endpoint, error) {
	endpoint, err := fake.StartEndpoint("127.0.0.1:0", [3]string{"<a>", "<p>", "1"}, [3]string{"<b>", "<p>", "2"})
	if err != nil {
		return nil, err
	}
	f := &faultyEndpoint{name, events, faults}
	endpoint.Intercept(f.intercept)
	return endpoint, nil
}

func (f *faultyEndpoint) log(event, jobID, answer string, work time.Duration) {
	f.events.Add(rulecheck.Entry{Event: event, Job: jobID, Engine: f.name, Protocol: "sparql", Answer: answer,
		Work: int64(work)})
}

// intercept answers requests for which a fault was drawn, and leaves all others to the endpoint. The text of a job
// ends with its ID in a comment; that of a probe does not.
func (f *faultyEndpoint) intercept(w http.ResponseWriter, text string) (answered bool) {
	_, jobID, isJob := strings.Cut(text, "# ")
	if !isJob {
		return false
	}
	fault := f.faults.Draw()
	if fault == testcluster.RefusesDispatch {
		f.log(rulecheck.Reached, jobID, "", 0)
		w.Header().Set("Not-Started", "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	f.log(rulecheck.Began, jobID, "", f.faults.WorkDuration())
	time.Sleep(f.faults.Duration(fault)) // simulates the job's work
	switch fault {
	case testcluster.ResetsConnection:
		f.log(rulecheck.Ended, jobID, rulecheck.Broken, 0)
		panic(http.ErrAbortHandler) // net/http closes the connection without a log line
	case testcluster.FailsDispatch: // starts a valid response and breaks off inside the JSON
		f.log(rulecheck.Ended, jobID, rulecheck.Broken, 0)
		w.Header().Set("Content-Type", "application/sparql-results+json")
		fmt.Fprint(w, `{"head":{"vars":["s"]},"results":{"bindings":[{"s":{"type":"uri","val`)
		panic(http.ErrAbortHandler)
	}
	f.log(rulecheck.Ended, jobID, rulecheck.Done, 0)
	return false
}
