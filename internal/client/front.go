// Package client speaks MessagePack-RPC with clients: codec, connections, and calls with one answer each.
package client

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/gateway"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/socketstate"
)

// Submitter is who the calls are for.
type Submitter interface {
	Ready() bool
	Submit(gateway.Request) // does not wait; those of one connection come in their order
}

const (
	silentLeast = 50 * time.Millisecond // a connection may say nothing so long where others wait for its place
	floodPart   = 8                     // a part so large of all that say nothing is a flood
	usualIdle   = 5 * time.Second       // usual clients close a connection that is idle for 4 s
)

// Front is all client connections.
type Front struct {
	taker   Submitter
	parts   *limits.Budget
	buffers sync.Pool

	bad, unusable ratelog.Logger
	pulse         *pulse
	owed          atomic.Int64 // answers owed to jobs, or results being written
	replying      atomic.Int64 // connections with refusals or heartbeats not written yet
	refusing      atomic.Bool  // nothing more is taken
	done          chan struct{}
	reading       sync.WaitGroup

	mu        sync.Mutex
	room      *sync.Cond
	conns     map[*conn]struct{} // until closed, or lingering
	lingering []*conn            // half-closed by us, until their clients close them too; the first for longest
	listener  syscall.Conn       // nil: not known
	ended     bool
}

// NewFront serves a taker within its part of the limits.
func NewFront(taker Submitter, parts *limits.Budget) *Front {
	f := &Front{taker: taker, parts: parts, conns: map[*conn]struct{}{},
		buffers: sync.Pool{New: func() any { return make([]byte, firstBuffer) }},
		pulse:   newPulse(time.Now()), done: make(chan struct{})}
	go f.pulse.run(f.done)
	f.room = sync.NewCond(&f.mu)
	return f
}

// Serve accepts connections until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	f.mu.Lock()
	f.listener, _ = l.(syscall.Conn)
	f.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		tcp, is := nc.(*net.TCPConn)
		if err != nil || !is { // out of descriptors, say: what is open goes on, and this passes
			counters.Increment("accepts_failed")
			time.Sleep(20 * time.Millisecond)
			continue
		}
		f.makeRoom() // only now: where nobody is at the door, nobody has to leave
		now := time.Now()
		c := &conn{front: f, nc: tcp, came: now, used: now, open: map[uint32]*call{}}
		f.mu.Lock()
		if f.ended {
			f.mu.Unlock()
			nc.Close()
			continue
		}
		f.conns[c] = struct{}{}
		f.reading.Add(1)
		f.mu.Unlock()
		go c.serve()
	}
}

// makeRoom waits until one more connection may be held. The newcomer's own descriptor, already open, is one of the
// reserved ones (limits).
func (f *Front) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.conns) >= f.parts.ClientConns.Max() && !f.ended {
		counters.Increment("client_conns_full")
		if c := f.spare(time.Now()); c != nil {
			if c.leaveIdle() { // else a call came just now: it stays, and another makes way
				f.linger(c)
			}
			continue
		}
		wake := time.AfterFunc(silentLeast/4, f.room.Signal)
		f.room.Wait()
		wake.Stop()
	}
}

// spare finds the connection that makes way. In a flood of clients that say nothing it is the oldest of those, once it
// had its moment; else the one idle longest, if usual clients would have closed it by now, or nobody is silent: its client
// loses nothing, where one who waits at the door loses its time. Never one with something to be read, which may be a call.
func (f *Front) spare(now time.Time) *conn {
	var silent, idle *conn
	var since time.Time
	unsaid := 0
	for c := range f.conns {
		used, said, free := c.idle()
		if !said {
			unsaid++
		}
		switch {
		case !said && now.Sub(c.came) >= silentLeast && (silent == nil || c.came.Before(silent.came)) && !c.hasUnread():
			silent = c
		case said && free && (idle == nil || used.Before(since)) && !c.hasUnread():
			idle, since = c, used
		}
	}
	flood := unsaid > len(f.conns)/floodPart
	switch {
	case silent != nil && flood:
		return silent
	case idle != nil && (silent == nil && !flood || now.Sub(since) >= usualIdle):
		return idle
	}
	return silent
}

// linger takes a half-closed connection out of the count. Its descriptor is one of the reserved ones (limits) until its
// client closes it too; where too many do not, the first is closed for good. The lock is held.
func (f *Front) linger(c *conn) {
	delete(f.conns, c)
	f.lingering = append(f.lingering, c)
	if len(f.lingering) > max(1, f.parts.Lingering.Max()) {
		counters.Increment("lingering_full")
		f.lingering[0].nc.Close()
		f.lingering = slices.Delete(f.lingering, 0, 1)
	}
}

func (f *Front) drop(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.lingering = slices.DeleteFunc(f.lingering, func(o *conn) bool { return o == c })
	f.mu.Unlock()
	f.room.Signal()
}

// Owed counts the calls whose answer has not gone out.
func (f *Front) Owed() int64 { return f.owed.Load() }

// Refuse has all calls throttled that are taken from now on; what was taken before is owed its answer.
func (f *Front) Refuse() { f.refusing.Store(true) }

// Unread tells whether something that clients sent lies unread, was read in part, or waits to be accepted, or a small
// answer to be written. A client can bring that about without end: it is not to be waited for without a limit.
func (f *Front) Unread() bool {
	if f.replying.Load() > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil && socketstate.Readable(f.listener) {
		return true
	}
	for c := range f.conns {
		if c.half.Load() || c.hasUnread() {
			return true
		}
	}
	return false
}

// Close ends all connections, and waits for what reads them. Each is half-closed first: an answer that was just written
// reaches a client that had written more, which is not sent on.
func (f *Front) Close() {
	f.mu.Lock()
	f.ended = true
	close(f.done)
	for c := range f.conns {
		c.halfClose()
	}
	f.room.Broadcast()
	f.mu.Unlock()
	f.reading.Wait()
}
