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

// Bounds of a FleetClient.
const (
	// maxExchanges is how many supervisors are spoken with at once.
	maxExchanges = 64
	// maxSuspectExchanges is how many of these may be with supervisors that did not answer last time: each may take until
	// the time limit, and must not hold up those that answer.
	maxSuspectExchanges = 8

	maxIdleConnections    = 2 // by supervisor
	idleConnectionTimeout = 30 * time.Second
)

// FleetClient polls the supervisors of a fleet and sends them orders and assignments, over HTTP. A supervisor that is
// slow holds up nobody: it is waited for as long as the client's patience, and its reply counts for the next poll.
//
// Poll, SendOrders and SendAssignments are for one goroutine; Answered may be called by any. Members and
// IncludeEngines must not be changed while another method runs.
type FleetClient struct {
	Members        []operator.Member
	IncludeEngines bool // statuses are polled with the names of the engines that are ready

	patience         time.Duration
	http             http.Client
	exchanges        chan struct{} // a place for each exchange in progress
	suspectExchanges chan struct{}
	start            time.Time

	mu       sync.Mutex // guards what follows
	random   *rand.Rand
	peers    []peer // by the member's index
	answered int    // members that answered the last poll
	polled   bool   // a poll has ended
}

// peer is the state of the exchanges with one supervisor: at most one poll and one message are in progress.
type peer struct {
	backoff  backoff
	busy     [exchangeKinds]bool
	reply    *StatusReply // not returned by Poll yet
	rejected error        // of the last message, not returned yet
}

type exchangeKind int

const (
	pollExchange exchangeKind = iota
	messageExchange
	exchangeKinds
)

// NewFleetClient returns a client for the supervisors of the members. requestTimeout is for one exchange; patience is
// for all of a poll together, and no longer than the timeout.
func NewFleetClient(members []operator.Member, requestTimeout, patience time.Duration) *FleetClient {
	seed := fnv.New64a()
	for _, member := range members {
		_, _ = seed.Write([]byte(member.Name)) // a hash takes every write
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout}
	return &FleetClient{
		Members:          members,
		patience:         min(requestTimeout, patience),
		http:             http.Client{Timeout: requestTimeout, Transport: transport},
		exchanges:        make(chan struct{}, maxExchanges),
		suspectExchanges: make(chan struct{}, maxSuspectExchanges),
		start:            time.Now(),
		random:           rand.New(rand.NewPCG(seed.Sum64(), uint64(len(members)))),
		peers:            make([]peer, len(members)),
	}
}

// StatusReply is a supervisor's status, or why there is none.
type StatusReply struct {
	Status supervisor.Status
	Err    error
}

// errNoReply is the Err of a supervisor that has not answered yet.
var errNoReply = errors.New("no answer yet")

// Poll asks all supervisors for their status. The replies are in the order of Members.
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

// Answered returns how many of the members answered the last poll; 0 of 0 before the first has ended.
func (c *FleetClient) Answered() (answered, members int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.polled {
		return 0, 0
	}
	return c.answered, len(c.Members)
}

// SendOrders sends orders by the member's index. It returns the errors of those that are known to be refused or lost by
// now, also from earlier calls. A member whose last message is still on its way is left out: the caller repeats what is
// still wanted after the next poll.
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

// exchange does something with each wanted member that is due and with which no exchange of the kind is in progress. It
// returns once all have ended, or its patience has; those that have not go on, bounded by the request timeout.
func (c *FleetClient) exchange(kind exchangeKind, wanted func(int) bool, do func(int)) {
	var running sync.WaitGroup
	for i := range c.Members {
		if !wanted(i) {
			continue
		}
		claimed, suspect := c.claim(kind, i)
		if !claimed {
			continue
		}
		running.Go(func() {
			defer c.release(kind, i)
			c.limited(suspect, func() { do(i) })
		})
	}
	c.waitFor(&running)
}

// claim reserves an exchange with a member; suspect is whether the member did not answer last time.
func (c *FleetClient) claim(kind exchangeKind, i int) (claimed, suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := &c.peers[i]
	if peer.busy[kind] || !peer.backoff.isDue(c.elapsed()) {
		return false, false
	}
	peer.busy[kind] = true
	return true, peer.backoff.failures > 0
}

func (c *FleetClient) release(kind exchangeKind, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[i].busy[kind] = false
}

// limited runs an exchange once there is a place for it.
func (c *FleetClient) limited(suspect bool, run func()) {
	if suspect {
		c.suspectExchanges <- struct{}{}
		defer func() { <-c.suspectExchanges }()
	}
	c.exchanges <- struct{}{}
	defer func() { <-c.exchanges }()
	run()
}

// waitFor waits for exchanges, at most for the client's patience.
func (c *FleetClient) waitFor(running *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(c.patience):
	}
}

// elapsed is the time since the client's start, in nanoseconds.
func (c *FleetClient) elapsed() int64 { return int64(time.Since(c.start)) }
