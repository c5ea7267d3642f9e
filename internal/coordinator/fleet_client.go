package coordinator

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/operator"
	"swiftreel/internal/supervisor"
)

// Limits of a FleetClient.
const (
	// maxExchanges is the maximum number of concurrent exchanges.
	maxExchanges = 64
	// maxSuspectExchanges is the maximum number of concurrent exchanges with supervisors that did not reply last time:
	// each may last until the request timeout, and must not delay exchanges with supervisors that reply.
	maxSuspectExchanges = 8

	maxIdleConnections    = 2 // per supervisor
	idleConnectionTimeout = 30 * time.Second
)

// FleetClient polls the supervisors of a fleet and sends them orders and assignments, over HTTP. A slow supervisor does
// not delay the others: a call waits for at most the client's maximum wait, and a late reply is returned by the next
// poll.
//
// Poll, SendOrders and SendAssignments are for one goroutine; ReplyCounts may be called by any. Members and
// IncludeEngines must not be changed while another method runs.
type FleetClient struct {
	Members        []operator.Member
	IncludeEngines bool // polls also request the names of the ready engines

	maxWait          time.Duration
	http             http.Client
	exchanges        chan struct{} // semaphore; one element for each exchange in progress
	suspectExchanges chan struct{}
	start            time.Time

	mu       sync.Mutex // guards the following fields
	random   *rand.Rand
	peers    []peer // by the member's index
	answered int    // members that replied to the last poll
	polled   bool   // the first poll has ended
}

// peer is the state of the exchanges with one supervisor: at most one poll and one message are in progress.
type peer struct {
	backoff  backoff
	busy     [exchangeKinds]bool
	reply    *StatusReply // the last reply, until Poll returns it
	rejected error        // error of the last message, until it is returned
}

type exchangeKind int

const (
	pollExchange exchangeKind = iota
	messageExchange
	exchangeKinds
)

// NewFleetClient returns a client for the supervisors of the members. requestTimeout limits a single exchange; maxWait
// limits how long a call waits for all its exchanges, and is at most requestTimeout.
func NewFleetClient(members []operator.Member, requestTimeout, maxWait time.Duration) *FleetClient {
	seed := fnv.New64a()
	for _, member := range members {
		_, _ = seed.Write([]byte(member.Name)) // a hash never returns an error
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout}
	return &FleetClient{
		Members:          members,
		maxWait:          min(requestTimeout, maxWait),
		http:             http.Client{Timeout: requestTimeout, Transport: transport},
		exchanges:        make(chan struct{}, maxExchanges),
		suspectExchanges: make(chan struct{}, maxSuspectExchanges),
		start:            time.Now(),
		random:           rand.New(rand.NewPCG(seed.Sum64(), uint64(len(members)))),
		peers:            make([]peer, len(members)),
	}
}

// StatusReply is a supervisor's status, or the error of the request.
type StatusReply struct {
	Status supervisor.Status
	Err    error
}

// errNoReply is the Err of a supervisor that has not replied yet.
var errNoReply = errors.New("no reply yet")

// Poll requests the status of all supervisors. The replies are in the order of Members.
func (c *FleetClient) Poll(ctx context.Context) []StatusReply {
	everyone := func(int) bool { return true }
	c.exchange(pollExchange, everyone, func(i int) {
		status, err := c.fetchStatus(ctx, c.Members[i])
		c.storeReply(i, StatusReply{Status: status, Err: err})
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	replies := make([]StatusReply, len(c.Members))
	c.answered = 0
	c.polled = true
	for i := range c.peers {
		replies[i] = c.peers[i].takeReply()
		if replies[i].Err == nil {
			c.answered++
		}
	}
	return replies
}

func (c *FleetClient) storeReply(i int, reply StatusReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[i].reply = &reply
	if reply.Err != nil {
		c.peers[i].backoff.failed(c.elapsed(), c.random)
		return
	}
	c.peers[i].backoff.succeeded()
}

func (p *peer) takeReply() StatusReply {
	if p.reply == nil {
		return StatusReply{Err: errNoReply}
	}
	reply := *p.reply
	p.reply = nil
	return reply
}

// ReplyCounts returns how many of the members replied to the last poll, and the number of members. Both are 0 until the
// first poll has ended.
func (c *FleetClient) ReplyCounts() (answered, members int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.polled {
		return 0, 0
	}
	return c.answered, len(c.Members)
}

// SendOrders sends orders by the member's index. It returns the errors, by index, of orders that are known to be
// refused or lost, including those of earlier calls. A member with a message still in progress is skipped: the caller
// sends orders that are still needed again after the next poll.
func (c *FleetClient) SendOrders(ctx context.Context, orders map[int]change.Order) map[int]error {
	return send(ctx, c, orderPath, orders)
}

// SendAssignments sends the leader's assignments, as SendOrders does.
func (c *FleetClient) SendAssignments(ctx context.Context, assignments map[int]assignment.Assignment) map[int]error {
	return send(ctx, c, assignmentPath, assignments)
}

func send[T any](ctx context.Context, c *FleetClient, path string, messages map[int]T) map[int]error {
	addressed := func(i int) bool {
		_, found := messages[i]
		return found
	}
	c.exchange(messageExchange, addressed, func(i int) {
		err := c.post(ctx, c.Members[i], path, messages[i])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.peers[i].rejected = err
	})
	return c.takeRejections()
}

func (c *FleetClient) takeRejections() map[int]error {
	c.mu.Lock()
	defer c.mu.Unlock()
	rejections := map[int]error{}
	for i := range c.peers {
		peer := &c.peers[i]
		if peer.busy[messageExchange] || peer.rejected == nil {
			continue
		}
		rejections[i] = peer.rejected
		peer.rejected = nil
	}
	return rejections
}

// exchange calls do for each wanted member whose backoff has elapsed and that has no exchange of the kind in progress.
// It returns once all exchanges have ended, or after maxWait; unfinished ones continue, limited by the request timeout.
func (c *FleetClient) exchange(kind exchangeKind, wanted func(int) bool, do func(int)) {
	var running sync.WaitGroup
	for i := range c.Members {
		if !wanted(i) {
			continue
		}
		claimed, suspect := c.beginExchange(kind, i)
		if !claimed {
			continue
		}
		running.Go(func() {
			defer c.endExchange(kind, i)
			c.runWithinLimits(suspect, func() { do(i) })
		})
	}
	c.waitFor(&running)
}

// beginExchange marks an exchange with a member as in progress, if one may begin now. suspect reports whether the
// member did not reply to the last poll.
func (c *FleetClient) beginExchange(kind exchangeKind, i int) (claimed, suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := &c.peers[i]
	if peer.busy[kind] || !peer.backoff.isDue(c.elapsed()) {
		return false, false
	}
	peer.busy[kind] = true
	return true, peer.backoff.failures > 0
}

func (c *FleetClient) endExchange(kind exchangeKind, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[i].busy[kind] = false
}

// runWithinLimits runs an exchange once the limits of concurrent exchanges permit it.
func (c *FleetClient) runWithinLimits(suspect bool, run func()) {
	if suspect {
		c.suspectExchanges <- struct{}{}
		defer func() { <-c.suspectExchanges }()
	}
	c.exchanges <- struct{}{}
	defer func() { <-c.exchanges }()
	run()
}

// waitFor waits for exchanges to end, for at most maxWait.
func (c *FleetClient) waitFor(running *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(c.maxWait):
	}
}

// elapsed returns the time since the client's start, in nanoseconds.
func (c *FleetClient) elapsed() int64 { return int64(time.Since(c.start)) }
