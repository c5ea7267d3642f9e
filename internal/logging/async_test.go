package logging

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

// While nobody reads the log, lines are queued up to a limit, more are dropped, and callers do not block. Once it is
// read, the queued lines are written, then the number of dropped lines.
func TestALogThatIsNotReadIsBounded(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := newAsyncWriter(out)
	for range 2 * maxQueuedLines {
		_, _ = w.Write([]byte("line\n")) // never fails
	}
	close(out.release)
	w.flush(20 * time.Second)
	lines := strings.SplitAfter(out.text.String(), "\n")
	written := strings.Count(out.text.String(), "line\n")
	if written < maxQueuedLines || written > maxQueuedLines+1 {
		t.Errorf("%d lines of %d were written", written, maxQueuedLines)
	}
	if last := lines[len(lines)-2]; !strings.Contains(last, "msg=log_lines_dropped count=") {
		t.Errorf("the last line is %q", last)
	}
	if _, _ = w.Write([]byte("later\n")); !flushed(w) || !strings.HasSuffix(out.text.String(), "later\n") {
		t.Error("a later line was not written")
	}
}

func flushed(w *asyncWriter) bool {
	w.flush(20 * time.Second)
	return true
}

// A flush of a log that nobody reads returns.
func TestAFlushIsBounded(t *testing.T) {
	w := newAsyncWriter(&blockingWriter{release: make(chan struct{})})
	_, _ = w.Write([]byte("line\n")) // never fails
	w.flush(time.Millisecond)
}
