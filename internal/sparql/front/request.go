// Package front serves the SPARQL 1.1 Protocol over HTTP (W3C Recommendation of 2013-03-21): it reads requests, asks the
// gateway for jobs and writes the one answer of each. It decides nothing on jobs.
package front

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"swiftreel/internal/sparql/syntax"
)

// request is what a client asks for.
type request struct {
	update bool
	text   string
	graphs url.Values // default-graph-uri and the like, as they came
	left   time.Duration
	nobody bool // a bare GET: the service description is wanted
}

// refusal is a request that becomes no job.
type refusal struct {
	status int
	text   string
	allow  string
}

func (r *refusal) Error() string { return r.text }

func refuse(status int, text string, v ...any) *refusal {
	return &refusal{status: status, text: fmt.Sprintf(text, v...)}
}

// mostBody bounds a request's body; a text is bounded by the grammar's reader.
const mostBody = 2 * syntax.MaxBytes

// graphNames are the protocol's parameters for graphs: of queries, and of updates.
var graphNames = map[bool][]string{false: {"default-graph-uri", "named-graph-uri"}, true: {"using-graph-uri", "using-named-graph-uri"}}

// readRequest goes by section 2 of the protocol.
func readRequest(w http.ResponseWriter, r *http.Request, usual, most time.Duration) (q request, err error) {
	fields, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return q, refuse(http.StatusBadRequest, "the query string cannot be read: %v", err)
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		if q.nobody = len(fields) == 0; q.nobody {
			return q, nil
		}
		if fields.Has("update") {
			return q, refuse(http.StatusBadRequest, "an update is asked for by POST")
		}
		q.text, err = one(fields, "query")
	case http.MethodPost:
		fields, err = readBody(w, r, fields, &q)
	default:
		return q, &refusal{http.StatusMethodNotAllowed, "GET and POST are served", "GET, HEAD, POST"}
	}
	if err != nil {
		return q, err
	}
	if !utf8.ValidString(q.text) {
		return q, refuse(http.StatusBadRequest, "the text is no UTF-8")
	}
	q.graphs = url.Values{}
	for _, name := range graphNames[q.update] {
		if list := fields[name]; len(list) > 0 {
			q.graphs[name] = list
		}
	}
	for _, name := range graphNames[!q.update] {
		if fields.Has(name) {
			return q, refuse(http.StatusBadRequest, "%s does not go with this operation", name)
		}
	}
	q.left, err = timeout(fields.Get("timeout"), r.Header.Get("Timeout"), usual, most)
	return q, err
}

func one(fields url.Values, name string) (string, error) {
	if list := fields[name]; len(list) != 1 {
		return "", refuse(http.StatusBadRequest, "%d parameters %s, where one is wanted", len(list), name)
	}
	return fields.Get(name), nil
}

// readBody takes a form, or a text as it is.
func readBody(w http.ResponseWriter, r *http.Request, fields url.Values, q *request) (url.Values, error) {
	media, params, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		return nil, refuse(http.StatusUnsupportedMediaType, "no Content-Type that can be read")
	}
	if c := params["charset"]; c != "" && c != "utf-8" && c != "UTF-8" {
		return nil, refuse(http.StatusUnsupportedMediaType, "charset %q: only utf-8 is read", c)
	}
	if r.Header.Get("Content-Encoding") != "" {
		return nil, refuse(http.StatusUnsupportedMediaType, "no Content-Encoding is read")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "over %d bytes", mostBody)
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "the body breaks off")
	}
	switch media {
	case "application/x-www-form-urlencoded":
		form, err := url.ParseQuery(string(body))
		if err != nil {
			return nil, refuse(http.StatusBadRequest, "the form cannot be read: %v", err)
		}
		name := "query"
		if q.update = form.Has("update"); q.update {
			name = "update"
		}
		if q.update && form.Has("query") {
			return nil, refuse(http.StatusBadRequest, "query and update in one form")
		}
		if q.text, err = one(form, name); err != nil {
			return nil, err
		}
		for name, list := range form { // graphs may stand in either
			fields[name] = append(fields[name], list...)
		}
		return fields, nil
	case "application/sparql-query", "application/sparql-update":
		if fields.Has("query") || fields.Has("update") {
			return nil, refuse(http.StatusBadRequest, "a text in the body and one in the query string")
		}
		q.text, q.update = string(body), media == "application/sparql-update"
		return fields, nil
	}
	return nil, refuse(http.StatusUnsupportedMediaType, "%q is none of application/x-www-form-urlencoded, application/sparql-query, application/sparql-update", media)
}

// timeout is the job timeout: a parameter, else a header, in whole milliseconds, else the usual one.
func timeout(field, header string, usual, most time.Duration) (time.Duration, error) {
	if field == "" {
		field = header
	}
	if field == "" {
		return usual, nil
	}
	ms, err := strconv.ParseUint(field, 10, 32)
	if left := time.Duration(ms) * time.Millisecond; err == nil && left > 0 && left <= most {
		return left, nil
	}
	return 0, refuse(http.StatusBadRequest, "timeout %.20q is not from 1 to %d ms", field, most.Milliseconds())
}
