package client

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/gateway"
	"swiftreel/internal/ingress"
	"swiftreel/internal/socketstate"
)

// conn is a client connection. Its reader never blocks on a write.
type conn struct {
	server     *Server
	socket     *net.TCPConn
	acceptedAt time.Time

	// Used by the reader only.
	clock              ingress.InputClock
	buffer             []byte // nil while there is no input
	start, end         int    // buffer[start:end] has been read but not handled
	hasDeadline        bool   // a read deadline is set
	hasMessageDeadline bool   // the message in the buffer has a deadline
	isFinalRead        bool   // the deadline has passed, and the input that was already buffered is being read
	filledBuffer       bool   // the last read filled the buffer, so there may be more input
	readSinceSubmit    int    // bytes read since calls were last submitted
	pendingCalls       []pendingCall
	unusableSize       int // bytes of the message that ended the input; 0 if its end is unknown
	bytesToSkip        int // remaining bytes of a message that is skipped for lack of memory

	isMidMessage  atomic.Bool // part of a message is in the buffer or being read into it
	isReaderIdle  atomic.Bool // the reader has handled all that it has read, and is waiting or delayed
	isFramingLost atomic.Bool // message boundaries are unknown, so no more messages can be read
	rate          ingress.RequestRate

	writeMu sync.Mutex // held while writing

	mu                 sync.Mutex       // guards the fields below
	hasReceivedMessage bool             // a complete message was read
	isInputEnded       bool             // no further call is accepted
	open               map[uint32]*call // by message id, until answered or revoked
	lastUsed           time.Time
	replies            []byte // refusals and heartbeat answers to be written
	isWritingReplies   bool   // a goroutine is writing replies
	resultsInFlight    int    // number of results being written
	isHalfClosed       bool   // by the server; further input is discarded
}

// pendingCall is a call that has been read but not submitted. If it is revoked before that, it is never submitted.
type pendingCall struct {
	call *call
	job  gateway.Request
}

// serve reads calls until the connection ends.
func (c *conn) serve() {
	defer c.server.readers.Done()
	defer c.close()
	c.setDeadline(c.acceptedAt.Add(firstByteTimeout))
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

// slowDown delays the next read if the client exceeds its message rate, and reports whether it did.
func (c *conn) slowDown() bool {
	now := time.Now()
	c.isReaderIdle.Store(true) // nothing is read during the delay
	defer c.isReaderIdle.Store(false)
	if !c.rate.DelayReading(now) {
		return false
	}
	if c.hasBufferedInput() { // this input may have arrived at any time during the delay
		c.clock.BufferedSince = now
	}
	return true
}

// readCalls reads the available input, up to a bound, and submits the calls in it. Calls are submitted only after all
// of that input is handled, because later messages may revoke them.
func (c *conn) readCalls() error {
	for {
		err := c.fill()
		if errors.Is(err, errMessageTimeout) && c.hasOpenCalls() {
			c.extendMessageDeadline()
			continue
		}
		if err != nil {
			return c.submitCallsBeforeError(err)
		}
		if err := c.handleMessages(c.clock.Receipt()); err != nil {
			return c.submitCallsBeforeError(err)
		}
		mayHaveMore := c.filledBuffer && c.readSinceSubmit < maxReadAhead && c.hasBufferedInput()
		if !mayHaveMore {
			return c.submitPendingCalls()
		}
	}
}

// submitCallsBeforeError submits the valid calls that precede input that cannot be read. It returns the given reason
// for ending the input, or the error of the submission if the client has disconnected.
func (c *conn) submitCallsBeforeError(reason error) error {
	if err := c.submitPendingCalls(); err != nil {
		return err
	}
	return reason
}

// close closes the connection and abandons its open calls.
func (c *conn) close() {
	_ = c.socket.Close() // writing has ended, so the error has no consequence
	c.abandonCalls()
	c.releaseBuffer()
	c.server.remove(c)
}

// abandonCalls abandons all open calls, since their client has disconnected.
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

// abandon ends a call whose client no longer waits for it, unless the call has already ended.
func (c *conn) abandon(call *call) {
	if c.settle(call, 0) {
		c.server.pendingAnswers.Add(-1)
		call.notifyAbandoned()
	}
}

// settle ends a call and reports whether it was still open; only the first caller for a call gets true and may answer
// it. results is the number of results that the caller will then write.
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

var _ ingress.Conn = (*conn)(nil)

// AcceptedAt implements ingress.Conn.
func (c *conn) AcceptedAt() time.Time { return c.acceptedAt }

// Activity implements ingress.Conn.
func (c *conn) Activity() ingress.Activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ingress.Activity{LastUsed: c.lastUsed, HasReceivedRequest: c.hasReceivedMessage, IsIdle: c.isIdle()}
}

// Abort implements ingress.Conn.
func (c *conn) Abort() {
	_ = c.socket.Close() // the reader returns with an error
}

// isIdle reports whether no call is open and no answer is being written. c.mu must be held.
func (c *conn) isIdle() bool {
	return len(c.open) == 0 && !c.isWriting()
}

// isWriting reports whether an answer is being written. c.mu must be held.
func (c *conn) isWriting() bool { return c.resultsInFlight > 0 || c.isWritingReplies }

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isHalfClosed
}
