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
	progressTimeout time.Duration // for more of an answer to arrive once it has begun
	onProgress      func()        // called when part of an answer has arrived
	buffer          []byte
	start, end      int         // buffer[start:end] was read and not yet parsed
	hasReadDeadline bool        // the source has a read deadline
	isFinalRead     bool        // the deadline has passed, and data already received is being read
	isPartial       atomic.Bool // the buffer holds part of an answer
}

func newAnswerReader(source deadlineReader, progressTimeout time.Duration, onProgress func()) *answerReader {
	return &answerReader{
		source:          source,
		progressTimeout: progressTimeout,
		onProgress:      onProgress,
		buffer:          make([]byte, readBufferSize),
	}
}

// next reads one answer, which is valid until the next call. After an error, framing is lost. An answer may take any
// time as long as more of it arrives within progressTimeout: the time limit of its dispatch bounds the whole.
func (r *answerReader) next() (answer, error) {
	for {
		a, size, err := parseAnswer(r.buffer[r.start:r.end])
		if !errors.Is(err, errIncomplete) {
			r.start += size
			return a, err
		}
		if r.end > r.start {
			r.onProgress()
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
		r.isFinalRead = false
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

// updateDeadline sets the read deadline for more of an answer that has begun, and clears it between answers. An error
// surfaces at the next read.
func (r *answerReader) updateDeadline() {
	switch {
	case r.isFinalRead: // keep the deadline of the final read
	case r.end > 0:
		_ = r.source.SetReadDeadline(time.Now().Add(r.progressTimeout))
		r.hasReadDeadline = true
	case r.hasReadDeadline:
		_ = r.source.SetReadDeadline(time.Time{})
		r.hasReadDeadline = false
	}
}
