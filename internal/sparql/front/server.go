package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/gateway"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/sparql/decide"
)

// Options are what the operator's file says of the front.
type Options struct {
	Path            string // where it is served; with /TENANT behind it the tenant is TENANT
	Tenant          string // of requests that name none
	TenantHeader    string // "": no header names one
	Rules           []decide.Rule
	DefaultTimeout  time.Duration // of a job
	MaxTimeout      time.Duration // of a job
	Services        []string      // that SERVICE may name
	Conns           int           // of clients, open at once
	MaxFingerprints int           // of queries whose cost is remembered
	MaxKeys         int           // idempotency keys remembered
	KeyWindow       time.Duration // for which a key is remembered after its update ended
}

// Each state of a connection has its limit: headers, body, an answer that is not read, idleness.
const (
	headersTimeout = 2 * time.Second
	bodyTimeout    = 5 * time.Second
	writeTimeout   = 3 * time.Second // for a part of an answer: a client that takes none of it for so long has left
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 32 << 10
)

// Submitter runs jobs.
type Submitter interface {
	// Ready reports whether jobs are accepted.
	Ready() bool
	// Submit starts a job. The request's client gets exactly one answer.
	Submit(request gateway.Request)
}

// Front serves all SPARQL clients. Its methods are safe for concurrent use.
type Front struct {
	options   Options
	submitter Submitter
	server    *http.Server
	connSlots chan struct{}
	owed      atomic.Int64
	started   time.Time
	rejected  ratelog.Logger

	mu    sync.Mutex // guards what follows
	costs *decide.CostEstimator
	keys  *decide.KeyTable
}

// New returns a front whose jobs the submitter runs. It serves nobody until Serve.
func New(options Options, submitter Submitter) *Front {
	f := &Front{
		options:   options,
		submitter: submitter,
		connSlots: make(chan struct{}, max(1, options.Conns)),
		started:   time.Now(),
		costs:     decide.NewCostEstimator(max(1, options.MaxFingerprints)),
		keys:      decide.NewKeyTable(options.MaxKeys, choice.Nanos(options.KeyWindow)),
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headersTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	return f
}

// Serve accepts connections until Close or Shutdown.
func (f *Front) Serve(listener net.Listener) {
	err := f.server.Serve(&limitedListener{listener, f.connSlots})
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("sparql_ended", "reason", err)
	}
}

// Owed returns how many jobs have not got their answer out.
func (f *Front) Owed() int64 { return f.owed.Load() }

// Close ends all connections.
func (f *Front) Close() {
	_ = f.server.Close() // whether a socket closed in order changes nothing any more
}

// Shutdown accepts no more connections and closes idle ones. It does not wait.
func (f *Front) Shutdown() {
	go func() {
		_ = f.server.Shutdown(context.Background()) // Close ends what is left
	}()
}

// limitedListener accepts as many connections as there are slots; more wait in the system's queue.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a connection, then for a slot.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.slots <- struct{}{}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

type limitedConn struct {
	net.Conn
	slots   chan struct{}
	release sync.Once
}

// Close frees the connection's slot once.
func (c *limitedConn) Close() error {
	c.release.Do(func() { <-c.slots })
	return c.Conn.Close()
}
