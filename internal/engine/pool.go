// Package engine speaks the engines' line protocol over pooled connections that carry many dispatches each.
package engine

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

// half is how long an answer that has begun may take to be whole.
func half(b Bounds) time.Duration { return max(2*b.DialTimeout, 500*time.Millisecond) }

// spared is the part of the connections kept for engines that have none: the others share what they have by then.
const spared = 8

// Pool holds the connections to all engines. No lock of it is held over a read, write or dial.
type Pool struct {
	bounds Bounds
	done   chan struct{}
	bad    ratelog.Logger
	dialer func(network, address string, limit time.Duration) (net.Conn, error)

	mu    sync.Mutex
	conns map[string][]*conn // by engine; an engine leaves with its last connection
	count int                // of connections, being made or up
	tags  uint64             // of probes
	idle  trust
	ended bool
}

// NewPool makes a pool and starts its sweep.
func NewPool(b Bounds) *Pool {
	p := &Pool{bounds: b, done: make(chan struct{}), conns: map[string][]*conn{}, idle: newTrust(b.IdleTimeout * 2 / 3),
		dialer: net.DialTimeout}
	go p.sweep()
	return p
}

// Start sends a dispatch to an engine. All that becomes of it is told to reply, in order, the end once and last.
func (p *Pool) Start(to Host, r Request, reply func(Reply)) backend.Dispatch {
	d := &Dispatch{pool: p, id: string(r.ID), reply: reply, started: r.OrderedAt, until: r.SendBefore, lane: r.Lane}
	d.text = appendFetch(make([]byte, 0, len(r.Statement)+128), r)
	p.place(to, d)
	return d
}

// Probe asks an engine for its load, or only whether it is well. One that takes over the limit has timed out.
func (p *Pool) Probe(to Host, load bool, limit time.Duration, reply func(Reply)) {
	p.mu.Lock()
	p.tags++
	id := "t" + strconv.FormatUint(p.tags, 10)
	p.mu.Unlock()
	word := "alive"
	if load {
		word = "stats"
	}
	text := appendCommand(nil, word, []byte(id), -1)
	p.probe(to, id, text, limit, func(r Reply) {
		if r.Outcome == Reset { // it has no effect: the connection may have been to blame
			counters.Increment("probes_again")
			p.probe(to, id, text, limit, reply)
		} else {
			reply(r)
		}
	})
}

func (p *Pool) probe(to Host, id string, text []byte, limit time.Duration, reply func(Reply)) {
	d := &Dispatch{pool: p, id: id, reply: reply, started: time.Now(), probe: true, text: text}
	p.place(to, d)
	after(limit, func() {
		if d.Cancel(func() {}) {
			d.finish(Reply{Outcome: TimedOut})
		}
	})
}

// place puts a dispatch on a connection with room, or on a new one.
func (p *Pool) place(to Host, d *Dispatch) {
	p.mu.Lock()
	next := p.assign(to, d)
	p.mu.Unlock()
	d.proceed(next)
}

// assign finds the connection. The lock is held; proceed comes next, without it, with what this returns.
//
// One spoilt line, reset or silence loses all that is open on a connection, so each dispatch has one of its own while
// there are descriptors: an idle one, or a new one. Only then do dispatches of one lane share.
func (p *Pool) assign(to Host, d *Dispatch) state {
	c := p.idleTo(to, d)
	if most := p.bounds.Conns.Max(); c == nil && p.count < most-most/spared {
		c = p.connect(to, d.lane)
	}
	if c == nil {
		c = p.leastOpen(to, d)
	}
	if c == nil {
		c = p.connect(to, d.lane)
	}
	if c == nil {
		d.state = over
		return over
	}
	if c.idle() {
		c.rested = time.Since(c.idleSince)
	}
	c.open[d.id], c.lane = d, d.lane
	c.idleSince = time.Time{}
	if d.conn, d.state = c, waiting; c.nc != nil {
		d.state = sending
	} else {
		c.queue = append(c.queue, d)
	}
	return d.state
}

// usable tells whether a connection may take a dispatch: not one that may be cut off, nor one that carried the same
// id before, whose late answer could be taken for the new one's.
func (c *conn) usable(to Host, d *Dispatch) bool {
	return c.address == to.Address && !c.closed && !c.doubted && !c.carried(d.id)
}

// idleTo finds the idle connection that was used last: the others grow old and are closed.
func (p *Pool) idleTo(to Host, d *Dispatch) (best *conn) {
	now := time.Now()
	most := p.idle.span(now)
	for _, c := range p.conns[to.Name] {
		if c.idle() && now.Sub(c.idleSince) < most && len(c.aborts) == 0 && !c.lines.partial.Load() && c.usable(to, d) && (best == nil || c.idleSince.After(best.idleSince)) {
			best = c
		}
	}
	return best
}

// leastOpen finds the connection of a dispatch's lane that carries least and takes one more.
func (p *Pool) leastOpen(to Host, d *Dispatch) (best *conn) {
	for _, c := range p.conns[to.Name] {
		if c.lane == d.lane && len(c.open) < p.bounds.StreamsPerConn && c.usable(to, d) && (best == nil || len(c.open) < len(best.open)) {
			best = c
		}
	}
	return best
}

// connect starts a connection, if need be in place of one that is idle.
func (p *Pool) connect(to Host, lane Lane) *conn {
	if p.ended || p.count >= p.bounds.Conns.Max() && !p.makeRoom() {
		return nil
	}
	c := &conn{pool: p, host: to.Name, address: to.Address, lane: lane, open: map[string]*Dispatch{},
		aborts: map[string]func(){}}
	p.conns[to.Name] = append(p.conns[to.Name], c)
	p.count++
	go c.run()
	return c
}

// makeRoom closes the connection that is idle longest, if any is. The lock is held.
func (p *Pool) makeRoom() bool {
	var oldest *conn
	for _, conns := range p.conns {
		for _, c := range conns {
			if c.idle() && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.shut(oldest)
	}
	return oldest != nil
}

// doubt marks the connections to an engine on which nothing was heard since a moment after which one of them was
// found silent: a run-once job sent there would be lost, where a new connection tells at once. The lock is held.
func (p *Pool) doubt(name string, since time.Time) {
	for _, c := range p.conns[name] {
		c.doubted = c.doubted || c.heard.Before(since)
	}
}

// shut takes a connection out of the pool; its reader ends it. The lock is held.
func (p *Pool) shut(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	p.count--
	rest := p.conns[c.host][:0:0]
	for _, o := range p.conns[c.host] {
		if o != c {
			rest = append(rest, o)
		}
	}
	if p.conns[c.host] = rest; len(rest) == 0 {
		delete(p.conns, c.host)
	}
	if c.nc != nil {
		c.nc.Close() // does not wait
	}
}

// CloseIdle closes the idle connections to an engine.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[name] {
		if c.idle() {
			p.shut(c)
		}
	}
}

// sweep closes what is idle some time before the engines would, or the network drops it, so that nothing crosses with
// that, and what may be cut off once nothing is out on it.
func (p *Pool) sweep() {
	tick := time.NewTicker(min(time.Second, max(p.bounds.IdleTimeout/8, time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
		p.mu.Lock()
		now := time.Now()
		most := p.idle.span(now)
		for _, conns := range p.conns {
			for _, c := range conns {
				if c.idle() && (c.doubted || now.Sub(c.idleSince) >= most) {
					p.shut(c)
				}
			}
		}
		p.mu.Unlock()
	}
}

// Close ends all connections; what is out ends as reset.
func (p *Pool) Close() {
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, conns := range p.conns {
		for _, c := range conns {
			p.shut(c)
		}
	}
}

// InFlight tells how many dispatches are open at an engine, and how many were given up there and may still be out.
func (p *Pool) InFlight(name string) (open, givenUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[name] {
		for _, d := range c.open {
			if !d.probe {
				open++
			}
		}
		givenUp += len(c.aborts)
	}
	return open, givenUp
}

// Count tells how many connections there are.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// dialTries is how often a connection is begun that was reset as soon as it was up.
const dialTries = 3

// dial makes the connection of c. One that came up and was reset at once says nothing of the engine, unlike a refused
// one: seen on sockets, engines were taken for just started, and spared for the whole warm-up, for such resets.
func (p *Pool) dial(c *conn) (net.Conn, error) {
	until := time.Now().Add(p.bounds.DialTimeout)
	for try := 1; ; try++ {
		nc, err := p.dialer("tcp4", c.address, max(time.Millisecond, time.Until(until)))
		if err == nil {
			return nc, nil
		}
		if try == dialTries || !errors.Is(err, syscall.ECONNRESET) {
			counters.Increment("dials_failed")
			return nil, err
		}
		counters.Increment("dials_reset")
	}
}

func broken(c *conn, why error) {
	c.pool.bad.CountAndWarn("engine_lines_bad", "engine_bad", "engine", c.host, "reason", why)
}
