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

// probeQuery is the query that controllers send as a probe.
const probeQuery = "ASK {}"

// Interceptor handles a request before an Endpoint does. text is the request's query or update. It returns true if it
// has written the answer.
type Interceptor func(w http.ResponseWriter, text string) bool

// Endpoint is a fake SPARQL engine with an in-memory triple store. It supports SELECT and ASK over basic graph patterns
// with terms separated by white space, and INSERT DATA, but no other part of SPARQL.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex
	triples   []triple
	received  []string
	intercept Interceptor
}

// StartEndpoint listens on an address, with a store that contains the given triples.
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
		_ = e.server.Serve(listener) // returns only after Close
	})
	return e, nil
}

// URL returns the URL of the SPARQL endpoint.
func (e *Endpoint) URL() string { return "http://" + e.listener.Addr().String() + "/sparql" }

// Intercept sets the interceptor for later requests.
func (e *Endpoint) Intercept(intercept Interceptor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.intercept = intercept
}

// Received returns the queries and updates handled by the endpoint itself, without probes.
func (e *Endpoint) Received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// StopListening makes the endpoint accept no more connections. Open ones stay in use, and another endpoint may listen
// on the address.
func (e *Endpoint) StopListening() {
	_ = e.listener.Close() // an error does not matter
}

// Close stops the server at once and closes its connections, as a crash does.
func (e *Endpoint) Close() {
	_ = e.server.Close() // an error from closing the listener does not matter
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

// answerUpdate adds triples. e.mu must be held.
func (e *Endpoint) answerUpdate(w http.ResponseWriter, update string) {
	data, ok := insideBraces(strings.TrimPrefix(update, "INSERT DATA"))
	if !ok {
		http.Error(w, "unsupported update", http.StatusBadRequest)
		return
	}
	e.triples = append(e.triples, parseTriples(data)...)
	w.WriteHeader(http.StatusNoContent)
}

// answerQuery evaluates a SELECT or ASK query. e.mu must be held.
func (e *Endpoint) answerQuery(w http.ResponseWriter, query string) {
	patterns, ok := insideBraces(query)
	if !ok {
		http.Error(w, "unsupported query", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", results.JSON.MediaType())
	WriteResults(w, solve(e.triples, parseTriples(patterns)), strings.HasPrefix(query, "ASK"))
}

// WriteResults writes rows as SPARQL JSON results, or, if boolean is true, whether there are any rows. Write errors are
// ignored: they mean that the reader has disconnected.
func WriteResults(w io.Writer, rows []map[string]string, boolean bool) {
	out := results.NewWriter(results.JSON, w)
	defer func() { _ = out.Close() }() // see above
	if boolean {
		_ = out.Head(results.Head{Ask: true, Boolean: len(rows) > 0}) // see above
		return
	}
	variables := variableNames(rows)
	_ = out.Head(results.Head{Vars: variables}) // see above
	for _, row := range rows {
		terms := make([]results.Term, len(variables))
		for i, name := range variables {
			if value, bound := row[name]; bound {
				terms[i] = parseTerm(value)
			}
		}
		_ = out.Row(terms) // see above
	}
}

// variableNames returns the sorted names of all variables bound in rows.
func variableNames(rows []map[string]string) []string {
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

func parseTerm(value string) results.Term {
	if strings.HasPrefix(value, "<") {
		return results.Term{Kind: results.IRI, Value: strings.Trim(value, "<>")}
	}
	return results.Term{Kind: results.Literal, Value: strings.Trim(value, `"`)}
}
