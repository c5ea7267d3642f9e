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

// errInputEnded is told to the client: its text is part of the protocol.
var errInputEnded = errors.New("a message before this one could not be used")

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
	if openCalls > 0 {
		counters.Increment("input_ended_with_open_calls")
		c.awaitOpenCalls()
	}
	c.releaseBuffer()
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
	var inUse *idInUseError
	if errors.As(reason, &inUse) {
		return
	}
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

// awaitOpenCalls waits until all calls are answered or revoked, which their job timeouts bound, or the client has left,
// or the connection is closed here. Revocations are read meanwhile, as long as it is known where a message begins.
func (c *conn) awaitOpenCalls() {
	isFramed := c.unusableSize > 0
	c.start += c.unusableSize
	for c.hasOpenCalls() && !c.isClosing() && !socketstate.PeerClosed(c.socket) {
		if isFramed {
			isFramed = c.readRevocations() == nil
			continue
		}
		c.isInputLost.Store(true)
		c.releaseBuffer()
		time.Sleep(openCallPoll)
	}
}

// readRevocations handles the messages in the buffer, and reads what comes within openCallPoll. After an error it is
// not known any more where a message begins, or the connection has ended.
func (c *conn) readRevocations() error {
	size, err := valueSize(c.buffer[c.start:c.end])
	for ; err == nil; size, err = valueSize(c.buffer[c.start:c.end]) {
		c.rate.countMessage()
		c.handleAfterInputEnd(c.buffer[c.start : c.start+size])
		c.start += size
	}
	if !errors.Is(err, ErrIncomplete) {
		return err
	}
	c.rate.delayReading(time.Now())
	c.isFinalRead = true // a deadline that passes is no reason to look again: the next call does
	c.setDeadline(time.Now().Add(openCallPoll))
	if err := c.fill(); !errors.Is(err, errSilent) {
		return err
	}
	return nil
}

// handleAfterInputEnd acts on a message behind the one that ended the input: a revocation is as good as any, a request
// is refused.
func (c *conn) handleAfterInputEnd(text []byte) {
	m, err := parseMessage(text)
	if err != nil {
		return
	}
	if id, isRevocation := m.revokedID(); m.isNotification && isRevocation {
		c.revoke(id)
	}
	if !m.isNotification && !c.isIDOpen(m.id) {
		c.rate.countRefusal()
		_ = c.reply(encodeError(m.id, errorFailed, fieldReason, errInputEnded.Error())) // the connection ends in any case
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
