package store

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Committer makes records of many goroutines durable with as few syncs as there can be: what comes while one goes on waits for
// the next. Nobody waits for a timer.
type Committer struct {
	log   *Log
	queue chan waiting
	done  chan struct{}
	ended chan struct{}

	mu      sync.Mutex
	closed  bool
	batches *hdrhistogram.Histogram
	took    *hdrhistogram.Histogram // microseconds
}

type waiting struct {
	records []Record
	told    chan error
}

// Bounds of a committer.
const (
	mostBatch   = 1 << 20 // bytes of a batch, but for one record that is larger
	mostWaiting = 4096    // calls; more are refused
)

var (
	// ErrBusy: too many wait already.
	ErrBusy = errors.New("too many records wait to be durable")
	// ErrClosed: it was closed.
	ErrClosed = errors.New("the store is closed")
)

// NewCommitter begins one; the log is its own from now on.
func NewCommitter(l *Log) *Committer {
	c := &Committer{log: l, queue: make(chan waiting, mostWaiting), done: make(chan struct{}), ended: make(chan struct{}),
		batches: hdrhistogram.New(1, mostWaiting, 2), took: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)}
	go c.run()
	return c
}

// Commit returns once the records are durable, or will never be by this log: they may be found all the same.
func (c *Committer) Commit(records ...Record) error {
	w := waiting{records, make(chan error, 1)}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	select {
	case c.queue <- w:
		c.mu.Unlock()
		return <-w.told
	default:
		c.mu.Unlock()
		return ErrBusy
	}
}

func (c *Committer) run() {
	defer close(c.ended)
	for {
		select {
		case w := <-c.queue:
			c.batch(w)
		case <-c.done:
			for {
				select {
				case w := <-c.queue:
					c.batch(w)
				default:
					return
				}
			}
		}
	}
}

// batch commits one and what waits behind it.
func (c *Committer) batch(first waiting) {
	list, records, size := []waiting{first}, slices.Clone(first.records), 0
	for more := true; more && size < mostBatch; {
		select {
		case w := <-c.queue:
			list, records = append(list, w), append(records, w.records...)
			for _, r := range w.records {
				size += frame + len(r.Payload)
			}
		default:
			more = false
		}
	}
	began := time.Now()
	_, err := c.log.Append(records)
	c.mu.Lock()
	c.batches.RecordValue(int64(len(list)))
	c.took.RecordValue(max(1, time.Since(began).Microseconds()))
	c.mu.Unlock()
	for _, w := range list {
		w.told <- err
	}
}

// Waiting is how many calls wait for the next sync.
func (c *Committer) Waiting() int { return len(c.queue) }

// Figures are of all commits so far: calls a sync, and time, at a quantile.
func (c *Committer) Figures(percent float64) (calls int64, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batches.ValueAtQuantile(percent), time.Duration(c.took.ValueAtQuantile(percent)) * time.Microsecond
}

// Close commits what waits, and closes the log.
func (c *Committer) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return ErrClosed
	}
	close(c.done)
	<-c.ended
	return c.log.Close()
}
