package front

import (
	"bytes"
	"io"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/ingress"
)

const (
	// What a head takes while it is read and handled, in bytes: for each of its bytes, and for each of its fields.
	headByteOverhead  = 3
	headFieldOverhead = 160

	// refusalDelay is the time before a head without memory is refused, so that clients which send such heads again and
	// again leave CPU time to others, and the limit of the write.
	refusalDelay = 100 * time.Millisecond
)

// headRefusal is the response to a head for which there is no memory.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n"

// reserveHead reserves memory for input that is part of the head of a request, and reports whether it was available.
func (c *clientConn) reserveHead(input []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != inHead {
		return true
	}
	n := headByteOverhead*len(input) + headFieldOverhead*bytes.Count(input, []byte("\n"))
	if !c.budget.Grow(c.headMemory, n) {
		return false
	}
	c.headMemory += n
	return true
}

// releaseHead releases the memory of the head. c.mu must be held.
func (c *clientConn) releaseHead() {
	c.budget.Release(c.headMemory)
	c.headMemory = 0
}

// refuse answers a request for whose head there is no memory, and half-closes the connection. It overwrites the buffer.
func (c *clientConn) refuse(buffer []byte) {
	counters.Increment("messages_without_memory")
	time.Sleep(refusalDelay)
	_ = c.socket.SetWriteDeadline(time.Now().Add(refusalDelay)) // an error shows at the write
	_, _ = io.WriteString(c.socket, headRefusal)                // the connection ends in any case
	c.mu.Lock()
	c.halfClose()
	c.mu.Unlock()
	ingress.DiscardInput(c.socket, buffer)
}
