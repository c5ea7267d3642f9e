package store

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a committer.
const (
	maxBatchBytes         = 1 << 20 // of encoded records, without those of the first commit of a batch
	maxQueuedCommits      = 4096    // further ones fail with ErrBusy
	histogramDigits       = 2       // significant figures
	maxRecordedCommitTime = time.Hour
)

// Committer implements group commit: commits of many goroutines that arrive during a sync wait and share the next one.
// No timer delays a commit. One goroutine, started by NewCommitter and ended by Close, owns the log.
type Committer struct {
	log     *Log // only used by run, and by Close after run has ended
	queue   chan commitRequest
	closing chan struct{} // closed by Close
	done    chan struct{} // closed by run

	mu          sync.Mutex // guards the fields below
	isClosed    bool
	batchSizes  *hdrhistogram.Histogram // commits per sync
	commitTimes *hdrhistogram.Histogram // microseconds
}

type commitRequest struct {
	records []Record
	result  chan error // buffered
}

// NewCommitter starts a committer, which takes over the log.
func NewCommitter(log *Log) *Committer {
	c := &Committer{
		log:         log,
		queue:       make(chan commitRequest, maxQueuedCommits),
		closing:     make(chan struct{}),
		done:        make(chan struct{}),
		batchSizes:  hdrhistogram.New(1, maxQueuedCommits, histogramDigits),
		commitTimes: hdrhistogram.New(1, maxRecordedCommitTime.Microseconds(), histogramDigits),
	}
	go c.run()
	return c
}

// Commit returns nil once the records are durable. After an error of the disk, the next Open may or may not replay
// them. ErrBusy and ErrClosed mean that nothing was written.
func (c *Committer) Commit(records ...Record) error {
	request := commitRequest{records: records, result: make(chan error, 1)}
	if err := c.enqueue(request); err != nil {
		return err
	}
	return <-request.result
}

// enqueue never blocks. It holds the mutex so that no request is queued after Close.
func (c *Committer) enqueue(request commitRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return ErrClosed
	}
	select {
	case c.queue <- request:
		return nil
	default:
		return ErrBusy
	}
}

// run commits batches until the committer is closed and the queue is empty.
func (c *Committer) run() {
	defer close(c.done)
	for {
		select {
		case request := <-c.queue:
			c.commitBatch(request)
		case <-c.closing:
			c.commitRemaining()
			return
		}
	}
}

func (c *Committer) commitRemaining() {
	for {
		select {
		case request := <-c.queue:
			c.commitBatch(request)
		default:
			return
		}
	}
}

// commitBatch commits a request and those queued behind it with one sync.
func (c *Committer) commitBatch(first commitRequest) {
	batch := c.collectBatch(first)
	records := slices.Clone(first.records)
	for _, request := range batch[1:] {
		records = append(records, request.records...)
	}
	start := time.Now()
	_, err := c.log.Append(records)
	c.measure(len(batch), time.Since(start))
	for _, request := range batch {
		request.result <- err
	}
}

// collectBatch returns a request and those queued behind it, up to maxBatchBytes.
func (c *Committer) collectBatch(first commitRequest) []commitRequest {
	batch := []commitRequest{first}
	for size := 0; size < maxBatchBytes; {
		select {
		case request := <-c.queue:
			batch = append(batch, request)
			size += encodedSize(request.records)
		default:
			return batch
		}
	}
	return batch
}

func encodedSize(records []Record) (size int) {
	for _, r := range records {
		size += recordOverhead + len(r.Payload)
	}
	return size
}

func (c *Committer) measure(commits int, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Values out of range are ignored; the bounds cover all that can occur in production.
	_ = c.batchSizes.RecordValue(int64(commits))
	_ = c.commitTimes.RecordValue(max(1, duration.Microseconds()))
}

// QueueLength returns the number of commits that wait for the next sync.
func (c *Committer) QueueLength() int { return len(c.queue) }

// CommitStats holds one percentile of the batch size and of the duration over all syncs so far.
type CommitStats struct {
	BatchSize int64         // commits made durable by one sync
	Duration  time.Duration // of writing and syncing a batch
}

// Stats returns a percentile, 0 to 100, over all syncs so far.
func (c *Committer) Stats(percentile float64) CommitStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CommitStats{
		BatchSize: c.batchSizes.ValueAtQuantile(percentile),
		Duration:  time.Duration(c.commitTimes.ValueAtQuantile(percentile)) * time.Microsecond,
	}
}

// Close commits the queued requests, ends the goroutine and closes the log. A second call returns ErrClosed.
func (c *Committer) Close() error {
	c.mu.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	c.mu.Unlock()
	if wasClosed {
		return ErrClosed
	}
	close(c.closing)
	<-c.done
	return c.log.Close()
}
