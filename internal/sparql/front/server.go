package front

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/sparql/decide"
)

// Options are the settings of a Front.
type Options struct {
	Path            string // the URL path; PATH/TENANT selects a tenant
	Tenant          string // default, for requests that name none
	TenantHeader    string // the request header that names the tenant; "": none
	Rules           []decide.Rule
	DefaultTimeout  time.Duration // of a job
	MaxTimeout      time.Duration // of a job
	Services        []string      // endpoints that SERVICE may name
	Shared          *ingress.Shared
	Budget          *limits.Budget
	MaxFingerprints int           // limit of statement fingerprints with learned costs
	MaxKeys         int           // limit of stored idempotency keys
	KeyWindow       time.Duration // how long a key is kept after its update ended
}

// Limits of each connection state: reading headers and body, writing an answer, idle.
const (
	headersTimeout = 2 * time.Second
	bodyTimeout    = 5 * time.Second
	writeTimeout   = 3 * time.Second // for each write: a client that reads nothing for so long counts as gone
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 32 << 10
)

// Submitter accepts and runs jobs.
type Submitter interface {
	// Ready reports whether jobs are accepted.
	Ready() bool
	// Submit starts a job. The request's client gets exactly one answer.
	Submit(request gateway.Request)
}

// Front serves all SPARQL clients. Its methods are safe for concurrent use.
type Front struct {
	options        Options
	submitter      Submitter
	server         *http.Server
	isClosing      atomic.Bool
	pendingAnswers atomic.Int64
	started        time.Time
	rejected       ratelog.Logger

	handlers sync.WaitGroup // of requests; grows only while isClosing is false, with the lock held

	mu    sync.Mutex // guards the fields below
	costs *decide.CostEstimator
	keys  *decide.KeyTable
}

// New returns a front that submits jobs to the submitter. It accepts no connections until Serve.
func New(options Options, submitter Submitter) *Front {
	f := &Front{
		options:   options,
		submitter: submitter,
		started:   time.Now(),
		costs:     decide.NewCostEstimator(max(1, options.MaxFingerprints)),
		keys:      decide.NewKeyTable(options.MaxKeys, choice.Nanos(options.KeyWindow)),
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headersTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         trackState,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	return f
}

// Serve accepts connections until Close. since is when the listener was opened: clients may have connected
// and sent requests from then on.
func (f *Front) Serve(listener net.Listener, since time.Time) {
	clients := ingress.NewListener(listener, since)
	err := f.server.Serve(&frontListener{
		Listener:  clients,
		shared:    f.options.Shared,
		budget:    f.options.Budget,
		isClosing: &f.isClosing,
	})
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("sparql_ended", "reason", err)
	}
}

// PendingAnswers returns the number of jobs whose answer has not been written completely.
func (f *Front) PendingAnswers() int64 { return f.pendingAnswers.Load() }

// Close closes the listener and all connections, and waits until no request is being handled.
func (f *Front) Close() {
	f.stopAdmitting()
	_ = f.server.Close() // an error in closing a socket has no consequence
	f.handlers.Wait()
}

// stopAdmitting makes the front admit no further connections and requests.
func (f *Front) stopAdmitting() {
	f.mu.Lock()
	f.isClosing.Store(true)
	f.mu.Unlock()
	f.options.Shared.Conns.Wake()
}

// beginHandler counts a request that is being handled, unless the front is closing.
func (f *Front) beginHandler() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosing.Load() {
		return false
	}
	f.handlers.Add(1)
	return true
}

// frontListener accepts connections for net/http and adds them to the connection table.
type frontListener struct {
	*ingress.Listener
	shared    *ingress.Shared
	budget    *limits.Budget
	isClosing *atomic.Bool
}

// Accept waits for a connection, then for capacity in the connection table.
func (l *frontListener) Accept() (net.Conn, error) {
	socket, queuedSince, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var added *clientConn
	l.shared.Conns.Add(l.isClosing.Load, func() ingress.Conn {
		added = newClientConn(socket, l.shared, &l.budget.ReadBytes, queuedSince)
		return added
	})
	return added, nil
}

// trackState is called by net/http when a connection changes its state.
func trackState(conn net.Conn, state http.ConnState) {
	if tracked, is := conn.(*clientConn); is && state == http.StateIdle {
		tracked.endRequest()
	}
}
