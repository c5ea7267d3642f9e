package engine

import (
	"net"
	"sync"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/ratelog"
)

const (
	sweepsPerIdleTimeout = 8
	minSweepInterval     = time.Millisecond
	maxSweepInterval     = time.Second
)

// Pool holds the connections to all engines. It is safe for concurrent use; see the package documentation for its
// locking.
type Pool struct {
	limits         backend.Limits
	done           chan struct{} // closed by Close
	malformedLog   ratelog.Logger
	dialFailureLog ratelog.Logger
	stalledSendLog ratelog.Logger
	dialTimeout    func(network, address string, timeout time.Duration) (net.Conn, error)

	mu        sync.Mutex
	conns     map[string][]*conn // by engine name; an entry is deleted with its last connection
	connCount int                // connections established or being dialled
	probeID   uint64             // of the last probe
	idleLimit idleLimit
	isClosed  bool
}

// NewPool returns an empty pool and starts the goroutine that closes idle connections. Close stops it.
func NewPool(limits backend.Limits) *Pool {
	p := &Pool{
		limits:      limits,
		done:        make(chan struct{}),
		dialTimeout: net.DialTimeout,
		conns:       map[string][]*conn{},
		idleLimit:   newIdleLimit(limits.IdleTimeout * 2 / 3),
	}
	go p.sweep()
	return p
}

// Start sends a dispatch to an engine. Notices and, last and once, the outcome are passed to reply in order.
func (p *Pool) Start(to backend.Host, r backend.Request, reply func(backend.Reply)) backend.Dispatch {
	d := &Dispatch{
		pool:      p,
		id:        string(r.ID),
		reply:     reply,
		decidedAt: r.DecidedAt,
		lane:      r.Lane,
		request:   &r,
	}
	p.place(to, d)
	return d
}

// CloseIdle closes the idle connections to an engine.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[name] {
		if c.isIdle() {
			p.remove(c, closedEngineRemoved)
		}
	}
}

// sweep closes connections that have been idle for too long, ahead of the timeouts of engines and networks so that no
// dispatch crosses with their close, and suspect connections once they are idle. It runs until the pool is closed.
func (p *Pool) sweep() {
	interval := min(maxSweepInterval, max(p.limits.IdleTimeout/sweepsPerIdleTimeout, minSweepInterval))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			p.closeStale(time.Now())
		}
	}
}

func (p *Pool) closeStale(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleLimit.value(now)
	for _, conns := range p.conns {
		for _, c := range conns {
			switch {
			case !c.isIdle():
			case c.isSuspect:
				p.remove(c, closedSuspect)
			case now.Sub(c.idleSince) >= limit:
				p.remove(c, closedIdle)
			}
		}
	}
}

// Close closes all connections; dispatches in flight end as Reset.
func (p *Pool) Close() {
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conns := range p.conns {
		for _, c := range conns {
			p.remove(c, closedAtStop)
		}
	}
}

// InFlight returns how many dispatches are open at an engine, and how many were cancelled there and may still run.
func (p *Pool) InFlight(name string) (open, cancelled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[name] {
		for _, d := range c.open {
			if !d.isProbe {
				open++
			}
		}
		cancelled += len(c.pendingAborts)
	}
	return open, cancelled
}

// ConnCount returns how many connections are established or being dialled.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// Release returns the memory held by the pages of a result.
func (p *Pool) Release(pages [][]byte) {
	size := 0
	for _, page := range pages {
		size += len(page)
	}
	p.limits.ResultBytes.Release(size)
}

func (p *Pool) logMalformedLine(c *conn, reason error) {
	p.malformedLog.CountAndWarn("engine_lines_malformed", "engine_malformed", "engine", c.engine.Name, "reason", reason)
}

// logInvalidAnswer counts and logs an answer that is well-formed but cannot be used.
func (p *Pool) logInvalidAnswer(c *conn, reason string) {
	p.malformedLog.CountAndWarn("answers_malformed", "answer_malformed", "engine", c.engine.Name, "reason", reason)
}
