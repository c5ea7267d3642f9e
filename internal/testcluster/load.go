package testcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/client"
	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
)

const (
	jobsPerHeartbeat = 5                     // on one connection, until the next heartbeat
	reconnectDelay   = 10 * time.Millisecond // until the next connection attempt
	answerGrace      = 5 * time.Second       // how long a client waits beyond the job timeout

	lookupTimeout = 2 * time.Second
	importTimeout = 4 * time.Second

	importTenths = 4 // imports, in tenths of all jobs
	keyedTenths  = 1 // imports with an ordering key, in tenths of all jobs
)

// Load is a set of clients that request jobs from a cluster's controllers until stopped. A client reconnects if its
// connection breaks or if the controller does not accept jobs. The counters may be read at any time.
type Load struct {
	cluster *Cluster
	pause   time.Duration
	workMS  int64 // work that jobs declare
	done    chan struct{}
	clients sync.WaitGroup

	// Counts of outcomes. Broken: the connection broke before the answer.
	Done, Throttled, Cancelled, Broken atomic.Int64
}

// StartLoad starts clients for each controller, each with a mean pause between jobs. If uneven is true, the first
// controller gets twice as many clients, and the last a third. Jobs declare the current duration of a dispatch as their
// work.
func (c *Cluster) StartLoad(seed uint64, clients int, pause time.Duration, uneven bool) *Load {
	l := &Load{cluster: c, pause: pause, workMS: max(1, c.Faults.WorkDuration().Milliseconds()), done: make(chan struct{})}
	for i, m := range c.Members {
		count := clients
		switch {
		case uneven && i == 0:
			count = 2 * clients
		case uneven && i == len(c.Members)-1:
			count = max(1, clients/3)
		}
		for k := range count {
			one := &loadClient{load: l, name: fmt.Sprintf("%02d%02d", i, k), address: m.ClientAddress,
				random: rand.New(rand.NewPCG(seed, uint64(i*100+k)))}
			l.clients.Go(one.run)
		}
	}
	return l
}

// Stop stops the load and waits until each client has finished its current job. It must be called only once.
func (l *Load) Stop() {
	close(l.done)
	l.clients.Wait()
}

func (l *Load) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// count counts an answer and returns its name in the rules.
func (l *Load) count(answer client.Answer) string {
	switch answer.Error {
	case "":
		l.Done.Add(1)
		return rulecheck.Done
	case "Overloaded":
		l.Throttled.Add(1)
		return rulecheck.Throttled
	default:
		l.Cancelled.Add(1)
		return rulecheck.Cancelled
	}
}

// loadClient is one client of a load. It is used by one goroutine only.
type loadClient struct {
	load    *Load
	name    string // four digits; used as the jobs' OrderScope and ordering key
	address string
	random  *rand.Rand
}

// run requests jobs, reconnecting as needed, until the load is stopped.
func (c *loadClient) run() {
	for !c.load.stopped() {
		conn, err := fake.Dial(c.address)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		c.serve(conn)
		_ = conn.Conn.Close() // the connection may have broken
		if !c.load.stopped() {
			time.Sleep(reconnectDelay)
		}
	}
}

// serve requests jobs over one connection while the controller accepts them. Before each job it checks whether the
// controller has closed the connection, as a controller does that is shutting down: real clients read their sockets and
// notice.
func (c *loadClient) serve(conn *fake.Client) {
	for n := 0; !c.load.stopped() && !conn.IsClosed(); n++ {
		if n%jobsPerHeartbeat == 0 {
			if ready, err := conn.Ready(); !ready || err != nil {
				return
			}
		}
		if err := c.runJob(conn); err != nil {
			return
		}
		time.Sleep(c.load.pause/2 + time.Duration(c.random.Int64N(int64(c.load.pause))))
	}
}

// jobRequest is a job as a client requests it.
type jobRequest struct {
	id      string
	method  string
	key     string // ordering key; empty: unordered
	timeout time.Duration
}

// nextJob draws a job: a lookup, an import, or an import with the client's own key.
func (c *loadClient) nextJob() jobRequest {
	id := fmt.Sprintf("%s%012x", c.name, c.load.cluster.lastJob.Add(1))
	job := jobRequest{id: id, method: "lookup", timeout: lookupTimeout}
	draw := c.random.IntN(10)
	if draw < importTenths {
		job.method = "import"
		job.timeout = importTimeout
	}
	if draw < keyedTenths {
		job.key = "k" + c.name
	}
	return job
}

// errUnexpectedAnswer is returned if an answer has the message ID of another request.
var errUnexpectedAnswer = errors.New("answer to another request")

// runJob requests one job, waits for its answer and logs both. After an error the connection must not be used again.
func (c *loadClient) runJob(conn *fake.Client) error {
	job := c.nextJob()
	events := &c.load.cluster.Events
	events.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job.id, Type: job.method, Key: job.key, OrderScope: c.name,
		DeadlineNS: time.Now().Add(job.timeout).UnixNano()})
	answer, err := c.request(conn, job)
	if err != nil {
		c.load.Broken.Add(1)
		events.Add(rulecheck.Entry{Event: rulecheck.ClientLeft, Job: job.id})
		return err
	}
	events.Add(rulecheck.Entry{Event: rulecheck.Answered, Job: job.id, Answer: c.load.count(answer)})
	return nil
}

func (c *loadClient) request(conn *fake.Client, job jobRequest) (client.Answer, error) {
	fields := []string{"call", job.id, "ttl", fmt.Sprint(job.timeout.Milliseconds()), "org", "acme",
		"work", fmt.Sprint(c.load.workMS), "est_mb", "8"}
	if job.key != "" {
		fields = append(fields, "row", job.key)
	}
	id, err := conn.Send(job.method, "SELECT 1 FROM a_1.b", fields...)
	if err != nil {
		return client.Answer{}, err
	}
	answer, err := conn.Read(job.timeout + answerGrace)
	if err == nil && answer.ID != id {
		err = fmt.Errorf("%w: got message ID %d, want %d", errUnexpectedAnswer, answer.ID, id)
	}
	return answer, err
}
