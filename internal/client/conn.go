package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/socketstate"
)

const (
	firstBuffer  = 8 << 10
	mostOpen     = 32                     // calls on a connection, as the protocol states
	firstWithin  = 2 * time.Second        // a connection on which no whole message came by then is closed
	wholeWithin  = 2 * time.Second        // and one whose message, once begun, is not whole by then
	lastLook     = 20 * time.Millisecond  // after a time limit, for what came while the program stood still
	writeTimeout = 3 * time.Second        // a client that takes no byte for so long is gone
	writeMost    = 30 * time.Second       // and one that takes so long for an answer
	lingerFor    = 300 * time.Millisecond // for a client to read the last word, and so many bytes that it still sends
	lingerMost   = 512 << 10
	readAhead    = 64 << 10 // read before any of it is taken: what lies behind may take it back
	repliesMost  = 64 << 10 // of refusals and heartbeats that a client does not read
)

var (
	errSilent = errors.New("no whole message in time")
	errMemory = errors.New("no memory left for a message so long")
	errUnread = errors.New("its answers are not read")
)

// conn is one client's connection: a goroutine reads and never waits for a write; results are written by whoever has
// them, refusals and heartbeats by a goroutine that lives while there are some.
type conn struct {
	front   *Front
	nc      *net.TCPConn
	came    time.Time
	buf     []byte // nil while nothing is there to be read
	from    int    // buf[from:to] is read and not yet used
	to      int
	limited bool        // a time limit for reading is set
	begun   bool        // the message in the buffer has its limit
	late    bool        // the limit has passed, and what lay unread is being read
	half    atomic.Bool // part of a message is in the buffer
	full    bool        // the last read filled the buffer: there may be more
	ahead   int         // bytes read since calls were last taken
	pace    pace
	pending []pending // read and not taken yet; empty while waiting for more

	writing sync.Mutex

	mu       sync.Mutex
	said     bool             // some whole message
	open     map[uint32]*call // until answered or revoked
	used     time.Time
	replies  []byte // not written yet
	replying bool   // a goroutine writes them
	results  int    // being written
	closing  bool   // half-closed by us: what still comes is read and dropped
}

// pending is a call that was read; if it is revoked in the same breath it is never taken.
type pending struct {
	call *call
	ask  gateway.Request
}

// serve reads calls until the connection ends.
func (c *conn) serve() {
	defer c.front.reading.Done()
	defer c.close()
	c.begun = true
	c.limit(c.came.Add(firstWithin))
	for {
		err := c.fill()
		if err == nil {
			err = c.use(c.front.pulse.sent(time.Now()))
		}
		if err == nil && c.full && c.ahead < readAhead && c.hasUnread() {
			continue
		}
		if err == nil {
			err = c.take()
		}
		if c.isClosing() {
			c.drain()
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET) {
				c.front.bad.CountAndWarn("clients_bad", "client_bad", "address", c.nc.RemoteAddr(), "reason", err)
				c.lastWord(err)
			}
			return
		}
		c.bound()
		if c.pace.rest(time.Now()) && socketstate.PeerClosed(c.nc) {
			return
		}
	}
}

// use handles all whole messages read.
func (c *conn) use(at time.Time) error {
	for {
		n, err := size(c.buf[c.from:c.to])
		if errors.Is(err, errShort) {
			return nil
		}
		if err == nil {
			c.pace.message()
			err = c.handle(c.buf[c.from:c.from+n], at)
		}
		if err != nil {
			return err
		}
		c.from += n
		c.begun, c.late = false, false
	}
}

// bound sets the time limit for what comes next: none while nothing has begun.
func (c *conn) bound() {
	c.half.Store(c.from < c.to)
	switch {
	case c.begun: // by its limit
	case c.from < c.to:
		c.begun = true
		c.limit(time.Now().Add(wholeWithin))
	case c.limited:
		c.limit(time.Time{})
	}
	if c.from == c.to {
		c.from, c.to = 0, 0
		c.giveBuffer()
	}
}

// limit sets the time limit for reading, unless the one of a half-closed connection stands.
func (c *conn) limit(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limited = !at.IsZero(); !c.closing {
		c.nc.SetReadDeadline(at)
	}
}

// fill reads more, in a larger buffer where a message does not fit.
func (c *conn) fill() error {
	if c.buf == nil {
		if err := c.wait(); err != nil {
			return err
		}
		c.buf = c.front.buffers.Get().([]byte)
	} else if c.to == len(c.buf) && c.from > 0 {
		c.to, c.from = copy(c.buf, c.buf[c.from:c.to]), 0
	} else if c.to == len(c.buf) {
		if len(c.buf) >= maxFrame {
			return errBad
		}
		if !c.front.parts.ReadBytes.Reserve(len(c.buf)) {
			return errMemory
		}
		larger := make([]byte, 2*len(c.buf))
		copy(larger, c.buf)
		c.buf = larger
	}
	free := len(c.buf) - c.to
	n, err := c.nc.Read(c.buf[c.to:])
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.late { // what came while we stood still is there to be read
		c.late = true
		c.limit(time.Now().Add(lastLook))
		n, err = c.nc.Read(c.buf[c.to:])
	}
	c.to += n
	c.ahead += n
	c.full = n == free
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSilent
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// wait waits until something can be read, and needs no buffer for that: clients may keep connections for good.
func (c *conn) wait() error {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) bool { return unread(fd) != nothing })
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err = nil; !c.hasUnread() {
			err = errSilent
		}
	}
	return err
}

// giveBuffer gives the buffer back while nothing is in it.
func (c *conn) giveBuffer() {
	if len(c.buf) > firstBuffer {
		c.front.parts.ReadBytes.Release(len(c.buf) - firstBuffer)
	} else if c.buf != nil {
		c.front.buffers.Put(c.buf)
	}
	c.buf = nil
}

// handle acts on one whole message. An error ends the connection.
func (c *conn) handle(b []byte, at time.Time) error {
	m, err := parseMessage(b)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.said, c.used = true, time.Now()
	c.mu.Unlock()
	if m.notice {
		if string(m.method) == methodRevoke && m.count >= 1 {
			if id, _ := m.params.next(); id.kind == kindInt {
				c.revoke(uint32(id.n))
			}
		}
		return nil
	}
	if string(m.method) == methodReady {
		return c.reply(appendReady(nil, m.id, c.front.taker.Ready()))
	}
	r, err := parseRequest(m)
	if err != nil {
		c.front.unusable.CountAndWarn("calls_unusable", "call_unusable", "address", c.nc.RemoteAddr(), "reason", err)
		return c.refuse(m.id, wordFailed, "reason", err.Error())
	}
	if !c.front.parts.MessageBytes.Reserve(len(r.body)) {
		return c.refuse(m.id, wordThrottle, "", "")
	}
	call := &call{conn: c, id: m.id, held: len(r.body)}
	c.mu.Lock()
	_, twice := c.open[m.id]
	many, closing := len(c.open) >= mostOpen, c.closing
	if !twice && !many && !closing {
		c.open[m.id] = call
		c.front.owed.Add(1)
	}
	c.mu.Unlock()
	switch {
	case closing: // it crossed our half-close: its client sees that, and nothing was sent on
		c.front.parts.MessageBytes.Release(call.held)
		counters.Increment("calls_crossed")
	case twice:
		c.front.parts.MessageBytes.Release(call.held)
		return fmt.Errorf("id %d is still open and was used again", m.id)
	case many: // it never ran
		c.front.parts.MessageBytes.Release(call.held)
		return c.refuse(m.id, wordThrottle, "", "")
	default:
		c.pending = append(c.pending, pending{call, newAsk(call, m, r, at)})
	}
	return nil
}

// take hands on what was read and not revoked; nothing where the client has gone meanwhile, which is an error.
func (c *conn) take() error {
	if c.ahead = 0; len(c.pending) == 0 {
		return nil
	}
	if socketstate.PeerClosed(c.nc) {
		return io.EOF
	}
	for _, p := range c.pending {
		c.mu.Lock()
		is := c.open[p.call.id] == p.call
		c.mu.Unlock()
		switch {
		case !is:
			counters.Increment("calls_revoked_at_once")
		case c.front.refusing.Load():
			counters.Increment("calls_after_stop")
			p.call.Throttled(0)
		default:
			c.front.taker.Submit(p.ask)
		}
	}
	clear(c.pending)
	c.pending = c.pending[:0]
	return nil
}

// refuse answers a call that was not taken.
func (c *conn) refuse(id uint32, word, field, value string) error {
	c.pace.refused()
	return c.reply(appendError(nil, id, word, field, value))
}

// reply has a small answer written and does not wait: the reader must see what its client does meanwhile. An error
// tells that too many are not read.
func (c *conn) reply(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	if len(c.replies)+len(b) > repliesMost {
		return errUnread
	}
	c.replies = append(c.replies, b...)
	if !c.replying {
		c.replying = true
		c.front.replying.Add(1)
		go c.writeReplies()
	}
	return nil
}

// writeReplies writes what reply was given, until there is none.
func (c *conn) writeReplies() {
	defer c.front.replying.Add(-1)
	c.writing.Lock()
	defer c.writing.Unlock()
	for b := c.nextReplies(); b != nil; b = c.nextReplies() {
		c.writeLocked(net.Buffers{b})
	}
}

func (c *conn) nextReplies() (b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, c.replies = c.replies, nil
	c.replying = b != nil
	c.used = time.Now()
	return b
}

// settle ends a call once; the second to try is told no. The first may write so many results.
func (c *conn) settle(call *call, results int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[call.id] != call {
		return false
	}
	delete(c.open, call.id)
	c.results += results
	c.used = time.Now()
	c.front.parts.MessageBytes.Release(call.held)
	return true
}

func (c *conn) revoke(id uint32) {
	c.mu.Lock()
	call := c.open[id]
	c.mu.Unlock()
	if call != nil && c.settle(call, 0) {
		c.front.owed.Add(-1)
		call.leave()
	}
}

// writeResult sends the answer of a call that was settled for it.
func (c *conn) writeResult(parts net.Buffers) {
	c.writing.Lock()
	c.writeLocked(parts)
	c.writing.Unlock()
	c.mu.Lock()
	c.results--
	c.used = time.Now()
	c.mu.Unlock()
}

// writeLocked sends a whole message; one that does not go out whole ends the connection.
func (c *conn) writeLocked(parts net.Buffers) {
	for most := time.Now().Add(writeMost); len(parts) > 0; {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := parts.WriteTo(c.nc)
		slow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(most)
		if err != nil && !slow {
			counters.Increment("client_writes_broken")
			c.nc.Close()
			return
		}
	}
}

// lastWord tells a client why its connection ends, if it can be told under a number of its own, and leaves it a moment
// to read that: a close over unread bytes is a reset, which may take with it what was written before.
func (c *conn) lastWord(why error) {
	c.leave()
	if id, is := numberOf(c.buf[c.from:c.to]); is && c.writing.TryLock() {
		c.nc.SetWriteDeadline(time.Now().Add(lingerFor))
		c.nc.Write(appendError(c.nextReplies(), id, wordFailed, "reason", why.Error()))
		c.writing.Unlock()
	}
	c.halfClose()
	c.drain()
}

// halfClose tells the client that nothing more comes, and bounds what it may still say: a close over unread bytes is a
// reset, which may take with it answers that were just written.
func (c *conn) halfClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfCloseLocked()
}

func (c *conn) halfCloseLocked() {
	c.closing = true
	c.nc.CloseWrite()
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
}

// leaveIdle half-closes the connection where nothing is open on it, nor lies unread: in one step, or a call that is read
// between the look and the close would have no way for its answer.
func (c *conn) leaveIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.free() || c.hasUnread() {
		return false
	}
	c.halfCloseLocked()
	return true
}

// free tells whether nothing is open or being written. The lock is held.
func (c *conn) free() bool { return len(c.open)+c.results == 0 && !c.replying }

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// drain reads and drops what comes on a half-closed connection, until the client closes it too or its time is over.
func (c *conn) drain() {
	if c.buf == nil {
		c.buf = c.front.buffers.Get().([]byte)
	}
	for left := lingerMost; left > 0; {
		n, err := c.nc.Read(c.buf)
		if err != nil {
			return
		}
		left -= n
	}
}

// close ends the connection; the clients of what is open on it have left.
func (c *conn) close() {
	c.nc.Close()
	c.leave()
	c.giveBuffer()
	c.front.drop(c)
}

// leave tells of everything open here that its client has left.
func (c *conn) leave() {
	c.mu.Lock()
	var open []*call
	for _, call := range c.open {
		open = append(open, call)
	}
	c.mu.Unlock()
	for _, call := range open {
		if c.settle(call, 0) {
			c.front.owed.Add(-1)
			call.leave()
		}
	}
}

// idle tells whether nothing is open or being written, since when, and whether anything was ever said.
func (c *conn) idle() (since time.Time, said, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.said, c.free()
}
