package engine

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"
)

const (
	readBufferSize  = 8 << 10 // bytes; holds a line and a page
	finalReadWithin = 20 * time.Millisecond
)

// deadlineReader is what answers are read from.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// answerReader reads answers from a connection, each where it lies in the buffer. It is for one goroutine, but for
// isPartial.
type answerReader struct {
	from        deadlineReader
	completeIn  time.Duration // in which an answer that has begun must be complete
	buffer      []byte
	start, end  int         // buffer[start:end] is read and not yet used
	isBegun     bool        // the answer in the buffer has its deadline
	hasDeadline bool        // the connection has one
	isFinalRead bool        // the deadline has passed, and what lay unread is being read
	isPartial   atomic.Bool // the buffer holds part of an answer
}

func newAnswerReader(from deadlineReader, completeIn time.Duration) *answerReader {
	return &answerReader{from: from, completeIn: completeIn, buffer: make([]byte, readBufferSize)}
}

// next reads one answer, which is valid until the next call. After an error framing is lost.
func (r *answerReader) next() (answer, error) {
	for {
		a, size, err := parseAnswer(r.buffer[r.start:r.end])
		if !errors.Is(err, errIncomplete) {
			r.start += size
			r.isBegun = false
			r.isFinalRead = false
			return a, err
		}
		if err := r.fill(); err != nil {
			return answer{}, err
		}
	}
}

// fill reads more into the buffer.
func (r *answerReader) fill() error {
	r.end = copy(r.buffer, r.buffer[r.start:r.end])
	r.start = 0
	r.isPartial.Store(r.end > 0)
	r.updateDeadline()
	n, err := r.from.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.isFinalRead {
		r.isFinalRead = true                                        // what arrived while the process was stalled can be read
		_ = r.from.SetReadDeadline(time.Now().Add(finalReadWithin)) // an error shows at the next read
		return nil
	}
	return err
}

// updateDeadline sets the deadline of an answer that has begun, and removes it while there is none. An error shows at
// the next read.
func (r *answerReader) updateDeadline() {
	switch {
	case r.end > 0 && !r.isBegun:
		_ = r.from.SetReadDeadline(time.Now().Add(r.completeIn))
		r.isBegun = true
		r.hasDeadline = true
	case r.end == 0 && r.hasDeadline:
		_ = r.from.SetReadDeadline(time.Time{})
		r.hasDeadline = false
	}
}
