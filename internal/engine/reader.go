package engine

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

const (
	readBufferSize   = 8 << 10 // bytes; holds a line and a page
	finalReadTimeout = 20 * time.Millisecond
)

// deadlineReader is the source of an answerReader.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// answerReader reads answers from a connection without copying them out of its buffer. It is for use by one goroutine,
// except for isPartial.
type answerReader struct {
	source          deadlineReader
	answerTimeout   time.Duration // for an answer to arrive completely once it has begun
	buffer          []byte
	start, end      int         // buffer[start:end] was read and not yet parsed
	isAnswerStarted bool        // the read deadline of the buffered answer was set
	hasReadDeadline bool        // the source has a read deadline
	isFinalRead     bool        // the deadline has passed, and data already received is being read
	isPartial       atomic.Bool // the buffer holds part of an answer
}

func newAnswerReader(source deadlineReader, answerTimeout time.Duration) *answerReader {
	return &answerReader{source: source, answerTimeout: answerTimeout, buffer: make([]byte, readBufferSize)}
}

// next reads one answer, which is valid until the next call. After an error, framing is lost.
func (r *answerReader) next() (answer, error) {
	for {
		a, size, err := parseAnswer(r.buffer[r.start:r.end])
		if !errors.Is(err, errIncomplete) {
			r.start += size
			r.isAnswerStarted = false
			r.isFinalRead = false
			return a, err
		}
		if err := r.fill(); err != nil {
			return answer{}, err
		}
	}
}

// fill reads more data into the buffer.
func (r *answerReader) fill() error {
	r.end = copy(r.buffer, r.buffer[r.start:r.end])
	r.start = 0
	r.isPartial.Store(r.end > 0)
	r.updateDeadline()
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.isFinalRead {
		// Data received during a stall of the process can still be read.
		r.isFinalRead = true
		_ = r.source.SetReadDeadline(time.Now().Add(finalReadTimeout)) // an error surfaces at the next read
		return nil
	}
	return err
}

// updateDeadline sets the read deadline once an answer has begun, and clears it between answers. An error surfaces at
// the next read.
func (r *answerReader) updateDeadline() {
	switch {
	case r.end > 0 && !r.isAnswerStarted:
		_ = r.source.SetReadDeadline(time.Now().Add(r.answerTimeout))
		r.isAnswerStarted = true
		r.hasReadDeadline = true
	case r.end == 0 && r.hasReadDeadline:
		_ = r.source.SetReadDeadline(time.Time{})
		r.hasReadDeadline = false
	}
}
