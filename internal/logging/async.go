package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"swiftreel/internal/counters"
)

// maxQueuedLines is how many lines wait for a reader of the log that is slow; more are dropped.
const maxQueuedLines = 1024

// asyncWriter writes lines in a goroutine of its own, so that a log that nobody reads holds up nobody who logs. Lines
// that find the queue full are dropped and counted; the next line that is written says how many. It is safe for
// concurrent use.
type asyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	queue   [][]byte
	dropped int
	writing bool          // a goroutine writes until the queue is empty
	idle    chan struct{} // closed once it has
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	idle := make(chan struct{})
	close(idle)
	return &asyncWriter{out: out, idle: idle}
}

// Write queues a line. It never waits and never fails.
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
		_, _ = w.out.Write(line) // a log that cannot be written is no reason to stop
	}
}

// next takes the first line off the queue, or says how many were dropped; nil: the queue is empty.
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

// flush waits until all lines were written, no longer than a time.
func (w *asyncWriter) flush(timeout time.Duration) {
	w.mu.Lock()
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(timeout):
	}
}
