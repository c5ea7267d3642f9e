package client

import (
	"errors"
	"io"
	"os"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/socketstate"
)

const (
	firstBufferSize  = 8 << 10               // bytes
	maxReadAhead     = 64 << 10              // bytes read before any call in them is submitted
	firstByteTimeout = 2 * time.Second       // after the accept; then the connection is closed
	messageTimeout   = 2 * time.Second       // after a message begins; then the input ends, once no call is open
	finalReadTimeout = 20 * time.Millisecond // after a deadline, for input that arrived during a stall
)

// firstBuffer is the initial read buffer of a connection. It is replaced by a larger one for longer messages.
type firstBuffer [firstBufferSize]byte

// Errors that end the input of a connection. They are sent to the client: their texts are part of the protocol.
var (
	errMessageTimeout = errors.New("no whole message in time")
	errNoMemory       = errors.New("no memory left for a message so long")
)

// fill reads more input into the buffer, which grows if a message does not fit.
func (c *conn) fill() error {
	hasWaited := c.buffer == nil
	if err := c.makeBufferSpace(); err != nil {
		return err
	}
	if !hasWaited { // the rest of a message may take long to arrive
		if err := c.waitReadable(); err != nil && !errors.Is(err, errMessageTimeout) {
			return err
		}
	}
	free := len(c.buffer) - c.end
	n, err := c.socket.Read(c.buffer[c.end:])
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalRead { // a stall may have delayed the read
		c.isFinalRead = true
		c.setDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.socket.Read(c.buffer[c.end:])
	}
	c.end += n
	c.readSinceSubmit += n
	c.filledBuffer = n == free
	c.dropSkipped()
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errMessageTimeout
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// extendMessageDeadline gives an incomplete message more time. It is called while calls are open on the connection,
// because their revocations may follow the message.
func (c *conn) extendMessageDeadline() {
	counters.Increment("partial_messages_awaited")
	c.isFinalRead = false
	c.setDeadline(time.Now().Add(messageTimeout))
}

// makeBufferSpace ensures that the buffer has free space at its end.
func (c *conn) makeBufferSpace() error {
	switch {
	case c.buffer == nil:
		if err := c.waitReadable(); err != nil {
			return err
		}
		c.isMidMessage.Store(true) // before the read, so that input always shows as unread or as part of a message
		c.buffer = c.newBuffer()
	case c.end < len(c.buffer):
	case c.start > 0:
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	case len(c.buffer) >= maxFrame:
		return errNotMsgpack
	case !c.server.limits.ReadBytes.Grow(len(c.buffer), len(c.buffer)):
		return c.skipMessage()
	default:
		larger := make([]byte, 2*len(c.buffer))
		copy(larger, c.buffer)
		c.buffer = larger
	}
	return nil
}

// skipMessage refuses a message that cannot be buffered because other clients hold the memory. The rest of the message
// is discarded as it arrives, and the messages after it are handled as usual, which requires that its length is known.
func (c *conn) skipMessage() error {
	text := c.buffer[c.start:c.end]
	size, err := declaredSize(text)
	id, hasID := requestID(text)
	if err != nil || !hasID || c.isIDOpen(id) {
		return errNoMemory
	}
	counters.Increment("messages_without_memory")
	c.bytesToSkip = size - len(text)
	c.start = 0
	c.end = 0
	return c.refuse(id, errorThrottled, "", "")
}

// dropSkipped discards the available bytes of a message that is being skipped. They are at the start of the buffer.
func (c *conn) dropSkipped() {
	dropped := min(c.bytesToSkip, c.end-c.start)
	c.bytesToSkip -= dropped
	c.start += dropped
}

// waitReadable waits for input. It needs no read buffer, since clients may keep idle connections open indefinitely, and
// consumes nothing, so that all input is visible as unread while isReaderIdle is set.
func (c *conn) waitReadable() error {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	c.isReaderIdle.Store(true)
	defer c.isReaderIdle.Store(false)
	err = raw.Read(func(fd uintptr) bool { return socketstate.PeekBuffer(fd) != socketstate.BufferEmpty })
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.hasBufferedInput() {
		return nil
	}
	return errMessageTimeout
}

func (c *conn) newBuffer() []byte {
	buffer, _ := c.server.buffers.Get().(*firstBuffer) // the pool contains only this type
	return buffer[:]
}

// releaseBuffer returns the buffer to the pool or its memory to the budget.
func (c *conn) releaseBuffer() {
	if len(c.buffer) > firstBufferSize {
		c.server.limits.ReadBytes.Release(len(c.buffer) - firstBufferSize)
	} else if c.buffer != nil {
		c.server.buffers.Put((*firstBuffer)(c.buffer))
	}
	c.buffer = nil
}

// prepareNextRead sets the read deadline for the rest of a partial message, or removes the deadline and releases the
// buffer if no message has begun.
func (c *conn) prepareNextRead() {
	isEmpty := c.start == c.end && c.bytesToSkip == 0
	c.isMidMessage.Store(!isEmpty)
	switch {
	case c.hasMessageDeadline: // keep the deadline of the message
	case !isEmpty:
		c.hasMessageDeadline = true
		c.setDeadline(time.Now().Add(messageTimeout))
	case c.hasDeadline:
		c.setDeadline(time.Time{})
	}
	if isEmpty {
		c.start = 0
		c.end = 0
		c.releaseBuffer()
	}
}

// setDeadline sets the read deadline; zero removes it. On a half-closed connection it leaves the deadline of the
// half-close in place.
func (c *conn) setDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasDeadline = !at.IsZero()
	if !c.isHalfClosed {
		_ = c.socket.SetReadDeadline(at) // an error shows at the next read
	}
}
