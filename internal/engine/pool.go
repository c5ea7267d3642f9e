package engine

import (
	"net"
	"sync"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/ratelog"
)

const (
	sweepsPerIdle    = 8 // sweeps in an idle time-out
	minSweepInterval = time.Millisecond
	maxSweepInterval = time.Second
)

// Pool holds the connections to all engines. It is safe for concurrent use; see the package documentation for its
// lock.
type Pool struct {
	bounds      backend.Limits
	done        chan struct{} // closed by Close
	malformed   ratelog.Logger
	dialsFailed ratelog.Logger
	dialTimeout func(network, address string, timeout time.Duration) (net.Conn, error)

	mu        sync.Mutex
	conns     map[string][]*conn // by engine; an engine is removed with its last connection
	connCount int                // connections being dialled or up
	probeID   uint64             // of the last probe
	idleLimit idleLimit
	isClosed  bool
}

// NewPool returns an empty pool and starts the goroutine that closes idle connections. Close ends it.
func NewPool(bounds backend.Limits) *Pool {
	p := &Pool{
		bounds:      bounds,
		done:        make(chan struct{}),
		dialTimeout: net.DialTimeout,
		conns:       map[string][]*conn{},
		idleLimit:   newIdleLimit(bounds.IdleTimeout * 2 / 3),
	}
	go p.sweep()
	return p
}

// Start sends a dispatch to an engine. Everything that becomes of it is passed to reply, in order; its end once and
// last.
func (p *Pool) Start(to backend.Host, r backend.Request, reply func(backend.Reply)) backend.Dispatch {
	d := &Dispatch{
		pool:      p,
		id:        string(r.ID),
		reply:     reply,
		orderedAt: r.OrderedAt,
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
			p.remove(c, closedOfEngine)
		}
	}
}

// sweep closes connections that are idle too long, some time before the engines or the network would, so that nothing
// crosses with that; and suspect ones once nothing is out on them. It runs until the pool is closed.
func (p *Pool) sweep() {
	interval := min(maxSweepInterval, max(p.bounds.IdleTimeout/sweepsPerIdle, minSweepInterval))
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

// Close ends all connections; what is out ends as reset.
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

// InFlight returns how many dispatches are open at an engine, and how many were given up there and may still run.
func (p *Pool) InFlight(name string) (open, givenUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[name] {
		for _, d := range c.open {
			if !d.isProbe {
				open++
			}
		}
		givenUp += len(c.pendingAborts)
	}
	return open, givenUp
}

// ConnCount returns how many connections are being dialled or up.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}

// Release returns the memory that the pages of a result hold to the bounds.
func (p *Pool) Release(pages [][]byte) {
	size := 0
	for _, page := range pages {
		size += len(page)
	}
	p.bounds.ResultBytes.Release(size)
}

func (p *Pool) noteMalformed(c *conn, reason error) {
	p.malformed.CountAndWarn("engine_lines_malformed", "engine_malformed", "engine", c.engine.Name, "reason", reason)
}

// noteUnusable notes an answer in the form of the protocol that cannot be used.
func (p *Pool) noteUnusable(c *conn, reason string) {
	p.malformed.CountAndWarn("answers_malformed", "answer_malformed", "engine", c.engine.Name, "reason", reason)
}
