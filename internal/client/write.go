package client

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	writeTimeout     = 3 * time.Second  // without progress; then the client is considered disconnected
	maxWriteTime     = 30 * time.Second // for one answer, even with progress
	maxQueuedReplies = 64 << 10         // bytes of refusals and heartbeat answers that a client has not read
)

// errNotReading is the error of a client that does not read its answers. Its text is part of the protocol.
var errNotReading = errors.New("its answers are not read")

// refuse answers a call that was not accepted.
func (c *conn) refuse(id uint32, name, field, value string) error {
	c.rate.CountRefusal()
	return c.reply(encodeError(id, name, field, value))
}

// reply queues a refusal or heartbeat answer and does not wait for the write, because the reader must keep reading from
// the client. It returns an error if the client does not read its answers.
func (c *conn) reply(text []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHalfClosed {
		return nil
	}
	if len(c.replies)+len(text) > maxQueuedReplies {
		return errNotReading
	}
	c.replies = append(c.replies, text...)
	if !c.isWritingReplies {
		c.isWritingReplies = true
		c.server.pendingReplies.Add(1)
		go c.writeReplies()
	}
	return nil
}

// writeReplies writes the queued replies until none is left.
func (c *conn) writeReplies() {
	defer c.server.pendingReplies.Add(-1)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for text := c.nextReplies(); text != nil; text = c.nextReplies() {
		c.writeLocked(net.Buffers{text})
	}
}

// nextReplies returns the queued replies. If there are none, it returns nil, and the writer must end.
func (c *conn) nextReplies() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := c.replies
	c.replies = nil
	c.isWritingReplies = text != nil
	c.lastUsed = time.Now()
	return text
}

// writeResult writes the answer of a call after settle has ended the call.
func (c *conn) writeResult(parts net.Buffers) {
	c.writeMu.Lock()
	c.writeLocked(parts)
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resultsInFlight--
	c.lastUsed = time.Now()
}

// writeLocked writes an encoded message. If the write fails, it closes the connection. c.writeMu must be held.
func (c *conn) writeLocked(parts net.Buffers) {
	deadline := time.Now().Add(maxWriteTime)
	for len(parts) > 0 {
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error shows at the write
		n, err := parts.WriteTo(c.socket)
		isSlow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline)
		if err != nil && !isSlow {
			c.server.writesFailed.CountAndWarn("client_writes_failed", "client_write_failed",
				"address", c.socket.RemoteAddr(), "reason", err)
			_ = c.socket.Close() // the reader returns with an error
			return
		}
	}
}
