package client

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	writeTimeout     = 3 * time.Second  // a client that takes no byte for so long is gone
	maxWriteTime     = 30 * time.Second // and one that takes so long for an answer
	maxQueuedReplies = 64 << 10         // bytes of refusals and heartbeats that a client does not read
)

// errNotReading is told to the client: its text is part of the protocol.
var errNotReading = errors.New("its answers are not read")

// refuse answers a call that was not taken.
func (c *conn) refuse(id uint32, name, field, value string) error {
	c.rate.countRefusal()
	return c.reply(encodeError(id, name, field, value))
}

// reply has a small answer written and does not wait: the reader must see what its client does meanwhile. An error
// means that the client does not read its answers.
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

// writeReplies writes what is queued by reply, until there is nothing left.
func (c *conn) writeReplies() {
	defer c.server.pendingReplies.Add(-1)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for text := c.nextReplies(); text != nil; text = c.nextReplies() {
		c.writeLocked(net.Buffers{text})
	}
}

// nextReplies returns what is queued. Nil means that the writer has ended.
func (c *conn) nextReplies() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := c.replies
	c.replies = nil
	c.isWritingReplies = text != nil
	c.lastUsed = time.Now()
	return text
}

// writeResult writes the answer of a call that was settled for it.
func (c *conn) writeResult(parts net.Buffers) {
	c.writeMu.Lock()
	c.writeLocked(parts)
	c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resultsInFlight--
	c.lastUsed = time.Now()
}

// writeLocked writes a message; one that does not go out completely ends the connection. writeMu is held.
func (c *conn) writeLocked(parts net.Buffers) {
	deadline := time.Now().Add(maxWriteTime)
	for len(parts) > 0 {
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error shows at the write
		n, err := parts.WriteTo(c.socket)
		isSlow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline)
		if err != nil && !isSlow {
			c.server.writesFailed.CountAndWarn("client_writes_failed", "client_write_failed",
				"address", c.socket.RemoteAddr(), "reason", err)
			_ = c.socket.Close() // its reader ends with an error
			return
		}
	}
}
