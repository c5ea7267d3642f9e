package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
	"swiftreel/internal/sparql/results"
	"swiftreel/internal/sparql/syntax"
)

// Options are what the operator's file says of it.
type Options struct {
	Path         string // where it is served; with /TENANT behind it the tenant is TENANT
	Tenant       string // of who names none
	TenantHeader string // "": no header names one
	Rules        []decide.Rule
	Usual, Most  time.Duration // job timeouts
	Services     []string      // that SERVICE may name
	Conns        int           // of clients in hand
	Shapes       int
	Marks        int           // remembered
	Window       time.Duration // after their update ended
}

// The states of a connection have their limits: headers, body, an answer that is not read, idleness.
const (
	headersWithin = 2 * time.Second
	bodyWithin    = 5 * time.Second
	takenWithin   = 3 * time.Second // a part of an answer; a client that takes none of it for so long is gone
	idleWithin    = 30 * time.Second
	mostHeader    = 32 << 10
)

// Submitter is who the jobs are for.
type Submitter interface {
	Ready() bool
	Submit(gateway.Request)
}

// Front is all HTTP clients.
type Front struct {
	o      Options
	taker  Submitter
	server *http.Server
	places chan struct{}
	owed   atomic.Int64

	start time.Time
	mu    sync.Mutex
	costs *decide.CostEstimator
	keys  *decide.KeyTable
	bad   ratelog.Logger
}

// New serves a taker. Serve begins it.
func New(o Options, taker Submitter) *Front {
	f := &Front{o: o, taker: taker, places: make(chan struct{}, max(1, o.Conns)), costs: decide.NewCostEstimator(max(1, o.Shapes)),
		start: time.Now(), keys: decide.NewKeyTable(o.Marks, choice.Nanos(o.Window))}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headersWithin, IdleTimeout: idleWithin, MaxHeaderBytes: mostHeader,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	return f
}

// Serve accepts until Close.
func (f *Front) Serve(l net.Listener) {
	if err := f.server.Serve(&bounded{l, f.places}); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("sparql_ended", "reason", err)
	}
}

// Owed counts the jobs whose answer has not gone out.
func (f *Front) Owed() int64 { return f.owed.Load() }

// Close ends all connections.
func (f *Front) Close() { f.server.Close() }

// Shutdown takes no new connection and closes idle ones.
func (f *Front) Shutdown() { go f.server.Shutdown(context.Background()) }

// bounded lets so many connections in; more wait at the door.
type bounded struct {
	net.Listener
	places chan struct{}
}

func (b *bounded) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.places <- struct{}{}
	return &placed{Conn: c, places: b.places}, nil
}

type placed struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

func (p *placed) Close() error {
	p.once.Do(func() { <-p.places })
	return p.Conn.Close()
}

// ServeHTTP is one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tenant, here := f.tenant(r)
	if !here {
		http.Error(w, "SPARQL is served at "+f.o.Path, http.StatusNotFound)
		return
	}
	ctrl := http.NewResponseController(w)
	ctrl.SetReadDeadline(time.Now().Add(bodyWithin))
	ctrl.SetWriteDeadline(time.Time{}) // that of the answer before on this connection is over
	at := time.Now()
	q, err := readRequest(w, r, f.o.Usual, f.o.Most)
	if err == nil && q.nobody {
		f.describe(w, r)
		return
	}
	var s *syntax.Statement
	if err == nil {
		s, err = f.understand(q)
	}
	if err != nil {
		f.refused(w, err)
		return
	}
	ctrl.SetReadDeadline(time.Time{}) // the next request on it has its own
	a, err := f.answerFor(w, r, s)
	if err != nil {
		f.refused(w, err)
		return
	}
	key, err := readIdempotencyKey(r, tenant, q.update)
	if err != nil {
		f.refused(w, err)
		return
	}
	if !f.admitKey(a, q, key) {
		return
	}
	if key.Value != "" {
		defer func() { // whatever ends the request: a key that stayed in progress would stay for ever
			f.mu.Lock()
			f.keys.End(f.now(), key, a.ends)
			f.mu.Unlock()
		}()
	}
	f.ask(a, q, s, key, tenant, at)
}

// tenant is told by the path, a header or the user of basic authentication, in this order.
func (f *Front) tenant(r *http.Request) (string, bool) {
	rest, here := strings.CutPrefix(r.URL.Path, f.o.Path)
	if !here || rest != "" && (rest[0] != '/' || strings.Contains(rest[1:], "/")) {
		return "", false
	}
	if len(rest) > 1 {
		return rest[1:], true
	}
	if f.o.TenantHeader != "" {
		if name := r.Header.Get(f.o.TenantHeader); name != "" {
			return name, true
		}
	}
	if user, _, told := r.BasicAuth(); told && user != "" {
		return user, true
	}
	return f.o.Tenant, true
}

// understand reads the text; what is malformed, or calls services that are not allowed, goes no further.
func (f *Front) understand(q request) (*syntax.Statement, error) {
	s, err := syntax.Parse(q.text, q.update)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	for _, service := range s.Services {
		if !slices.Contains(f.o.Services, service) {
			return nil, refuse(http.StatusBadRequest, "SERVICE <%s> is not allowed here", service)
		}
	}
	if s.Loads {
		return nil, refuse(http.StatusBadRequest, "LOAD is not allowed here")
	}
	if q.update && len(q.graphs) > 0 && s.Dataset { // section 2.2.3 of the protocol
		return nil, refuse(http.StatusBadRequest, "USING or WITH in the text, and using-graph-uri")
	}
	return s, nil
}

func (f *Front) refused(w http.ResponseWriter, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = refuse(http.StatusBadRequest, "%v", err)
	}
	f.bad.CountAndWarn("sparql_refused", "sparql_refused", "status", r.status, "reason", r.text)
	if r.allow != "" {
		w.Header().Set("Allow", r.allow)
	}
	http.Error(w, r.text, r.status)
}

// The media types that are offered, the first where the client does not care.
var (
	tables  = []string{results.JSON.MediaType(), results.XML.MediaType(), results.CSV.MediaType(), results.TSV.MediaType()}
	formats = map[string]results.Format{tables[0]: results.JSON, tables[1]: results.XML, tables[2]: results.CSV, tables[3]: results.TSV}
	triples = []string{"text/turtle", "application/n-triples", "application/rdf+xml", "application/ld+json"}
)

// ask takes the job to the gateway and waits for its answer, or for the client's leave.
func (f *Front) ask(a *answer, q request, s *syntax.Statement, key decide.IdempotencyKey, tenant string, at time.Time) {
	f.mu.Lock()
	work, _ := f.costs.Estimate(s)
	f.mu.Unlock()
	typ, known := decide.Classify(f.o.Rules, s, work, key.Value != "")
	if !known {
		a.ends = decide.UpdateNeverRan
		f.refused(a.w, refuse(http.StatusBadRequest, "no reservation type takes this"))
		return
	}
	form := url.Values{"query": {q.text}}
	if q.update {
		form = url.Values{"update": {q.text}}
	}
	for name, list := range q.graphs {
		form[name] = list
	}
	var id [8]byte
	rand.Read(id[:])
	f.owed.Add(1)
	defer f.owed.Add(-1)
	f.taker.Submit(gateway.Request{Type: []byte(typ), ID: []byte(hex.EncodeToString(id[:])), Tenant: []byte(tenant), Key: []byte(decide.OrderKey(s)),
		Statement: endpoint.Ask{Update: q.update, Accept: a.wants, Mark: key.Value, Form: form}.Statement(), Timeout: q.left, ArrivedAt: at, EstimatedWork: time.Duration(work),
		Protocol: backend.SPARQL, Client: a})
	a.wait()
	if a.took > 0 {
		f.mu.Lock()
		f.costs.Observe(s, choice.Nanos(a.took))
		f.mu.Unlock()
	}
}

// describe is the service description (W3C Recommendation of 2013-03-21).
func (f *Front) describe(w http.ResponseWriter, r *http.Request) {
	if _, ok := results.Negotiate(r.Header.Get("Accept"), triples[:1]); !ok {
		f.refused(w, refuse(http.StatusNotAcceptable, "the description is offered as %s", triples[0]))
		return
	}
	w.Header().Set("Content-Type", triples[0])
	fmt.Fprintf(w, "@prefix sd: <http://www.w3.org/ns/sparql-service-description#> .\n[] a sd:Service ;\n  sd:endpoint <%s> ;\n"+
		"  sd:supportedLanguage sd:SPARQL11Query, sd:SPARQL11Update ;\n  sd:resultFormat <http://www.w3.org/ns/formats/SPARQL_Results_JSON>, "+
		"<http://www.w3.org/ns/formats/SPARQL_Results_XML>, <http://www.w3.org/ns/formats/SPARQL_Results_CSV>, <http://www.w3.org/ns/formats/SPARQL_Results_TSV> .\n", f.o.Path)
}

// answer is a job's one answer on its way to the client. The handler alone writes; who has an answer hands it over and
// waits until it is out, as its pages are not the handler's to keep.
type answer struct {
	w      http.ResponseWriter
	r      *http.Request
	update bool
	ask    bool
	wants  string // the media type asked of the engine
	gives  string // and that of the answer
	began  time.Time
	took   time.Duration
	ends   decide.UpdateOutcome // the handler's: how an update ended, as far as is known

	come  chan outcome
	over  chan struct{} // the handler ends
	wrote chan struct{}

	mu   sync.Mutex
	left func()
	gone bool
}

type outcome struct {
	pages  [][]byte
	status int
	text   string
	wait   time.Duration
	never  bool // nothing of it ran
}

// answerFor negotiates.
func (f *Front) answerFor(w http.ResponseWriter, r *http.Request, s *syntax.Statement) (*answer, error) {
	a := &answer{w: w, r: r, update: s.Form == syntax.Update, ask: s.Form == syntax.Ask, began: time.Now(), ends: decide.UpdateMayHaveRun, come: make(chan outcome, 1),
		over: make(chan struct{}), wrote: make(chan struct{})}
	offered := tables
	switch s.Form {
	case syntax.Update:
		a.wants = "*/*"
		return a, nil
	case syntax.Ask:
		offered = tables[:2] // the others have no form for it
	case syntax.Construct, syntax.Describe:
		offered = triples
	}
	gives, ok := results.Negotiate(r.Header.Get("Accept"), offered)
	if !ok {
		return nil, refuse(http.StatusNotAcceptable, "offered are %s", strings.Join(offered, ", "))
	}
	if a.gives, a.wants = gives, gives; offered[0] == tables[0] {
		a.wants = tables[0] // it tells whether it is whole
	}
	return a, nil
}

// Done implements gateway.Client.
func (a *answer) Done(pages [][]byte) { a.hand(outcome{pages: pages, status: http.StatusOK}) }

// Throttled implements gateway.Client.
func (a *answer) Throttled(wait time.Duration) {
	a.hand(outcome{status: http.StatusServiceUnavailable, text: "throttled: trying again is harmless", wait: max(wait, time.Second), never: true})
}

// Failed implements gateway.Client.
func (a *answer) Failed(reason string) {
	status := http.StatusBadRequest
	switch reason {
	case gateway.ReasonCancelled:
		status = http.StatusBadGateway
	case gateway.ReasonTimeout:
		status = http.StatusGatewayTimeout
	}
	a.hand(outcome{status: status, text: reason, never: status == http.StatusBadRequest})
}

func (a *answer) hand(o outcome) {
	select {
	case a.come <- o:
	case <-a.over:
		return
	}
	if o.pages != nil {
		select {
		case <-a.wrote:
		case <-a.over:
		}
	}
}

// OnDisconnect implements gateway.Client.
func (a *answer) OnDisconnect(left func()) {
	a.mu.Lock()
	a.left = left
	gone := a.gone
	a.mu.Unlock()
	if gone {
		left()
	}
}

// Connected implements gateway.Client.
func (a *answer) Connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.gone
}

// wait ends with the answer out, or the client gone.
func (a *answer) wait() {
	defer close(a.over)
	select {
	case o := <-a.come:
		switch {
		case o.status == http.StatusOK:
			a.ends = decide.UpdateDone
		case o.never:
			a.ends = decide.UpdateNeverRan
		}
		a.write(o)
	case <-a.r.Context().Done():
		a.mu.Lock()
		a.gone = true
		left := a.left
		a.mu.Unlock()
		if left != nil {
			left()
		}
	}
}

// write puts an answer out. A result that breaks off on its way ends the connection without its last chunk.
func (a *answer) write(o outcome) {
	defer close(a.wrote)
	out := &paced{a.w, http.NewResponseController(a.w)}
	switch {
	case o.status != http.StatusOK:
		if o.wait > 0 {
			a.w.Header().Set("Retry-After", strconv.FormatInt(int64((o.wait+time.Second-1)/time.Second), 10))
		}
		out.extend()
		http.Error(a.w, o.text, o.status)
		return
	case a.update:
		a.took = time.Since(a.began)
		a.w.WriteHeader(http.StatusNoContent)
		return
	}
	a.took = time.Since(a.began)
	a.w.Header().Set("Content-Type", a.gives)
	a.w.Header().Set("Vary", "Accept")
	var err error
	if from, to := formats[a.wants], formats[a.gives]; a.wants == a.gives {
		_, err = io.Copy(out, endpoint.Pages(o.pages))
	} else {
		_, err = results.Copy(results.NewWriter(to, out), results.NewReader(from, endpoint.Pages(o.pages)))
	}
	if err != nil {
		counters.Increment("sparql_answers_cut")
		panic(http.ErrAbortHandler)
	}
}

// paced writes with a time limit for each part.
type paced struct {
	w    io.Writer
	ctrl *http.ResponseController
}

func (p *paced) extend() { p.ctrl.SetWriteDeadline(time.Now().Add(takenWithin)) }

func (p *paced) Write(b []byte) (int, error) {
	p.extend()
	return p.w.Write(b)
}

var _ gateway.Client = (*answer)(nil)
