package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"swiftreel/internal/sparql/results"
)

// Endpoint is a stand-in for a SPARQL engine: a small store of triples of its own, which answers SELECT and ASK over
// basic graph patterns whose terms stand apart by white space, and INSERT DATA. Nothing else of SPARQL is known to it.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	triples  [][3]string
	received []string // texts that it began
	// Before is asked before a text is begun; true: it has dealt with the request itself. Set under Script.
	intercept func(w http.ResponseWriter, text string) bool
}

// StartEndpoint listens at an address, with some triples.
func StartEndpoint(address string, triples ...[3]string) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{listener: l, triples: triples}
	e.server = &http.Server{Handler: e}
	e.running.Go(func() { e.server.Serve(l) })
	return e, nil
}

// URL is where it answers.
func (e *Endpoint) URL() string { return "http://" + e.listener.Addr().String() + "/sparql" }

// Script sets what deals with requests first.
func (e *Endpoint) Intercept(before func(w http.ResponseWriter, text string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.intercept = before
}

// Seen gives the texts that it began, probes aside.
func (e *Endpoint) Received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// Close dies as a process does.
func (e *Endpoint) Close() {
	e.server.Close()
	e.running.Wait()
}

// ServeHTTP answers the SPARQL protocol.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.ParseForm()
	text, update := r.PostForm.Get("query"), r.PostForm.Get("update")
	e.mu.Lock()
	before := e.intercept
	e.mu.Unlock()
	if before != nil && before(w, text+update) {
		return
	}
	if text == "ASK {}" {
		w.Header().Set("Load", "inflight:0")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if text != "ASK {}" {
		e.received = append(e.received, text+update)
	}
	if update != "" {
		inner, is := inBraces(strings.TrimPrefix(update, "INSERT DATA"))
		if !is {
			http.Error(w, "not known here", http.StatusBadRequest)
			return
		}
		e.triples = append(e.triples, patterns(inner)...)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	inner, is := inBraces(text)
	if !is {
		http.Error(w, "not known here", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", results.JSON.MediaType())
	WriteResults(w, e.solve(patterns(inner)), strings.HasPrefix(text, "ASK"))
}

// Answer writes rows, or whether there are any, as JSON results.
func WriteResults(w io.Writer, rows []map[string]string, ask bool) {
	out := results.NewWriter(results.JSON, w)
	if ask {
		out.Head(results.Head{Ask: true, Boolean: len(rows) > 0})
		out.Close()
		return
	}
	var vars []string
	for _, row := range rows {
		for v := range row {
			if !slices.Contains(vars, v) {
				vars = append(vars, v)
			}
		}
	}
	slices.Sort(vars)
	out.Head(results.Head{Vars: vars})
	for _, row := range rows {
		terms := make([]results.Term, len(vars))
		for i, v := range vars {
			if value, is := row[v]; is && strings.HasPrefix(value, "<") {
				terms[i] = results.Term{Kind: results.IRI, Value: strings.Trim(value, "<>")}
			} else if is {
				terms[i] = results.Term{Kind: results.Literal, Value: strings.Trim(value, `"`)}
			}
		}
		out.Row(terms)
	}
	out.Close()
}

func inBraces(text string) (string, bool) {
	from, to := strings.IndexByte(text, '{'), strings.LastIndexByte(text, '}')
	if from < 0 || to < from {
		return "", false
	}
	return text[from+1 : to], true
}

// patterns reads triples that stand apart by dots.
func patterns(text string) (list [][3]string) {
	words := strings.Fields(text)
	for i := 0; i+2 < len(words); i++ {
		if words[i] != "." {
			list = append(list, [3]string{words[i], words[i+1], words[i+2]})
			i += 2
		}
	}
	return list
}

// solve joins patterns, one after the other.
func (e *Endpoint) solve(list [][3]string) []map[string]string {
	rows := []map[string]string{{}}
	for _, p := range list {
		var next []map[string]string
		for _, row := range rows {
			for _, t := range e.triples {
				with := map[string]string{}
				for k, v := range row {
					with[k] = v
				}
				fits := true
				for i, term := range p {
					name, free := strings.CutPrefix(term, "?")
					if !free {
						fits = fits && term == t[i]
					} else if bound, is := with[name]; is {
						fits = fits && bound == t[i]
					} else {
						with[name] = t[i]
					}
				}
				if fits {
					next = append(next, with)
				}
			}
		}
		rows = next
	}
	return rows
}

// String names it in a test's words.
func (e *Endpoint) String() string { return fmt.Sprintf("endpoint at %s", e.listener.Addr()) }
