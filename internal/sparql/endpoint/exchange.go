package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/results"
)

// Response headers of engines, structured fields (RFC 9651).
const (
	headerNotStarted = "Not-Started" // of a 503 or 429: the job was not started
	headerDraining   = "Draining"
	headerLoad       = "Load" // the load report
	headerTrue       = "?1"   // a structured-field boolean
)

// HeaderIdempotencyKey is sent by clients and forwarded to engines (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// defaultPort is the port of an endpoint whose URL names none.
const defaultPort = "80"

const formMediaType = "application/x-www-form-urlencoded"

// exchange sends an operation and reads the response.
func (c *Client) exchange(
	ctx context.Context, to backend.Host, id string, operation encodedOperation,
) backend.Reply {
	response, connected, err := c.post(ctx, to, id, operation)
	if err != nil {
		if !connected {
			return backend.Reply{Outcome: backend.NotConnected}
		}
		return backend.Reply{Outcome: backend.Reset}
	}
	defer response.Body.Close()
	c.reportSignal(to, response)
	load := response.Header.Get(headerLoad)
	switch {
	case refusedUnstarted(response):
		return backend.Reply{Outcome: backend.Full, Load: load}
	case operation.update && response.StatusCode/100 == 2:
		return backend.Reply{Outcome: readUpdateAnswer(response), Load: load}
	case response.StatusCode != http.StatusOK:
		counters.Increment("endpoint_statuses_bad")
		return backend.Reply{Outcome: backend.Failed, Load: load}
	}
	pages, outcome := c.readResult(response, operation.accept)
	return backend.Reply{Outcome: outcome, Pages: pages, Load: load}
}

func refusedUnstarted(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return response.Header.Get(headerNotStarted) == headerTrue
	}
	return false
}

// post sends a form. It also reports whether the request got a connection, after which the engine may have read some of
// the form.
func (c *Client) post(
	ctx context.Context, to backend.Host, id string, operation encodedOperation,
) (response *http.Response, connected bool, err error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	request, err := newRequest(ctx, to, operation.form)
	if err != nil {
		return nil, false, err
	}
	request.GetBody = nil // keeps net/http from resending a request that has been partly written
	request.Header.Set("Content-Type", formMediaType)
	request.Header.Set("Accept", operation.accept)
	if operation.idempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, operation.idempotencyKey)
	}
	request.Header.Set("User-Agent", "swiftreel")
	if id != "" {
		request.Header.Set("Job", id)
	}
	response, err = c.http.Do(request)
	return response, gotConn.Load(), err
}

// addressKey is the key of the address to dial in the context of a request.
type addressKey struct{}

// newRequest returns a request to an endpoint. net/http keeps connections by the host of the URL, so that it is given
// one for each process of an engine; the context has the address to dial.
func newRequest(ctx context.Context, to backend.Host, form []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.Address, bytes.NewReader(form))
	if err != nil {
		return nil, err
	}
	address := request.URL.Host
	if request.URL.Port() == "" {
		address = net.JoinHostPort(request.URL.Hostname(), defaultPort)
	}
	request.Host = request.URL.Host
	request.URL.Host = fmt.Sprintf("%x.%d", to.Name, to.Incarnation)
	return request.WithContext(context.WithValue(ctx, addressKey{}, address)), nil
}

// reportSignal reports the engine's state as indicated by a response.
func (c *Client) reportSignal(from backend.Host, response *http.Response) {
	signal := decide.SignalServing
	switch {
	case response.Header.Get(headerDraining) == headerTrue:
		signal = decide.SignalDraining
	case response.Close:
		signal = decide.SignalClosing
	}
	c.onSignal(from, signal)
}

// readUpdateAnswer reads the response body of an update. Its content is ignored, but it must be complete.
func readUpdateAnswer(response *http.Response) backend.Outcome {
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes+1))
	if err != nil || size > maxHeaderBytes {
		return backend.Failed
	}
	return backend.Done
}

// readResult reads a result into pages, within the limit of result memory, and checks that it is complete.
func (c *Client) readResult(response *http.Response, accept string) ([][]byte, backend.Outcome) {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	if !strings.EqualFold(strings.TrimSpace(mediaType), accept) || response.Header.Get("Content-Encoding") != "" {
		counters.Increment("endpoint_answers_of_another_form")
		return nil, backend.Failed
	}
	pages, err := c.readPages(response.Body)
	if errors.Is(err, errNoMemory) {
		counters.Increment("endpoint_answers_too_large")
		c.Release(pages)
		return nil, backend.NoMemory
	}
	truncated := response.ContentLength >= 0 && totalSize(pages) != response.ContentLength
	if err != nil || truncated {
		c.Release(pages)
		return nil, backend.Reset
	}
	if !isComplete(accept, pages) {
		counters.Increment("endpoint_results_bad")
		c.Release(pages)
		return nil, backend.Failed
	}
	return pages, backend.Done
}

// formats are the result formats, by media type, that can be checked for completeness.
var formats = map[string]results.Format{
	results.JSON.MediaType(): results.JSON,
	results.XML.MediaType():  results.XML,
	results.CSV.MediaType():  results.CSV,
	results.TSV.MediaType():  results.TSV,
}

// isComplete reports whether a result is complete and valid in its format. Other media types are not checked.
func isComplete(mediaType string, pages [][]byte) bool {
	format, known := formats[mediaType]
	return !known || readThrough(results.NewReader(format, Pages(pages))) == nil
}

// readThrough reads a result to its end and returns the first error.
func readThrough(reader results.Reader) error {
	if _, err := reader.Head(); err != nil {
		return err
	}
	for {
		_, err := reader.Next()
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF means a truncated result
			return nil
		}
		if err != nil {
			return err
		}
	}
}
