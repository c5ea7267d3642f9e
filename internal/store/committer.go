package store

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a committer.
const (
	maxBatchBytes     = 1 << 20 // of the encoded records behind the first commit of a batch
	maxQueuedCommits  = 4096    // more are refused with ErrBusy
	histogramDigits   = 2       // significant figures
	maxRecordedCommit = time.Hour
)

// Committer makes records of many goroutines durable with few syncs (group commit): commits that arrive during a sync
// wait and share the next one. Nothing waits for a timer. One goroutine, started by NewCommitter and ended by Close,
// owns the log.
type Committer struct {
	log     *Log // only used by run, and by Close after run has ended
	queue   chan commitRequest
	closing chan struct{} // closed by Close
	ended   chan struct{} // closed by run

	mu          sync.Mutex // guards what follows
	isClosed    bool
	batchSizes  *hdrhistogram.Histogram // commits a sync
	commitTimes *hdrhistogram.Histogram // microseconds
}

type commitRequest struct {
	records []Record
	result  chan error // buffered
}

// NewCommitter starts a committer. It owns the log from now on.
func NewCommitter(log *Log) *Committer {
	c := &Committer{
		log:         log,
		queue:       make(chan commitRequest, maxQueuedCommits),
		closing:     make(chan struct{}),
		ended:       make(chan struct{}),
		batchSizes:  hdrhistogram.New(1, maxQueuedCommits, histogramDigits),
		commitTimes: hdrhistogram.New(1, maxRecordedCommit.Microseconds(), histogramDigits),
	}
	go c.run()
	return c
}

// Commit returns nil once the records are durable. After an error of the disk they may or may not be found when the
// store is opened next. ErrBusy and ErrClosed mean that nothing was written.
func (c *Committer) Commit(records ...Record) error {
	request := commitRequest{records: records, result: make(chan error, 1)}
	if err := c.enqueue(request); err != nil {
		return err
	}
	return <-request.result
}

// enqueue never blocks. It holds the lock so that nothing is queued after Close.
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
	defer close(c.ended)
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

// commitBatch commits a request and those that wait behind it, with one sync.
func (c *Committer) commitBatch(first commitRequest) {
	batch := c.collect(first)
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

// collect returns a request and those that wait behind it, up to the bound of a batch.
func (c *Committer) collect(first commitRequest) []commitRequest {
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

func (c *Committer) measure(commits int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Values out of range are left out; the bounds allow all that can occur in service.
	_ = c.batchSizes.RecordValue(int64(commits))
	_ = c.commitTimes.RecordValue(max(1, took.Microseconds()))
}

// QueueLength returns how many commits wait for the next sync.
func (c *Committer) QueueLength() int { return len(c.queue) }

// CommitStats is a percentile over all syncs so far.
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

// Close commits what waits, ends the goroutine and closes the log. A second call returns ErrClosed.
func (c *Committer) Close() error {
	c.mu.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	c.mu.Unlock()
	if wasClosed {
		return ErrClosed
	}
	close(c.closing)
	<-c.ended
	return c.log.Close()
}
