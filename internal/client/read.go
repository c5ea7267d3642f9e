package client

import (
	"errors"
	"io"
	"os"
	"time"

	"swiftreel/internal/counters"
)

const (
	firstBufferSize       = 8 << 10               // bytes
	maxReadAhead          = 64 << 10              // bytes read before any call in them is passed on
	firstByteWithin       = 2 * time.Second       // of the accept, or the connection is closed
	completeMessageWithin = 2 * time.Second       // of its first byte, or it is closed, once no call is open on it
	finalReadWithin       = 20 * time.Millisecond // after a deadline, for what arrived while the process was stalled
)

// firstBuffer is the buffer of a connection that no message has outgrown.
type firstBuffer [firstBufferSize]byte

// Errors that end a connection. They are told to the client: their texts are part of the protocol.
var (
	errSilent   = errors.New("no whole message in time")
	errNoMemory = errors.New("no memory left for a message so long")
)

// fill reads more into the buffer, which grows for a message that does not fit.
func (c *conn) fill() error {
	hasWaited := c.buffer == nil
	if err := c.makeBufferSpace(); err != nil {
		return err
	}
	if !hasWaited { // for the rest of a message, which may take long
		if err := c.waitReadable(); err != nil && !errors.Is(err, errSilent) {
			return err
		}
	}
	free := len(c.buffer) - c.end
	n, err := c.socket.Read(c.buffer[c.end:])
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalRead { // what arrived during a stall can be read
		c.isFinalRead = true
		c.setDeadline(time.Now().Add(finalReadWithin))
		n, err = c.socket.Read(c.buffer[c.end:])
	}
	c.end += n
	c.readSincePassOn += n
	c.filledBuffer = n == free
	c.dropSkipped()
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSilent
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// extendMessageDeadline gives a message that takes long more time. It is called while calls are open on the connection:
// their revocations may stand behind it.
func (c *conn) extendMessageDeadline() {
	counters.Increment("partial_messages_awaited")
	c.isFinalRead = false
	c.setDeadline(time.Now().Add(completeMessageWithin))
}

// makeBufferSpace makes sure that there is free space at the end of the buffer.
func (c *conn) makeBufferSpace() error {
	switch {
	case c.buffer == nil:
		if err := c.waitReadable(); err != nil {
			return err
		}
		c.isMidMessage.Store(true) // before the bytes leave the system's buffer, so that they always show somewhere
		c.buffer = c.newBuffer()
	case c.end < len(c.buffer):
	case c.start > 0:
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	case len(c.buffer) >= maxFrame:
		return errNotMsgpack
	case !c.server.limits.ReadBytes.Reserve(len(c.buffer)):
		return c.skipMessage()
	default:
		larger := make([]byte, 2*len(c.buffer))
		copy(larger, c.buffer)
		c.buffer = larger
	}
	return nil
}

// skipMessage refuses a message for which no memory is left: other clients have used it. What is missing of it is
// dropped as it comes, and what comes behind it is read as ever. Where it ends has to be known for that.
func (c *conn) skipMessage() error {
	text := c.buffer[c.start:c.end]
	size, err := declaredSize(text)
	id, hasID := requestID(text)
	if err != nil || !hasID || c.isIDOpen(id) {
		return errNoMemory
	}
	counters.Increment("messages_without_memory")
	c.skippedBytes = size - len(text)
	c.start = 0
	c.end = 0
	return c.refuse(id, errorThrottled, "", "")
}

// dropSkipped drops what has come of a message that is skipped. Nothing else is in the buffer before it.
func (c *conn) dropSkipped() {
	dropped := min(c.skippedBytes, c.end-c.start)
	c.skippedBytes -= dropped
	c.start += dropped
}

// waitReadable waits until something can be read, and needs no buffer for that: clients may keep connections for
// good. Nothing is read here, so that what has come always shows as unread while isWaiting is set.
func (c *conn) waitReadable() error {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	c.isWaiting.Store(true)
	defer c.isWaiting.Store(false)
	err = raw.Read(func(fd uintptr) bool { return peekBuffer(fd) != bufferEmpty })
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.hasBufferedInput() {
		return nil
	}
	return errSilent
}

func (c *conn) newBuffer() []byte {
	buffer, _ := c.server.buffers.Get().(*firstBuffer) // the pool holds nothing else
	return buffer[:]
}

// releaseBuffer gives the buffer back.
func (c *conn) releaseBuffer() {
	if len(c.buffer) > firstBufferSize {
		c.server.limits.ReadBytes.Release(len(c.buffer) - firstBufferSize)
	} else if c.buffer != nil {
		c.server.buffers.Put((*firstBuffer)(c.buffer))
	}
	c.buffer = nil
}

// prepareNextRead sets the deadline for what comes next, none while no message has begun, and releases an empty
// buffer.
func (c *conn) prepareNextRead() {
	isEmpty := c.start == c.end && c.skippedBytes == 0
	c.isMidMessage.Store(!isEmpty)
	switch {
	case c.isBegun: // it has its deadline
	case !isEmpty:
		c.isBegun = true
		c.setDeadline(time.Now().Add(completeMessageWithin))
	case c.hasDeadline:
		c.setDeadline(time.Time{})
	}
	if isEmpty {
		c.start = 0
		c.end = 0
		c.releaseBuffer()
	}
}

// setDeadline sets the deadline for reading, or removes it, unless that of a half-closed connection holds.
func (c *conn) setDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasDeadline = !at.IsZero()
	if !c.isHalfClosed {
		_ = c.socket.SetReadDeadline(at) // an error shows at the next read
	}
}
