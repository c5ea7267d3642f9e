package front

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"swiftreel/internal/ingress"
	"swiftreel/internal/sparql/syntax"
)

// request is a parsed client request.
type request struct {
	update           bool
	text             string
	graphs           url.Values // the graph parameters, as received
	timeout          time.Duration
	received         ingress.Receipt
	wantsDescription bool // a GET without parameters, answered with the service description
}

// rejectionError is the reason for which a request is not submitted as a job, with its HTTP status.
type rejectionError struct {
	status     int
	text       string
	allow      string        // the Allow header; "": none
	retryAfter time.Duration // the Retry-After header; 0: none
}

// Error returns the text that is sent to the client.
func (r *rejectionError) Error() string { return r.text }

func rejectf(status int, format string, values ...any) *rejectionError {
	return &rejectionError{status: status, text: fmt.Sprintf(format, values...)}
}

// maxBodyBytes limits a request body, which may be URL-encoded; the parser limits the text itself.
const maxBodyBytes = 2 * syntax.MaxBytes

// graphParameters are the protocol's parameters that name graphs; the key is true for updates.
var graphParameters = map[bool][]string{
	false: {"default-graph-uri", "named-graph-uri"},
	true:  {"using-graph-uri", "using-named-graph-uri"},
}

// readRequest parses a request as specified in section 2 of the protocol. All errors are rejections.
func readRequest(
	w http.ResponseWriter, r *http.Request, memory *requestMemory, defaultTimeout, maxTimeout time.Duration,
) (request, error) {
	parameters, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return request{}, rejectf(http.StatusBadRequest, "the query string cannot be read: %v", err)
	}
	var result request
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		if len(parameters) == 0 {
			return request{wantsDescription: true}, nil
		}
		result, err = readQueryString(parameters)
		result.received = receive(r, "")
	case http.MethodPost:
		result, err = readBody(w, r, memory, parameters)
	default:
		return request{}, &rejectionError{
			status: http.StatusMethodNotAllowed,
			text:   "GET and POST are served",
			allow:  "GET, HEAD, POST",
		}
	}
	if err != nil {
		return request{}, err
	}
	if !utf8.ValidString(result.text) {
		return request{}, rejectf(http.StatusBadRequest, "the text is no UTF-8")
	}
	if result.graphs, err = readGraphs(parameters, result.update); err != nil {
		return request{}, err
	}
	result.timeout, err = readTimeout(parameters.Get("timeout"), r.Header.Get("Timeout"), defaultTimeout, maxTimeout)
	return result, err
}

func readQueryString(parameters url.Values) (request, error) {
	if parameters.Has("update") {
		return request{}, rejectf(http.StatusBadRequest, "an update is asked for by POST")
	}
	text, err := singleValue(parameters, "query")
	return request{text: text}, err
}

// singleValue returns the value of a parameter that must be given exactly once.
func singleValue(parameters url.Values, name string) (string, error) {
	values := parameters[name]
	if len(values) != 1 {
		return "", rejectf(http.StatusBadRequest, "%d parameters %s, where one is wanted", len(values), name)
	}
	return values[0], nil
}

// readBody reads a form, whose parameters are added to those of the query string, or an unencoded text.
func readBody(
	w http.ResponseWriter, r *http.Request, memory *requestMemory, parameters url.Values,
) (request, error) {
	mediaType, err := bodyMediaType(r.Header)
	if err != nil {
		return request{}, err
	}
	body, err := memory.readText(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request{}, rejectf(http.StatusRequestEntityTooLarge, "over %d bytes", maxBodyBytes)
	case errors.Is(err, errNoMemory):
		return request{}, rejectForMemory()
	case err != nil:
		return request{}, rejectf(http.StatusBadRequest, "the body breaks off")
	}
	received := receive(r, body)
	result, err := parseBody(body, mediaType, memory, parameters)
	result.received = received
	return result, err
}

// receive notes that a request has been read completely, and returns when it may have been received.
func receive(r *http.Request, body string) ingress.Receipt {
	conn := connOf(r.Context())
	conn.completeRequest()
	return conn.receiptOf(body)
}

func parseBody(body, mediaType string, memory *requestMemory, parameters url.Values) (request, error) {
	switch mediaType {
	case "application/x-www-form-urlencoded":
		if memory.growText(len(body)+parameterOverhead*strings.Count(body, "&")) != nil {
			return request{}, rejectForMemory()
		}
		return readForm(body, parameters)
	case "application/sparql-query", "application/sparql-update":
		if parameters.Has("query") || parameters.Has("update") {
			return request{}, rejectf(http.StatusBadRequest, "a text in the body and one in the query string")
		}
		return request{text: body, update: mediaType == "application/sparql-update"}, nil
	}
	return request{}, rejectf(http.StatusUnsupportedMediaType, "%q is none of application/x-www-form-urlencoded, "+
		"application/sparql-query, application/sparql-update", mediaType)
}

func bodyMediaType(header http.Header) (string, error) {
	mediaType, parameters, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return "", rejectf(http.StatusUnsupportedMediaType, "no Content-Type that can be read")
	}
	if charset := parameters["charset"]; charset != "" && charset != "utf-8" && charset != "UTF-8" {
		return "", rejectf(http.StatusUnsupportedMediaType, "charset %q: only utf-8 is read", charset)
	}
	if header.Get("Content-Encoding") != "" {
		return "", rejectf(http.StatusUnsupportedMediaType, "no Content-Encoding is read")
	}
	return mediaType, nil
}

func readForm(body string, parameters url.Values) (request, error) {
	form, err := url.ParseQuery(body)
	if err != nil {
		return request{}, rejectf(http.StatusBadRequest, "the form cannot be read: %v", err)
	}
	name := "query"
	update := form.Has("update")
	if update {
		name = "update"
	}
	if update && form.Has("query") {
		return request{}, rejectf(http.StatusBadRequest, "query and update in one form")
	}
	text, err := singleValue(form, name)
	if err != nil {
		return request{}, err
	}
	for name, values := range form { // graph parameters may be in the form or the query string
		parameters[name] = append(parameters[name], values...)
	}
	return request{text: text, update: update}, nil
}

// readGraphs returns the graph parameters of a query or update. It rejects parameters of the other kind of operation.
func readGraphs(parameters url.Values, update bool) (url.Values, error) {
	graphs := url.Values{}
	for _, name := range graphParameters[update] {
		if values := parameters[name]; len(values) > 0 {
			graphs[name] = values
		}
	}
	for _, name := range graphParameters[!update] {
		if parameters.Has(name) {
			return nil, rejectf(http.StatusBadRequest, "%s does not go with this operation", name)
		}
	}
	return graphs, nil
}

// readTimeout returns the job timeout: the parameter, else the header, both in whole milliseconds, else the default.
func readTimeout(parameter, header string, defaultTimeout, maxTimeout time.Duration) (time.Duration, error) {
	text := parameter
	if text == "" {
		text = header
	}
	if text == "" {
		return defaultTimeout, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 32)
	timeout := time.Duration(milliseconds) * time.Millisecond
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, rejectf(http.StatusBadRequest, "timeout %.20q is not from 1 to %d ms", text, maxTimeout.Milliseconds())
	}
	return timeout, nil
}
