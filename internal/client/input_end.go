package client

import (
	"errors"
	"io"
	"net"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

// openCallPoll is the interval at which a connection whose input has ended is looked at while calls are open on it. A
// client that leaves meanwhile must be noticed within 100 ms.
const openCallPoll = 25 * time.Millisecond

// isConnectionLost reports whether a read failed because the connection has ended, by either side or the network.
// Any other error is about what was read.
func isConnectionLost(err error) bool {
	var networkError *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &networkError)
}

// endInput ends the reading of messages for a reason. A client that is still there gets an answer to the message that
// could not be read, if its id is known, and the answers to its open calls, which were taken before: what cannot be
// read frees none of them. Then the connection is closed in order.
func (c *conn) endInput(reason error) {
	if isConnectionLost(reason) {
		counters.Increment("client_conns_lost")
		return
	}
	openCalls := c.markInputEnded()
	c.server.malformed.CountAndWarn("client_errors", "client_error",
		"address", c.socket.RemoteAddr(), "open_calls", openCalls, "reason", reason)
	c.answerUnreadable(reason)
	c.releaseBuffer()
	if openCalls > 0 {
		counters.Increment("input_ended_with_open_calls")
		c.awaitOpenCalls()
	}
	c.awaitReplies()
	c.halfClose()
	c.discardInput()
}

// markInputEnded notes that no call is opened any more, and returns how many are open.
func (c *conn) markInputEnded() (openCalls int) {
	c.isMidMessage.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInputEnded = true
	return len(c.open)
}

// answerUnreadable answers the message that ended the input, if it is a request whose id can be read. An id that is
// still open gets the answer of its open call alone.
func (c *conn) answerUnreadable(reason error) {
	id, hasID := requestID(c.buffer[c.start:c.end])
	if !hasID || c.isIDOpen(id) {
		return
	}
	_ = c.reply(encodeError(id, errorFailed, fieldReason, reason.Error())) // the connection ends in any case
}

func (c *conn) isIDOpen(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id] != nil
}

// awaitOpenCalls waits until all calls are answered, which their job timeouts bound, or the client has left, or the
// connection is closed here.
func (c *conn) awaitOpenCalls() {
	for c.hasOpenCalls() && !c.isClosing() && !socketstate.PeerClosed(c.socket) {
		time.Sleep(openCallPoll)
	}
}

func (c *conn) hasOpenCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0 || c.resultsInFlight > 0
}

// awaitReplies waits until small answers that are queued were written: their writer holds the lock of writes, or takes
// it next, until none is left. A client that does not read them is given up within writeTimeout.
func (c *conn) awaitReplies() {
	for c.hasReplies() {
		time.Sleep(time.Millisecond)
	}
}

func (c *conn) hasReplies() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWritingReplies
}
