package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"swiftreel/internal/counters"
)

// maxQueuedLines is the number of lines that may wait for a slow reader of the log.
const maxQueuedLines = 1024

// asyncWriter writes lines in a goroutine of its own, so that callers do not block when nobody reads the log. While the
// queue is full, lines are dropped and counted; once it is empty, a line with their number is written. It is safe for
// concurrent use.
type asyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	queue   [][]byte
	dropped int
	writing bool          // a goroutine is running writeQueue
	idle    chan struct{} // closed when that goroutine has emptied the queue
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	idle := make(chan struct{})
	close(idle)
	return &asyncWriter{out: out, idle: idle}
}

// Write queues a line. It never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedLines {
		w.dropped++
		counters.Increment("log_lines_dropped")
		return len(line), nil
	}
	w.queue = append(w.queue, append([]byte(nil), line...))
	if !w.writing {
		w.writing = true
		w.idle = make(chan struct{})
		go w.writeQueue()
	}
	return len(line), nil
}

// writeQueue writes until the queue is empty.
func (w *asyncWriter) writeQueue() {
	for line := w.next(); line != nil; line = w.next() {
		_, _ = w.out.Write(line) // the program continues when its log cannot be written
	}
}

// next removes and returns the first line of the queue. From an empty queue it returns a line with the number of
// dropped lines, or nil if there are none.
func (w *asyncWriter) next() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 && w.dropped == 0 {
		w.writing = false
		close(w.idle)
		return nil
	}
	if len(w.queue) == 0 {
		line := fmt.Appendf(nil, "time=%s level=WARN msg=log_lines_dropped count=%d\n",
			time.Now().UTC().Format(timeLayout), w.dropped)
		w.dropped = 0
		return line
	}
	line := w.queue[0]
	w.queue = w.queue[1:]
	return line
}

// flush waits until all lines are written, for at most timeout.
func (w *asyncWriter) flush(timeout time.Duration) {
	w.mu.Lock()
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(timeout):
	}
}
