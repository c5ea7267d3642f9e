package front

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"swiftreel/internal/counters"
	"swiftreel/internal/limits"
)

const (
	firstTextSize     = 4 << 10 // bytes of a body that are read without a reservation
	readChunkSize     = 4 << 10 // bytes
	discardChunkSize  = 64 << 10
	parameterOverhead = 128 // bytes that a parameter of a form takes beside its text
)

// memoryRetryAfter is when a client may send a request again for which there was no memory.
const memoryRetryAfter = time.Second

// discardInterval is the pause between two reads of a body that is discarded, so that clients which send such bodies
// again and again leave CPU time to others.
const discardInterval = 20 * time.Millisecond

// errNoMemory is the error of a request for which other requests leave no memory.
var errNoMemory = errors.New("no memory left for a request so long")

// requestMemory is what a request has reserved of the memory budget. Only the request's handler uses it.
type requestMemory struct {
	budget    *limits.Budget
	text      int // bytes of ReadBytes: the body and what is parsed from it
	statement int // bytes of MessageBytes
}

// growText reserves n more bytes for the body and what is parsed from it.
func (m *requestMemory) growText(n int) error {
	if !m.budget.ReadBytes.Grow(m.text, n) {
		return errNoMemory
	}
	m.text += n
	return nil
}

// releaseText releases the memory of the text, which must not be used any more.
func (m *requestMemory) releaseText() {
	m.budget.ReadBytes.Release(m.text)
	m.text = 0
}

// reserveStatement reserves n bytes for the statement that is sent to engines.
func (m *requestMemory) reserveStatement(n int) error {
	if !m.budget.MessageBytes.Reserve(n) {
		return errNoMemory
	}
	m.statement = n
	return nil
}

// release releases all memory.
func (m *requestMemory) release() {
	m.releaseText()
	m.budget.MessageBytes.Release(m.statement)
	m.statement = 0
}

// readText reads a body to its end. If there is no memory left for it, the rest is read and discarded, so that the
// client can read the answer, and the error is errNoMemory.
func (m *requestMemory) readText(body io.Reader) (string, error) {
	var text strings.Builder
	text.Grow(firstTextSize)
	chunk := make([]byte, readChunkSize)
	for {
		n, err := body.Read(chunk)
		if growErr := m.makeSpace(&text, n); growErr != nil {
			return "", discard(body, growErr)
		}
		text.Write(chunk[:n])
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return "", err
		}
	}
}

// makeSpace ensures that a text has space for n more bytes, by at least doubling its memory.
func (m *requestMemory) makeSpace(text *strings.Builder, n int) error {
	if text.Cap()-text.Len() >= n {
		return nil
	}
	if err := m.growText(text.Cap() + n); err != nil {
		return err
	}
	text.Grow(n)
	return nil
}

// discard reads the rest of a body, and returns the given error.
func discard(body io.Reader, reason error) error {
	counters.Increment("messages_without_memory")
	for {
		_, err := io.CopyN(io.Discard, body, discardChunkSize)
		switch {
		case errors.Is(err, io.EOF):
			return reason
		case err != nil:
			return err
		}
		time.Sleep(discardInterval)
	}
}

// rejectForMemory returns the rejection of a request for which there is no memory. Nothing of it has run.
func rejectForMemory() *rejectionError {
	return &rejectionError{
		status:     http.StatusServiceUnavailable,
		text:       errNoMemory.Error() + ": trying again is harmless",
		retryAfter: memoryRetryAfter,
	}
}
