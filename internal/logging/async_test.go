package logging

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// heldWriter takes lines once it is released.
type heldWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func (w *heldWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(line)
}

// Nobody reads: lines are queued up to a bound, the rest is dropped, and whoever logs is not held up. Then somebody
// reads: what was queued comes in order, and how many were dropped.
func TestALogThatIsNotReadIsBounded(t *testing.T) {
	out := &heldWriter{release: make(chan struct{})}
	w := newAsyncWriter(out)
	for range 2 * maxQueuedLines {
		_, _ = w.Write([]byte("line\n")) // never fails
	}
	close(out.release)
	w.flush(20 * time.Second)
	lines := strings.SplitAfter(out.text.String(), "\n")
	written := strings.Count(out.text.String(), "line\n")
	if written < maxQueuedLines || written > maxQueuedLines+1 {
		t.Errorf("%d lines of %d are written", written, maxQueuedLines)
	}
	if last := lines[len(lines)-2]; !strings.Contains(last, "msg=log_lines_dropped count=") {
		t.Errorf("the last line is %q", last)
	}
	if _, _ = w.Write([]byte("later\n")); !flushed(w) || !strings.HasSuffix(out.text.String(), "later\n") {
		t.Error("a later line is not written")
	}
}

func flushed(w *asyncWriter) bool {
	w.flush(20 * time.Second)
	return true
}

// A flush of a log that nobody reads comes to an end.
func TestAFlushIsBounded(t *testing.T) {
	w := newAsyncWriter(&heldWriter{release: make(chan struct{})})
	_, _ = w.Write([]byte("line\n")) // never fails
	w.flush(time.Millisecond)
}
