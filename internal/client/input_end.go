package client

import (
	"errors"
	"io"
	"net"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

// openCallPollInterval is the interval at which a connection with open calls is checked after its input has ended. A
// disconnect of the client must be detected within 100 ms.
const openCallPollInterval = 25 * time.Millisecond

// errInputEnded is the answer to requests after a message that ended the input. Its text is part of the protocol.
var errInputEnded = errors.New("a message before this one could not be used")

// isConnectionLost reports whether a read failed because the connection was ended by either side or by the network. Any
// other error concerns the input itself.
func isConnectionLost(err error) bool {
	var networkError *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &networkError)
}

// endInput stops reading messages, for the given reason. If the client is still connected, it is sent an answer to the
// unreadable message, if its id is known, and the answers to its open calls: they were accepted before, and input that
// cannot be read does not cancel them. Then the connection is closed cleanly.
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

// markInputEnded marks the input as ended, and returns the number of open calls.
func (c *conn) markInputEnded() (openCalls int) {
	c.isMidMessage.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInputEnded = true
	return len(c.open)
}

// answerUnreadable answers the message that ended the input if it is a request whose id can be decoded. If a call with
// that id is still open, only that call is answered.
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

// awaitOpenCalls waits until all calls are answered or revoked, the client disconnects, or the server closes the
// connection. Job timeouts bound the wait. As long as the message boundaries are known, revocations are still read.
func (c *conn) awaitOpenCalls() {
	isFramed := c.unusableSize > 0
	c.start += c.unusableSize
	for c.hasOpenCalls() && !c.isClosing() && !socketstate.PeerClosed(c.socket) {
		if isFramed {
			isFramed = c.readRevocations() == nil
			continue
		}
		c.isFramingLost.Store(true)
		c.releaseBuffer()
		time.Sleep(openCallPollInterval)
	}
}

// readRevocations handles the messages in the buffer and reads the input that arrives within openCallPollInterval.
// After an error, the message boundaries are unknown or the connection has ended.
func (c *conn) readRevocations() error {
	size, err := valueSize(c.buffer[c.start:c.end])
	for ; err == nil; size, err = valueSize(c.buffer[c.start:c.end]) {
		c.rate.Count()
		c.handleAfterInputEnd(c.buffer[c.start : c.start+size])
		c.start += size
	}
	if !errors.Is(err, ErrIncomplete) {
		return err
	}
	c.rate.DelayReading(time.Now())
	c.isFinalRead = true // no second read after the deadline: the next call reads again
	c.setDeadline(time.Now().Add(openCallPollInterval))
	if err := c.fill(); !errors.Is(err, errMessageTimeout) {
		return err
	}
	return nil
}

// handleAfterInputEnd handles a message that follows the one that ended the input. Revocations are still valid;
// requests are refused.
func (c *conn) handleAfterInputEnd(text []byte) {
	m, err := parseMessage(text)
	if err != nil {
		return
	}
	if id, isRevocation := m.revokedID(); m.isNotification && isRevocation {
		c.revoke(id)
	}
	if !m.isNotification && !c.isIDOpen(m.id) {
		c.rate.CountRefusal()
		_ = c.reply(encodeError(m.id, errorFailed, fieldReason, errInputEnded.Error())) // the connection ends in any case
	}
}

func (c *conn) hasOpenCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0 || c.resultsInFlight > 0
}

// awaitReplies waits until the queued replies are written. Their writer holds writeMu, or is waiting for it, until none
// is left. If the client does not read them, the write fails within writeTimeout.
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
