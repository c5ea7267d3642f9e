// Package endpoint speaks the SPARQL 1.1 Protocol with engines, behind the interface that all protocols share. It tells
// outcomes apart as strictly as the line protocol does: what never ran is known never to have run, and an answer counts
// only when it is whole and in the form that it states.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/results"
)

// Headers of engines, structured fields (RFC 9651): the first says that a 503 or 429 began nothing, the second that the
// engine drains, the third is its load report.
const (
	headerNotStarted = "Not-Started"
	headerDraining   = "Draining"
	headerLoad       = "Load"
	isTrue           = "?1"
	// HeaderIdempotencyKey is of clients, and handed on to engines (draft-ietf-httpapi-idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Ask is what a job's statement is on this protocol: how it is encoded for back.Request is this package's affair.
type Ask struct {
	Update bool
	Accept string     // the media type wanted of the engine
	Mark   string     // Idempotency-Key, by which engines drop repeats; "": none
	Form   url.Values // query or update, and the graphs
}

// Statement encodes it.
func (a Ask) Statement() []byte {
	kind := "query"
	if a.Update {
		kind = "update"
	}
	return []byte(kind + "\n" + a.Accept + "\n" + url.QueryEscape(a.Mark) + "\n" + a.Form.Encode())
}

// parseAsk reads it, but for the form, which goes out as it is.
func parseAsk(statement []byte) (a Ask, form []byte, err error) {
	parts := bytes.SplitN(statement, []byte("\n"), 4)
	if len(parts) != 4 {
		return a, nil, errors.New("no statement of this protocol")
	}
	a.Update, a.Accept = string(parts[0]) == "update", string(parts[1])
	a.Mark, err = url.QueryUnescape(string(parts[2]))
	return a, parts[3], err
}

// mostHeader bounds an answer's header; pageSize is what a result is held in.
const (
	mostHeader = 64 << 10
	pageSize   = 64 << 10
	probeText  = "query=ASK+%7B%7D"
)

// Client carries dispatches to all SPARQL endpoints. A Host's Address is the endpoint's URL.
type Client struct {
	bounds backend.Limits
	heard  func(name string, signal decide.Signal)
	http   *http.Client
	ctx    context.Context
	end    context.CancelFunc

	mu    sync.Mutex
	out   map[string]*count // by engine; one leaves with its last dispatch
	whole int               // dispatches and probes out: a connection each
}

type count struct{ open, givenUp int }

// New makes a client. What engines say of themselves beside their answers is told to heard.
func New(b backend.Limits, heard func(name string, signal decide.Signal)) *Client {
	dialer := &net.Dialer{Timeout: b.DialTimeout}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { // IPv4 only, as the fleet allows
		return dialer.DialContext(ctx, "tcp4", address)
	}
	c := &Client{bounds: b, heard: heard, out: map[string]*count{}}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.http = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DialContext: dial, DisableCompression: true, IdleConnTimeout: b.IdleTimeout * 2 / 3,
			MaxResponseHeaderBytes: mostHeader, MaxIdleConnsPerHost: 4, MaxIdleConns: 64},
	}
	return c
}

// dispatch is one that is out.
type dispatch struct {
	client *Client
	name   string
	cancel context.CancelFunc
	reply  func(backend.Reply)

	mu    sync.Mutex
	over  bool   // its end is told, or it was given up
	ended bool   // nothing of it is out
	done  func() // of who gave it up
}

// Start implements backend.Engines.
func (c *Client) Start(to backend.Host, r backend.Request, reply func(backend.Reply)) backend.Dispatch {
	ctx, cancel := context.WithCancel(c.ctx)
	d := &dispatch{client: c, name: to.Name, cancel: cancel, reply: reply}
	if !c.enter(to.Name) {
		counters.Increment("endpoint_conns_full")
		d.finish(backend.Reply{Outcome: backend.Full}, false) // it never ran, and the engine refused nothing
		return d
	}
	ask, form, err := parseAsk(r.Statement)
	if invariant.Check(err == nil, "statement_of_another_protocol"); err != nil {
		d.finish(backend.Reply{Outcome: backend.Superseded}, true)
		return d
	}
	if limit := time.Duration(r.TimeoutMS) * time.Millisecond; limit > 0 { // beyond it nobody waits
		stop := time.AfterFunc(limit+c.bounds.DialTimeout, cancel)
		go func() { <-ctx.Done(); stop.Stop() }()
	}
	go func() {
		d.finish(c.carry(ctx, to, string(r.ID), ask, form), true)
		cancel()
	}()
	return d
}

// finish tells the end, unless the dispatch was given up: then that it is over.
func (d *dispatch) finish(r backend.Reply, entered bool) {
	d.mu.Lock()
	told, done := d.over, d.done
	d.over, d.ended = true, true
	d.mu.Unlock()
	if entered {
		d.client.leave(d.name, told)
	}
	if !told {
		d.reply(r)
		return
	}
	d.client.Release(r.Pages)
	if done != nil {
		done()
	}
}

// Cancel implements backend.Dispatch. HTTP has no word for it: the connection is closed, and an engine that began may go
// on.
func (d *dispatch) Cancel(done func()) bool {
	d.mu.Lock()
	if d.over {
		d.mu.Unlock()
		return false
	}
	d.over, d.done = true, done
	d.mu.Unlock()
	d.client.given(d.name)
	d.cancel()
	return true
}

// SetPriority implements backend.Dispatch: there is no word for it.
func (d *dispatch) SetPriority(uint8) {}

// carry sends and reads one answer.
func (c *Client) carry(ctx context.Context, to backend.Host, id string, ask Ask, form []byte) backend.Reply {
	answer, got, err := c.post(ctx, to, id, ask, form)
	if err != nil {
		if !got {
			return backend.Reply{Outcome: backend.NotConnected}
		}
		return backend.Reply{Outcome: backend.Reset}
	}
	defer answer.Body.Close()
	c.listen(to.Name, answer)
	load := answer.Header.Get(headerLoad)
	switch {
	case (answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests) &&
		answer.Header.Get(headerNotStarted) == isTrue:
		return backend.Reply{Outcome: backend.Full, Load: load}
	case ask.Update && answer.StatusCode/100 == 2:
		return backend.Reply{Outcome: c.drained(answer), Load: load}
	case answer.StatusCode != http.StatusOK:
		counters.Increment("endpoint_statuses_bad")
		return backend.Reply{Outcome: backend.Failed, Load: load}
	}
	pages, end := c.read(answer, ask.Accept)
	return backend.Reply{Outcome: end, Pages: pages, Load: load}
}

// post sends a form. got: a connection was up, so that any of it may have been read.
func (c *Client) post(ctx context.Context, to backend.Host, id string, ask Ask, form []byte) (answer *http.Response, got bool, err error) {
	var up sync.Mutex
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		up.Lock()
		got = true
		up.Unlock()
	}})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, to.Address, bytes.NewReader(form))
	if err != nil {
		return nil, false, err
	}
	r.GetBody = nil // never sent a second time by the library once a byte of it went out
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Accept", ask.Accept)
	if ask.Mark != "" {
		r.Header.Set(HeaderIdempotencyKey, ask.Mark)
	}
	r.Header.Set("User-Agent", "swiftreel")
	if id != "" {
		r.Header.Set("Job", id)
	}
	answer, err = c.http.Do(r)
	up.Lock()
	defer up.Unlock()
	return answer, got, err
}

// listen hears what an engine says of itself.
func (c *Client) listen(name string, a *http.Response) {
	w := decide.SignalServing
	switch {
	case a.Header.Get(headerDraining) == isTrue:
		w = decide.SignalDraining
	case a.Close:
		w = decide.SignalClosing
	}
	c.heard(name, w)
}

// drained reads the rest of an update's answer, which says nothing, but must be whole.
func (c *Client) drained(a *http.Response) backend.Outcome {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, mostHeader+1))
	if err != nil || n > mostHeader {
		return backend.Failed
	}
	return backend.Done
}

// read takes a result into pages, within the bytes there are, and follows its form to the end.
func (c *Client) read(a *http.Response, accept string) (pages [][]byte, end backend.Outcome) {
	media, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	if !strings.EqualFold(strings.TrimSpace(media), accept) || a.Header.Get("Content-Encoding") != "" {
		counters.Increment("endpoint_answers_of_another_form")
		return nil, backend.Failed
	}
	var err error
	for err == nil {
		if !c.bounds.ResultBytes.Reserve(pageSize) {
			counters.Increment("endpoint_answers_too_large")
			c.Release(pages)
			return nil, backend.Failed
		}
		page, n := make([]byte, pageSize), 0
		for n < pageSize && err == nil { // not io.ReadFull: it tells a body cut short like one that ends
			var m int
			m, err = a.Body.Read(page[n:])
			n += m
		}
		c.bounds.ResultBytes.Release(pageSize - n)
		if n > 0 {
			pages = append(pages, page[:n:n])
		}
	}
	if err != io.EOF || a.ContentLength >= 0 && size(pages) != a.ContentLength {
		c.Release(pages)
		return nil, backend.Reset
	}
	if f, is := formats[accept]; is {
		if err := whole(results.NewReader(f, Pages(pages))); err != nil {
			counters.Increment("endpoint_results_bad")
			c.Release(pages)
			return nil, backend.Failed
		}
	}
	return pages, backend.Done
}

// formats are those whose end can be told.
var formats = map[string]results.Format{results.JSON.MediaType(): results.JSON, results.XML.MediaType(): results.XML,
	results.CSV.MediaType(): results.CSV, results.TSV.MediaType(): results.TSV}

func whole(r results.Reader) error {
	if _, err := r.Head(); err != nil {
		return err
	}
	for {
		if _, err := r.Next(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func size(pages [][]byte) (n int64) {
	for _, p := range pages {
		n += int64(len(p))
	}
	return n
}

// Pages reads pages one after the other.
func Pages(pages [][]byte) io.Reader {
	list := make([]io.Reader, len(pages))
	for i, p := range pages {
		list[i] = bytes.NewReader(p)
	}
	return io.MultiReader(list...)
}

// Probe implements backend.Engines: an ASK that every endpoint answers at once.
func (c *Client) Probe(to backend.Host, load bool, limit time.Duration, reply func(backend.Reply)) {
	if !c.enter("") {
		reply(backend.Reply{Outcome: backend.Full})
		return
	}
	defer c.leave("", false)
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	answer, got, err := c.post(ctx, to, "", Ask{Accept: results.JSON.MediaType()}, []byte(probeText))
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply(backend.Reply{Outcome: backend.TimedOut})
		return
	case err != nil && !got:
		reply(backend.Reply{Outcome: backend.NotConnected})
		return
	case err != nil:
		reply(backend.Reply{Outcome: backend.Reset})
		return
	}
	defer answer.Body.Close()
	r := backend.Reply{Outcome: backend.Failed, Load: answer.Header.Get(headerLoad)}
	if answer.StatusCode == http.StatusServiceUnavailable { // said of itself, without a job
		c.heard(to.Name, decide.SignalDraining)
		r.Outcome = backend.Full
	} else if c.listen(to.Name, answer); answer.StatusCode == http.StatusOK {
		head, err := results.NewReader(results.JSON, io.LimitReader(answer.Body, mostHeader)).Head()
		if err == nil && head.Ask {
			r.Outcome = backend.Done
		}
	}
	if !load {
		r.Load = ""
	}
	reply(r)
}

// enter takes a place among the connections.
func (c *Client) enter(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole >= c.bounds.Conns.Max() {
		return false
	}
	c.whole++
	if name != "" {
		if c.out[name] == nil {
			c.out[name] = &count{}
		}
		c.out[name].open++
	}
	return true
}

func (c *Client) given(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.out[name]; n != nil {
		n.open--
		n.givenUp++
	}
}

func (c *Client) leave(name string, givenUp bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole--
	n := c.out[name]
	if n == nil {
		return
	}
	if givenUp {
		n.givenUp--
	} else {
		n.open--
	}
	if *n == (count{}) {
		delete(c.out, name)
	}
}

// CloseIdle implements backend.Engines; the library closes all that are idle, which costs others a dial.
func (c *Client) CloseIdle(string) { c.http.CloseIdleConnections() }

// InFlight implements backend.Engines.
func (c *Client) InFlight(name string) (open, givenUp int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.out[name]; n != nil {
		return n.open, n.givenUp
	}
	return 0, 0
}

// Release implements backend.Engines.
func (c *Client) Release(pages [][]byte) { c.bounds.ResultBytes.Release(int(size(pages))) }

// Close implements backend.Engines.
func (c *Client) Close() {
	c.end()
	c.http.CloseIdleConnections()
}

var _ backend.Engines = (*Client)(nil)
