package client

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/socketstate"
)

// conn is one client's connection. Its reader never waits for a write.
type conn struct {
	server     *Server
	socket     *net.TCPConn
	acceptedAt time.Time

	// bufferedSince is when what is read next may have been sent, if that is earlier than it seems: while accepts failed
	// or there was no room, or since reading was slowed down. It belongs to the reader; zero: it is read as it comes.
	bufferedSince time.Time

	// Used by the reader only.
	buffer          []byte // nil while nothing can be read
	start, end      int    // buffer[start:end] is read and not yet used
	hasDeadline     bool   // for reading
	isBegun         bool   // the message in the buffer has its deadline
	isFinalRead     bool   // the deadline has passed, and what lay unread is being read
	filledBuffer    bool   // the last read did: there may be more
	readSincePassOn int    // bytes, since calls were last passed on
	pendingCalls    []pendingCall
	unusableSize    int // bytes of the message that ended the input; 0: where it ends is not known
	skippedBytes    int // still to come of a message for which there was no memory

	isMidMessage atomic.Bool // part of a message is in the buffer, or being read into it
	isWaiting    atomic.Bool // the reader has acted on all that it has read, and looks for more
	isInputLost  atomic.Bool // nothing more is read as messages: it is not known where one begins
	rate         messageRate

	writeMu sync.Mutex // held while messages are written

	mu               sync.Mutex       // guards what follows
	hasSpoken        bool             // a complete message was read
	isInputEnded     bool             // nothing that still comes is read as a message
	open             map[uint32]*call // until answered or revoked
	lastUsed         time.Time
	replies          []byte // refusals and heartbeats, not written yet
	isWritingReplies bool   // a goroutine does
	resultsInFlight  int    // being written
	isHalfClosed     bool   // by us: what still comes is read and dropped
}

// pendingCall is a call that was read and not passed on yet: one that is revoked at once never is.
type pendingCall struct {
	call *call
	job  gateway.Request
}

// serve reads calls until the connection ends.
func (c *conn) serve() {
	defer c.server.reading.Done()
	defer c.close()
	c.setDeadline(c.acceptedAt.Add(firstByteWithin))
	for {
		err := c.readCalls()
		if c.isClosing() {
			c.discardInput()
			return
		}
		if err != nil {
			c.endInput(err)
			return
		}
		c.prepareNextRead()
		if c.slowDown() && socketstate.PeerClosed(c.socket) {
			return
		}
	}
}

// slowDown delays the next read if the client sends too much, and reports whether it did.
func (c *conn) slowDown() bool {
	now := time.Now()
	c.isWaiting.Store(true) // nothing is read meanwhile
	defer c.isWaiting.Store(false)
	if !c.rate.delayReading(now) {
		return false
	}
	if c.hasBufferedInput() { // which may have come at any time since
		c.bufferedSince = now
	}
	return true
}

// readCalls reads what has arrived, up to a bound, and passes the calls in it on. Calls are passed on late because
// what lies behind them may revoke them.
func (c *conn) readCalls() error {
	for {
		err := c.fill()
		if errors.Is(err, errSilent) && c.hasOpenCalls() {
			c.extendMessageDeadline()
			continue
		}
		if err != nil {
			return c.passOnCallsBefore(err)
		}
		if err := c.handleMessages(c.earliestSendTime()); err != nil {
			return c.passOnCallsBefore(err)
		}
		mayHaveMore := c.filledBuffer && c.readSincePassOn < maxReadAhead && c.hasBufferedInput()
		if !mayHaveMore {
			return c.passOnCalls()
		}
	}
}

// earliestSendTime is the earliest time at which what was just read may have been sent.
func (c *conn) earliestSendTime() time.Time {
	earliest := c.server.stalls.earliestSendTime(time.Now())
	if !c.bufferedSince.IsZero() && c.bufferedSince.Before(earliest) {
		earliest = c.bufferedSince
	}
	c.bufferedSince = time.Time{}
	return earliest
}

// passOnCallsBefore passes the calls on that came before what cannot be read: they are as good as any. It returns why
// the reading ends: the reason given, unless the client has gone.
func (c *conn) passOnCallsBefore(reason error) error {
	if err := c.passOnCalls(); err != nil {
		return err
	}
	return reason
}

// close ends the connection; the clients of what is open on it have left.
func (c *conn) close() {
	_ = c.socket.Close() // what was to be written was written
	c.abandonCalls()
	c.releaseBuffer()
	c.server.remove(c)
}

// abandonCalls ends everything that is open: its client has left.
func (c *conn) abandonCalls() {
	c.mu.Lock()
	open := make([]*call, 0, len(c.open))
	for _, call := range c.open {
		open = append(open, call)
	}
	c.mu.Unlock()
	for _, call := range open {
		c.abandon(call)
	}
}

// abandon ends a call whose client does not wait for it any more, unless it has ended.
func (c *conn) abandon(call *call) {
	if c.settle(call, 0) {
		c.server.owedAnswers.Add(-1)
		call.clientLeft()
	}
}

// settle ends a call and reports whether it was open: the first to try answers it. results is the number of results
// that are written then.
func (c *conn) settle(call *call, results int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[call.id] != call {
		return false
	}
	delete(c.open, call.id)
	c.resultsInFlight += results
	c.lastUsed = time.Now()
	c.server.limits.MessageBytes.Release(call.reservedBytes)
	return true
}

// activity is what a connection was used for.
type activity struct {
	lastUsed  time.Time
	hasSpoken bool // a complete message was read
	isIdle    bool // nothing is open or being written
}

func (c *conn) activity() activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return activity{lastUsed: c.lastUsed, hasSpoken: c.hasSpoken, isIdle: c.isIdle()}
}

// isIdle reports whether nothing is open or being written. The lock is held.
func (c *conn) isIdle() bool {
	return len(c.open) == 0 && !c.isWriting()
}

// isWriting reports whether an answer is being written. The lock is held.
func (c *conn) isWriting() bool { return c.resultsInFlight > 0 || c.isWritingReplies }

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isHalfClosed
}
