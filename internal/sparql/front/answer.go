package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/sparql/decide"
	"swiftreel/internal/sparql/endpoint"
	"swiftreel/internal/sparql/results"
	"swiftreel/internal/sparql/syntax"
)

// The media types that are offered; the first is the default.
var (
	tableFormats = []string{
		results.JSON.MediaType(), results.XML.MediaType(), results.CSV.MediaType(), results.TSV.MediaType(),
	}
	graphFormats = []string{"text/turtle", "application/n-triples", "application/rdf+xml", "application/ld+json"}
)

// formats are the result formats by media type.
var formats = map[string]results.Format{
	results.JSON.MediaType(): results.JSON,
	results.XML.MediaType():  results.XML,
	results.CSV.MediaType():  results.CSV,
	results.TSV.MediaType():  results.TSV,
}

// answer delivers a job's outcome to the client. Only the handler's goroutine writes the response. The job's goroutine
// hands over the outcome and waits until it is written, as the handler may not retain the pages after that.
type answer struct {
	w            http.ResponseWriter
	r            *http.Request
	conn         *clientConn
	update       bool
	engineFormat string // the media type requested from the engine
	clientFormat string // the media type of the response

	// Used by the handler's goroutine only.
	duration      time.Duration        // of the attempt of a successful job
	updateOutcome decide.UpdateOutcome // UpdateMayHaveRun until known

	outcome     chan outcome
	handlerDone chan struct{}
	written     chan struct{}

	mu           sync.Mutex // guards the fields below
	onDisconnect func()
	disconnected bool
}

// outcome is how a job ended.
type outcome struct {
	pages      [][]byte
	took       time.Duration // of the attempt that brought the pages
	status     int
	text       string
	retryAfter time.Duration
	neverRan   bool // no engine began the job
}

var _ gateway.Client = (*answer)(nil)

// newAnswer returns the answer to a request, with its formats negotiated. It fails if no acceptable format is offered.
func newAnswer(w http.ResponseWriter, r *http.Request, statement *syntax.Statement) (*answer, error) {
	a := &answer{
		w:             w,
		r:             r,
		conn:          connOf(r.Context()),
		update:        statement.Form == syntax.Update,
		updateOutcome: decide.UpdateMayHaveRun,
		outcome:       make(chan outcome, 1),
		handlerDone:   make(chan struct{}),
		written:       make(chan struct{}),
	}
	if a.update {
		a.engineFormat = "*/*"
		return a, nil
	}
	offered := offeredFormats(statement.Form)
	format, ok := results.Negotiate(r.Header.Get("Accept"), offered)
	if !ok {
		return nil, rejectf(http.StatusNotAcceptable, "offered are %s", strings.Join(offered, ", "))
	}
	a.clientFormat = format
	a.engineFormat = format
	if offered[0] == tableFormats[0] {
		a.engineFormat = tableFormats[0] // its syntax shows whether the result is complete
	}
	return a, nil
}

// offeredFormats returns the media types offered for the result of a query form.
func offeredFormats(form syntax.Form) []string {
	switch form {
	case syntax.Ask:
		return tableFormats[:2] // CSV and TSV cannot represent a boolean
	case syntax.Construct, syntax.Describe:
		return graphFormats
	default:
		return tableFormats
	}
}

// Done implements gateway.Client.
func (a *answer) Done(pages [][]byte, took time.Duration) {
	a.deliver(outcome{pages: pages, took: took, status: http.StatusOK})
}

// Throttled implements gateway.Client.
func (a *answer) Throttled(wait time.Duration) {
	a.deliver(outcome{
		status:     http.StatusServiceUnavailable,
		text:       "throttled: trying again is harmless",
		retryAfter: max(wait, time.Second),
		neverRan:   true,
	})
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
	a.deliver(outcome{status: status, text: reason, neverRan: status == http.StatusBadRequest})
}

// deliver hands an outcome to the handler and waits until its pages, if any, are written.
func (a *answer) deliver(o outcome) {
	select {
	case a.outcome <- o:
	case <-a.handlerDone:
		return
	}
	if o.pages == nil {
		return
	}
	select {
	case <-a.written:
	case <-a.handlerDone:
	}
}

// OnDisconnect implements gateway.Client.
func (a *answer) OnDisconnect(notify func()) {
	a.mu.Lock()
	a.onDisconnect = notify
	disconnected := a.disconnected
	a.mu.Unlock()
	if disconnected {
		notify()
	}
}

// Connected implements gateway.Client. It detects a close of the connection even if earlier input is unread.
func (a *answer) Connected() bool {
	a.mu.Lock()
	disconnected := a.disconnected
	a.mu.Unlock()
	return !disconnected && !a.conn.isClosedByClient()
}

// AwaitInput implements gateway.Client. It does nothing: net/http reads the connection by itself, and a client can
// cancel a job only by disconnecting.
func (a *answer) AwaitInput(time.Duration) {}

// disconnectPollInterval is the interval at which a connection is checked for a disconnect that net/http does not
// detect. It must be detected within 100 ms.
const disconnectPollInterval = 25 * time.Millisecond

// wait returns when the answer has been written or the client has disconnected.
func (a *answer) wait() {
	defer close(a.handlerDone)
	var polls <-chan time.Time
	for {
		select {
		case o := <-a.outcome:
			a.finish(o)
			return
		case <-a.r.Context().Done():
			a.disconnect()
			return
		case <-a.conn.readAhead:
			ticker := time.NewTicker(disconnectPollInterval)
			defer ticker.Stop()
			polls = ticker.C
		case <-polls:
			if a.conn.isClosedByClient() {
				a.disconnect()
				return
			}
		}
	}
}

// finish notes and writes the outcome of the job.
func (a *answer) finish(o outcome) {
	switch {
	case o.status == http.StatusOK:
		a.updateOutcome = decide.UpdateDone
	case o.neverRan:
		a.updateOutcome = decide.UpdateNeverRan
	}
	a.write(o)
}

func (a *answer) disconnect() {
	a.mu.Lock()
	a.disconnected = true
	notify := a.onDisconnect
	a.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// write sends an outcome to the client. If the result is truncated, the connection is closed without the last chunk, so
// that the client sees an incomplete response.
func (a *answer) write(o outcome) {
	defer close(a.written)
	out := &deadlineWriter{a.w, http.NewResponseController(a.w)}
	if o.status != http.StatusOK {
		a.writeFailure(out, o)
		return
	}
	a.duration = o.took
	if a.update {
		a.w.WriteHeader(http.StatusNoContent)
		return
	}
	a.w.Header().Set("Content-Type", a.clientFormat)
	a.w.Header().Set("Vary", "Accept")
	if err := a.writeResult(out, endpoint.Pages(o.pages)); err != nil {
		counters.Increment("sparql_answers_cut")
		panic(http.ErrAbortHandler)
	}
}

func (a *answer) writeFailure(out *deadlineWriter, o outcome) {
	if o.retryAfter > 0 {
		setRetryAfter(a.w, o.retryAfter)
	}
	a.conn.rate.CountRefusal()
	out.extend()
	http.Error(a.w, o.text, o.status)
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	seconds := (wait + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// writeResult writes the engine's result, converted to the client's format if it differs.
func (a *answer) writeResult(out io.Writer, pages io.Reader) error {
	if a.engineFormat == a.clientFormat {
		_, err := io.Copy(out, pages)
		return err
	}
	writer := results.NewWriter(formats[a.clientFormat], out)
	_, err := results.Copy(writer, results.NewReader(formats[a.engineFormat], pages))
	return err
}

// deadlineWriter sets a new deadline for each write.
type deadlineWriter struct {
	w          io.Writer
	controller *http.ResponseController
}

func (d *deadlineWriter) extend() { setWriteDeadline(d.controller, time.Now().Add(writeTimeout)) }

// Write writes a part of an answer, which the client must read within writeTimeout.
func (d *deadlineWriter) Write(part []byte) (int, error) {
	d.extend()
	return d.w.Write(part)
}
