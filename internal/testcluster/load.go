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
	jobsPerHeartbeat = 5                     // over a connection, before the next heartbeat
	reconnectDelay   = 10 * time.Millisecond // before the next attempt
	answerGrace      = 5 * time.Second       // past a job's timeout, until a client gives up

	lookupTimeout = 2 * time.Second
	importTimeout = 4 * time.Second

	importTenths = 4 // of all jobs
	keyedTenths  = 1 // of all jobs: imports with an ordered key
)

// Load is clients that request jobs of a cluster's controllers until stopped. A client goes on over another
// connection where its own breaks, and away from a controller that does not welcome jobs. The counts are safe to read
// at any time.
type Load struct {
	cluster *Cluster
	pause   time.Duration
	workMS  int64 // that jobs claim to take
	done    chan struct{}
	clients sync.WaitGroup

	// Counts of outcomes. Broken: the connection, before the answer.
	Done, Throttled, Cancelled, Broken atomic.Int64
}

// StartLoad starts clients at each controller, each with a mean pause from one job to the next. uneven: the first
// controller has twice as many clients, the last a third. Jobs claim the work that dispatches take at present.
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

// Stop ends the load once each client has ended the job that it waits for. It is called once.
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

// count counts an answer, and returns it as the rules name it.
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

// loadClient is one client of a load. It belongs to one goroutine.
type loadClient struct {
	load    *Load
	name    string // four digits; the front of jobs, and their key
	address string
	random  *rand.Rand
}

// run connects again and again until the load is stopped.
func (c *loadClient) run() {
	for !c.load.stopped() {
		conn, err := fake.Dial(c.address)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		c.serve(conn)
		_ = conn.Conn.Close() // it may have broken
		if !c.load.stopped() {
			time.Sleep(reconnectDelay)
		}
	}
}

// serve requests jobs over one connection, for as long as they are welcome. Before each it looks whether the controller
// has closed the connection meanwhile, as one does that is told to end: clients that read their sockets see that.
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
	key     string // "": without order
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

// errOtherAnswer is returned where an answer is to another job than that waited for.
var errOtherAnswer = errors.New("an answer to another job")

// runJob requests one job, waits for its answer and logs both. The error is of a connection that serves no more.
func (c *loadClient) runJob(conn *fake.Client) error {
	job := c.nextJob()
	events := &c.load.cluster.Events
	events.Add(rulecheck.Entry{Event: rulecheck.Accepted, Job: job.id, Type: job.method, Key: job.key, Front: c.name,
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
		err = fmt.Errorf("%w: %d, requested was %d", errOtherAnswer, answer.ID, id)
	}
	return answer, err
}
