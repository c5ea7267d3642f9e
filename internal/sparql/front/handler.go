package front

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/gateway"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
	"swiftreel/internal/sparql/results"
	"swiftreel/internal/sparql/syntax"
)

// ServeHTTP serves one request. It returns when the answer has been written or the client has disconnected.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.beginHandler() {
		panic(http.ErrAbortHandler) // the connection is being closed
	}
	defer f.handlers.Done()
	connOf(r.Context()).beginRequest()
	f.serve(w, r)
}

// serve serves a request of an open front.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	tenant, served := f.tenant(r)
	if !served {
		connOf(r.Context()).rate.CountRefusal()
		http.Error(w, "SPARQL is served at "+f.options.Path, http.StatusNotFound)
		return
	}
	deadlines := http.NewResponseController(w)
	setReadDeadline(deadlines, time.Now().Add(bodyTimeout))
	setWriteDeadline(deadlines, time.Time{}) // clears the deadline of the previous response on this connection
	memory := &requestMemory{budget: f.options.Budget}
	defer memory.release()
	request, err := readRequest(w, r, memory, f.options.DefaultTimeout, f.options.MaxTimeout)
	if err != nil {
		f.reject(w, r, err)
		return
	}
	if request.wantsDescription {
		f.describe(w, r)
		return
	}
	statement, err := f.parse(request)
	if err != nil {
		f.reject(w, r, err)
		return
	}
	setReadDeadline(deadlines, time.Time{}) // the next request on the connection sets its own
	answer, err := newAnswer(w, r, statement)
	if err != nil {
		f.reject(w, r, err)
		return
	}
	key, err := readIdempotencyKey(r, tenant, request.update)
	if err != nil {
		f.reject(w, r, err)
		return
	}
	if !f.beginKey(w, r, request, key) {
		return
	}
	defer f.endKey(key, answer) // on every path, as a key left in progress would never expire
	f.run(answer, job{request: request, statement: statement, key: key, tenant: tenant, memory: memory})
}

// setReadDeadline sets a connection's read deadline. Errors are ignored, as the writer of a test may not support
// deadlines.
func setReadDeadline(controller *http.ResponseController, deadline time.Time) {
	_ = controller.SetReadDeadline(deadline)
}

// setWriteDeadline does the same for the write deadline.
func setWriteDeadline(controller *http.ResponseController, deadline time.Time) {
	_ = controller.SetWriteDeadline(deadline)
}

// tenant returns the tenant given by the path, a header or the user of basic authentication, in this order, else the
// default tenant. It returns false if nothing is served at the path.
func (f *Front) tenant(r *http.Request) (string, bool) {
	suffix, served := strings.CutPrefix(r.URL.Path, f.options.Path)
	if !served || suffix != "" && (suffix[0] != '/' || strings.Contains(suffix[1:], "/")) {
		return "", false
	}
	if len(suffix) > 1 {
		return suffix[1:], true
	}
	if f.options.TenantHeader != "" {
		if name := r.Header.Get(f.options.TenantHeader); name != "" {
			return name, true
		}
	}
	if user, _, given := r.BasicAuth(); given && user != "" {
		return user, true
	}
	return f.options.Tenant, true
}

// parse parses the text of a request. It rejects malformed texts, SERVICE endpoints that are not allowed, LOAD, and
// updates that name their dataset both in the text and in parameters.
func (f *Front) parse(request request) (*syntax.Statement, error) {
	statement, err := syntax.Parse(request.text, request.update)
	if err != nil {
		return nil, rejectf(http.StatusBadRequest, "%v", err)
	}
	for _, service := range statement.Services {
		if !slices.Contains(f.options.Services, service) {
			return nil, rejectf(http.StatusBadRequest, "SERVICE <%s> is not allowed here", service)
		}
	}
	if statement.UsesLoad {
		return nil, rejectf(http.StatusBadRequest, "LOAD is not allowed here")
	}
	if request.update && len(request.graphs) > 0 && statement.HasDatasetClause { // section 2.2.3 of the protocol
		return nil, rejectf(http.StatusBadRequest, "USING or WITH in the text, and using-graph-uri")
	}
	return statement, nil
}

// reject answers a request that is not submitted as a job.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, err error) {
	connOf(r.Context()).rate.CountRefusal()
	var rejection *rejectionError
	if !errors.As(err, &rejection) {
		rejection = rejectf(http.StatusBadRequest, "%v", err)
	}
	f.rejected.CountAndWarn("sparql_refused", "sparql_refused", "status", rejection.status, "reason", rejection.text)
	if rejection.allow != "" {
		w.Header().Set("Allow", rejection.allow)
	}
	if rejection.retryAfter > 0 {
		setRetryAfter(w, rejection.retryAfter)
	}
	http.Error(w, rejection.text, rejection.status)
}

// job is an accepted request.
type job struct {
	request   request
	statement *syntax.Statement
	key       decide.IdempotencyKey
	tenant    string
	memory    *requestMemory
}

// run submits a job and waits until its answer has been written or its client has disconnected.
func (f *Front) run(answer *answer, job job) {
	f.mu.Lock()
	work, _ := f.costs.Estimate(job.statement)
	f.mu.Unlock()
	jobType, known := decide.Classify(f.options.Rules, job.statement, work, job.key.Value != "")
	if !known {
		answer.updateOutcome = decide.UpdateNeverRan
		f.reject(answer.w, answer.r, rejectf(http.StatusBadRequest, "no reservation type takes this"))
		return
	}
	submission, err := job.submission(answer)
	if err != nil {
		answer.updateOutcome = decide.UpdateNeverRan
		f.reject(answer.w, answer.r, rejectForMemory())
		return
	}
	submission.Type = []byte(jobType)
	submission.EstimatedWork = time.Duration(work)
	job.dropText()
	f.pendingAnswers.Add(1)
	defer f.pendingAnswers.Add(-1)
	f.submitter.Submit(submission)
	answer.wait()
	if answer.duration > 0 {
		f.mu.Lock()
		f.costs.Observe(job.statement, choice.Nanos(answer.duration))
		f.mu.Unlock()
	}
}

// submission returns the request to the gateway, without its type. It fails if there is no memory for the statement.
func (j *job) submission(answer *answer) (gateway.Request, error) {
	operation := endpoint.Operation{
		Update:         j.request.update,
		Accept:         answer.engineFormat,
		IdempotencyKey: j.key.ForEngines(),
		Text:           j.request.text,
		Graphs:         j.request.graphs,
	}
	if err := j.memory.reserveStatement(operation.Size()); err != nil {
		return gateway.Request{}, err
	}
	return gateway.Request{
		ID:             newJobID(),
		Tenant:         []byte(j.tenant),
		Key:            []byte(decide.OrderKey(j.statement)),
		Statement:      operation.Statement(),
		Timeout:        j.request.timeout,
		ArrivedAt:      j.request.received.Earliest,
		ReceivedAfter:  j.request.received.After,
		ReceivedBefore: j.request.received.Before,
		Protocol:       backend.SPARQL,
		Client:         answer,
	}, nil
}

// dropText drops the text and all that refers to it, and releases its memory. The features of the text that cost
// estimates are based on are kept.
func (j *job) dropText() {
	j.request = request{}
	j.statement.Reads = nil
	j.statement.Writes = nil
	j.statement.Services = nil
	j.memory.releaseText()
}

// newJobID returns a random job identifier, in hex.
func newJobID() []byte {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return []byte(hex.EncodeToString(id[:]))
}

// serviceDescription is a SPARQL 1.1 Service Description (W3C Recommendation of 2013-03-21) in Turtle. %s is the path.
const serviceDescription = `@prefix sd: <http://www.w3.org/ns/sparql-service-description#> .
[] a sd:Service ;
  sd:endpoint <%s> ;
  sd:supportedLanguage sd:SPARQL11Query, sd:SPARQL11Update ;
  sd:resultFormat <http://www.w3.org/ns/formats/SPARQL_Results_JSON>, ` +
	`<http://www.w3.org/ns/formats/SPARQL_Results_XML>, <http://www.w3.org/ns/formats/SPARQL_Results_CSV>, ` +
	`<http://www.w3.org/ns/formats/SPARQL_Results_TSV> .
`

// describe answers with the service description.
func (f *Front) describe(w http.ResponseWriter, r *http.Request) {
	if _, ok := results.Negotiate(r.Header.Get("Accept"), graphFormats[:1]); !ok {
		f.reject(w, r, rejectf(http.StatusNotAcceptable, "the description is offered as %s", graphFormats[0]))
		return
	}
	w.Header().Set("Content-Type", graphFormats[0])
	fmt.Fprintf(w, serviceDescription, f.options.Path)
}
