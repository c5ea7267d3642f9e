package engine

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

const (
	writeTimeout = time.Second // an engine that takes no byte for so long is cut off
	movesMost    = 3           // of a dispatch of which no byte went out, to another connection
	straysMost   = 256         // answers in a row for ids that are not open
	carriedMost  = 64          // ids that ended without a result and are remembered on a connection
)

var (
	errStray = errors.New("answers for nothing, without end")
	errEnded = errors.New("the engine has closed the connection")
)

// conn is one connection to an engine. All but writing is guarded by the pool's lock.
type conn struct {
	pool          *Pool
	host, address string
	lane          Lane
	nc            net.Conn // nil until made
	lines         *lines   // with nc
	closed        bool
	cut           bool // closed by us, with dispatches out: the engine learns of it a moment later
	doubted       bool // a probe was lost, or an abort not read in time, with nothing heard since
	open          map[string]*Dispatch
	queue         []*Dispatch       // wait for the connection to be made, in turn
	given         []string          // the last ids that ended here but may be sent anew, whose answers may still come
	aborts        map[string]func() // not known to have been read; emptied by answers, or the end of the connection
	strays        int               // answers in a row that nobody waits for
	idleSince     time.Time
	rested        time.Duration // idle before what is open now, until something is heard
	heard         time.Time

	writing sync.Mutex
}

// carried tells whether an answer to an id could still come here from before.
func (c *conn) carried(id string) bool {
	if c.open[id] != nil {
		return true
	}
	for _, g := range c.given {
		if g == id {
			return true
		}
	}
	return false
}

// remember keeps an id off this connection for a while. The lock is held.
func (c *conn) remember(id string) {
	if len(c.given) == carriedMost {
		c.given = append(c.given[:0], c.given[1:]...)
	}
	c.given = append(c.given, id)
}

// idle tells whether the connection is up with nothing open on it. The lock is held.
func (c *conn) idle() bool { return c.nc != nil && len(c.open) == 0 && !c.closed }

// run makes the connection, sends what waits for it, and reads answers until it ends.
func (c *conn) run() {
	p := c.pool
	nc, err := p.dial(c)
	if err != nil {
		p.mu.Lock()
		p.shut(c)
		p.mu.Unlock()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			c.settle(Full) // it is us who had none left
		} else {
			c.settle(NotConnected)
		}
		return
	}
	r := newLines(nc, half(p.bounds))
	p.mu.Lock()
	c.nc, c.lines, c.heard, c.idleSince = nc, r, time.Now(), time.Now()
	if c.closed {
		nc.Close()
	}
	queue := c.queue
	c.queue = nil
	for _, d := range queue {
		if d.state == waiting {
			d.state = sending
		}
	}
	p.mu.Unlock()
	for _, d := range queue {
		c.send(d)
	}
	for {
		a, err := r.answer()
		if err != nil {
			if errors.Is(err, errLine) || errors.Is(err, os.ErrDeadlineExceeded) {
				broken(c, err)
				p.mu.Lock()
				c.cut = true
				p.mu.Unlock()
			}
			break
		}
		if !c.take(a) {
			broken(c, errStray)
			break
		}
	}
	p.mu.Lock()
	if !c.closed && !c.cut && len(c.open) > 0 { // by the network, or the engine
		p.idle.lost(c.rested, time.Now())
	}
	p.shut(c)
	cut := c.cut
	p.mu.Unlock()
	nc.Close()
	if cut { // what is sent again must not overtake the close
		time.AfterFunc(p.bounds.CancelDelay, func() { c.settle(Reset) })
	} else {
		c.settle(Reset)
	}
}

// settle ends all that is open when the connection has ended. What is being written is its writer's to end.
func (c *conn) settle(end End) {
	c.pool.mu.Lock()
	var ended []*Dispatch
	for id, d := range c.open {
		if d.state != sending {
			delete(c.open, id)
			d.close(end)
			ended = append(ended, d)
		}
	}
	read := slices.Collect(maps.Values(c.aborts))
	clear(c.aborts)
	c.pool.mu.Unlock()
	for _, done := range read {
		done()
	}
	for _, d := range ended {
		d.finish(Reply{Outcome: end})
	}
}

// silent is called some time after an abort. If nothing at all was heard since, the connection is cut off, and what
// was given up on it may still be out: closing it gives it up, unless others that must not be lost are open there.
func (c *conn) silent(id string, since time.Time) {
	p := c.pool
	p.mu.Lock()
	done := c.aborts[id]
	heard := c.heard.After(since)
	if done != nil && heard {
		delete(c.aborts, id)
	} else if done != nil {
		if p.doubt(c.host, since); c.lane == MayRepeat || len(c.open) == 0 {
			counters.Increment("engine_conns_silent")
			c.cut = true
			p.shut(c) // its reader settles the rest
		} else {
			after(p.bounds.DialTimeout, func() { c.silent(id, since) })
		}
	}
	p.mu.Unlock()
	if done != nil && heard {
		done()
	}
}

// send writes a dispatch, unless it is too late: the engine may have been told to be draining since. If not one byte of
// it went out it never ran and may go over another connection.
func (c *conn) send(d *Dispatch) {
	p := c.pool
	c.writing.Lock()
	p.mu.Lock()
	given := d.state != sending // an abort that comes after this waits for the writing lock
	d.wrote = time.Now()
	if !given && !d.probe && (d.wrote.Sub(d.started) > p.bounds.DialTimeout || !d.until.IsZero() && d.wrote.After(d.until)) {
		c.release(d)
		d.close(Moot)
		p.mu.Unlock()
		c.writing.Unlock()
		counters.Increment("sends_too_late")
		d.finish(Reply{Outcome: Moot})
		return
	}
	p.mu.Unlock()
	n, err := 0, error(nil)
	if !given && peerClosed(c.nc) {
		err = errEnded // its reader has not come to that yet: nothing was sent
	} else if !given {
		n, err = c.writeLocked(d.text)
	}
	c.writing.Unlock()
	p.mu.Lock()
	if d.state != sending {
		p.mu.Unlock()
		return
	}
	if err == nil && !c.closed {
		d.state, d.text = out, nil
		p.mu.Unlock()
		return
	}
	delete(c.open, d.id)
	p.shut(c)
	if n > 0 || d.moved == movesMost || time.Since(d.started) > p.bounds.DialTimeout/2 { // in time for an engine that now drains
		d.close(Reset)
		p.mu.Unlock()
		end := NotConnected
		if n > 0 {
			end = Reset
		}
		d.finish(Reply{Outcome: end})
		return
	}
	d.moved++
	next := p.assign(Host{Name: c.host, Address: c.address}, d)
	p.mu.Unlock()
	counters.Increment("sends_moved")
	d.proceed(next)
}

func peerClosed(nc net.Conn) bool {
	c, is := nc.(syscall.Conn)
	return is && socketstate.PeerClosed(c)
}

// write sends bytes whole, or the connection is of no more use.
func (c *conn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeLocked(b)
}

func (c *conn) writeLocked(b []byte) (int, error) {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.nc.Write(b)
	if err != nil {
		c.nc.Close()
	}
	return n, err
}

// take hands an answer to its dispatch; a late one, whose id is no longer open, is dropped. False means that too many
// came for nothing.
func (c *conn) take(a answer) bool {
	p := c.pool
	p.mu.Lock()
	c.heard, c.doubted, c.rested = time.Now(), false, 0
	d := c.open[string(a.id)]
	if d == nil {
		done := c.aborts[string(a.id)]
		if word := string(a.word); done != nil && word != "news" && word != "page" {
			delete(c.aborts, string(a.id))
			p.mu.Unlock()
			done()
			return true
		}
		c.strays++
		many := c.strays > straysMost
		c.cut = c.cut || many
		p.mu.Unlock()
		counters.Increment("answers_late")
		return !many
	}
	if c.strays = 0; d.state == sending { // the answer overtook its writer
		d.state, d.text = out, nil
	}
	p.mu.Unlock()
	d.take(a)
	return true
}

// release frees a dispatch's place. The lock is held.
func (c *conn) release(d *Dispatch) {
	if delete(c.open, d.id); len(c.open) == 0 {
		c.idleSince = time.Now()
	}
}
