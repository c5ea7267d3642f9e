package fake

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"swiftreel/internal/sparql/results"
)

// probeQuery is what controllers probe endpoints with.
const probeQuery = "ASK {}"

// Interceptor deals with a request before an Endpoint does, given its query or update. It returns true where it has
// answered.
type Interceptor func(w http.ResponseWriter, text string) bool

// Endpoint is a SPARQL engine: a small store of triples, which answers SELECT and ASK over basic graph patterns whose
// terms are set apart by white space, and INSERT DATA. It knows nothing else of SPARQL.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex
	triples   []triple
	received  []string
	intercept Interceptor
}

// StartEndpoint listens at an address, with some triples.
func StartEndpoint(address string, triples ...[3]string) (*Endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{listener: listener}
	for _, t := range triples {
		e.triples = append(e.triples, t)
	}
	e.server = &http.Server{Handler: e}
	e.serving.Go(func() {
		_ = e.server.Serve(listener) // it returns by Close alone
	})
	return e, nil
}

// URL is where it answers.
func (e *Endpoint) URL() string { return "http://" + e.listener.Addr().String() + "/sparql" }

// Intercept sets what deals with each later request first.
func (e *Endpoint) Intercept(intercept Interceptor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.intercept = intercept
}

// Received returns the queries and updates that it began, without probes.
func (e *Endpoint) Received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// Close ends as a process does that dies.
func (e *Endpoint) Close() {
	_ = e.server.Close() // its listener's error changes nothing
	e.serving.Wait()
}

// ServeHTTP answers a request of the SPARQL protocol.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query, update := r.PostForm.Get("query"), r.PostForm.Get("update")
	e.mu.Lock()
	intercept := e.intercept
	e.mu.Unlock()
	if intercept != nil && intercept(w, query+update) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if query == probeQuery {
		w.Header().Set("Load", "inflight:0")
	} else {
		e.received = append(e.received, query+update)
	}
	if update != "" {
		e.answerUpdate(w, update)
		return
	}
	e.answerQuery(w, query)
}

// answerUpdate adds triples. The lock is held.
func (e *Endpoint) answerUpdate(w http.ResponseWriter, update string) {
	data, ok := insideBraces(strings.TrimPrefix(update, "INSERT DATA"))
	if !ok {
		http.Error(w, "not known here", http.StatusBadRequest)
		return
	}
	e.triples = append(e.triples, parseTriples(data)...)
	w.WriteHeader(http.StatusNoContent)
}

// answerQuery solves a SELECT or ASK. The lock is held.
func (e *Endpoint) answerQuery(w http.ResponseWriter, query string) {
	patterns, ok := insideBraces(query)
	if !ok {
		http.Error(w, "not known here", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", results.JSON.MediaType())
	WriteResults(w, solve(e.triples, parseTriples(patterns)), strings.HasPrefix(query, "ASK"))
}

// WriteResults writes rows, or, where boolean, whether there are any, as JSON results. Errors of writing are dropped:
// the reader has gone.
func WriteResults(w io.Writer, rows []map[string]string, boolean bool) {
	out := results.NewWriter(results.JSON, w)
	defer func() { _ = out.Close() }() // see above
	if boolean {
		_ = out.Head(results.Head{Ask: true, Boolean: len(rows) > 0}) // see above
		return
	}
	variables := variablesOf(rows)
	_ = out.Head(results.Head{Vars: variables}) // see above
	for _, row := range rows {
		terms := make([]results.Term, len(variables))
		for i, name := range variables {
			if value, bound := row[name]; bound {
				terms[i] = termOf(value)
			}
		}
		_ = out.Row(terms) // see above
	}
}

// variablesOf are the names of all rows, in order.
func variablesOf(rows []map[string]string) []string {
	var names []string
	for _, row := range rows {
		for name := range row {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func termOf(value string) results.Term {
	if strings.HasPrefix(value, "<") {
		return results.Term{Kind: results.IRI, Value: strings.Trim(value, "<>")}
	}
	return results.Term{Kind: results.Literal, Value: strings.Trim(value, `"`)}
}
