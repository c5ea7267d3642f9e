package front

import "time"

// connPhase is what a connection is doing.
type connPhase uint8

const (
	awaitingRequest connPhase = iota // nothing of the next request has been read
	inHead                           // part of the next request has been read
	inRequest                        // a request is being handled
	betweenRequests                  // a request is answered, and part of the next one may have been read with it
)

// beginWait notes that net/http waits for input, with free space in its buffer.
func (c *clientConn) beginWait(free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != betweenRequests:
	case free < readBufferSize:
		c.phase = inHead
	default:
		c.phase = awaitingRequest
	}
}

// beginRead notes that part of a request is about to be read. It returns false if the connection has been half-closed.
func (c *clientConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHalfClosed {
		return false
	}
	if c.phase != inRequest {
		c.phase = inHead
	}
	return true
}

// beginRequest notes that a request is being handled, which net/http may have read together with an earlier one. It
// waits if the client exceeds its rate of requests.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	c.phase = inRequest
	c.mu.Unlock()
	c.rate.Count()
	c.rate.DelayReading(time.Now())
}

// completeRequest notes that a request has been read completely.
func (c *clientConn) completeRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReceivedRequest = true
}

// endRequest notes that the answer to a request has been written.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	select {
	case <-c.readAhead:
	default:
	}
	c.phase = betweenRequests
	c.lastUsed = time.Now()
}
