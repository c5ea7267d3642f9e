package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
	"swiftreel/internal/sparql/decide"
)

const (
	maxHeaderBytes      = 64 << 10 // of a response
	maxIdleConns        = 64
	maxIdleConnsPerHost = 4
)

// Client sends dispatches to all SPARQL endpoints. A Host's Address is the endpoint's URL. Each dispatch runs in a
// goroutine of its own.
type Client struct {
	limits   backend.Limits
	onSignal func(from backend.Host, signal decide.Signal)
	http     *http.Client
	ctx      context.Context // of all requests; Close cancels it
	cancel   context.CancelFunc

	mu       sync.Mutex           // guards the fields below
	inFlight map[string]*inFlight // by engine; removed with the engine's last dispatch
	conns    int                  // dispatches and probes in flight, which use a connection each
}

// inFlight counts the dispatches in flight at an engine.
type inFlight struct {
	open      int
	cancelled int
}

var _ backend.Engines = (*Client)(nil)

// New returns a client. onSignal is called with the state that an engine's response indicates.
func New(limits backend.Limits, onSignal func(from backend.Host, signal decide.Signal)) *Client {
	c := &Client{limits: limits, onSignal: onSignal, inFlight: map[string]*inFlight{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: limits.DialTimeout}
	c.http = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				address, _ := ctx.Value(addressKey{}).(string)  // set by request
				return dialer.DialContext(ctx, "tcp4", address) // the fleet is IPv4 only
			},
			DisableCompression:     true,
			IdleConnTimeout:        limits.IdleTimeout * 2 / 3, // before the engine closes it
			MaxResponseHeaderBytes: maxHeaderBytes,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			MaxIdleConns:           maxIdleConns,
		},
	}
	return c
}

// Start implements backend.Engines.
func (c *Client) Start(to backend.Host, request backend.Request, reply func(backend.Reply)) backend.Dispatch {
	ctx, cancel := context.WithCancel(c.ctx)
	d := &dispatch{client: c, name: to.Name, cancel: cancel, reply: reply}
	if !c.acquire(to.Name) {
		counters.Increment("endpoint_conns_full")
		d.finishUnsent(backend.Reply{Outcome: backend.Full}) // never ran, and the engine did not refuse it
		return d
	}
	operation, err := parseStatement(request.Statement)
	invariant.Check(err == nil, "statement_of_another_protocol")
	if err != nil {
		d.finish(backend.Reply{Outcome: backend.Superseded})
		return d
	}
	permission := request.Gate.Permit()
	if !permission.Granted {
		cancel()
		d.finish(backend.Reply{Outcome: backend.Superseded})
		return d
	}
	timeout := time.Duration(permission.TimeoutMS) * time.Millisecond
	timer := time.AfterFunc(timeout+c.limits.DialTimeout, cancel) // nobody waits for a later reply
	context.AfterFunc(ctx, func() { timer.Stop() })
	go func() {
		d.finish(c.exchange(ctx, to, string(request.ID), operation))
		cancel()
	}()
	return d
}

// CloseIdle implements backend.Engines. net/http can only close the idle connections of all engines; other engines
// are dialed again.
func (c *Client) CloseIdle(string) { c.http.CloseIdleConnections() }

// InFlight implements backend.Engines.
func (c *Client) InFlight(name string) (open, cancelled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts := c.inFlight[name]; counts != nil {
		return counts.open, counts.cancelled
	}
	return 0, 0
}

// Release implements backend.Engines.
func (c *Client) Release(pages [][]byte) { c.limits.ResultBytes.Release(int(totalSize(pages))) }

// Close implements backend.Engines.
func (c *Client) Close() {
	c.cancel()
	c.http.CloseIdleConnections()
}

// acquire reserves a connection for a dispatch to an engine, or for a probe (""). It returns false at the limit.
func (c *Client) acquire(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns >= c.limits.Conns.Max() {
		return false
	}
	c.conns++
	if name == "" {
		return true
	}
	if c.inFlight[name] == nil {
		c.inFlight[name] = &inFlight{}
	}
	c.inFlight[name].open++
	return true
}

// countCancelled moves a dispatch from the open to the cancelled ones.
func (c *Client) countCancelled(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts := c.inFlight[name]; counts != nil {
		counts.open--
		counts.cancelled++
	}
}

// release frees the connection of a dispatch that ended, or of a probe ("").
func (c *Client) release(name string, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns--
	counts := c.inFlight[name]
	if counts == nil {
		return
	}
	if cancelled {
		counts.cancelled--
	} else {
		counts.open--
	}
	if *counts == (inFlight{}) {
		delete(c.inFlight, name)
	}
}
