package leader

import (
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	// stallLeaseDivisor defines a stall: a tick that comes later than the lease divided by this number.
	stallLeaseDivisor = 4
	// proposeTimeout is how long Node.Propose waits for the outcome.
	proposeTimeout = 3 * time.Second
)

// Node runs a member in a process: its Core, Store and clock, and the connections to other members. All methods are
// safe for concurrent use.
type Node struct {
	name      string
	addresses map[string]string // of the members' supervisors, by name
	store     *Store
	timing    Timing
	client    http.Client
	startedAt time.Time
	closed    chan struct{}
	workers   sync.WaitGroup // the ticker and one sender per member; they stop when closed is closed

	mu              sync.Mutex
	core            *Core // nil until the process is a member of a fleet
	storeError      error // why the store failed; the node is halted until it works again and this is nil
	resumeAt        int64 // when to retry the store
	stalledTicks    int64
	lastTick        int64
	lastCommandID   uint64
	pending         map[uint64]chan<- error // callers of Propose, by command ID
	sendQueues      map[string]chan []byte  // by member name
	unlistedSenders map[uint64]string       // names by ID, to reply while joining, when the state lists no members
}

// Open starts a member from its store at path. addresses holds the addresses of the members' supervisors, by name.
func Open(name, path string, addresses map[string]string, timing Timing) (*Node, error) {
	store, err := OpenStore(path)
	if err != nil {
		return nil, err
	}
	n := &Node{
		name:            name,
		addresses:       addresses,
		store:           store,
		timing:          timing,
		client:          newClient(timing),
		startedAt:       time.Now(),
		closed:          make(chan struct{}),
		pending:         map[uint64]chan<- error{},
		sendQueues:      map[string]chan []byte{},
		unlistedSenders: map[uint64]string{},
	}
	if err := n.loadCore(); err != nil {
		_ = store.Close() // the first error is the cause
		return nil, err
	}
	n.workers.Go(n.runTicker)
	return n, nil
}

func (n *Node) loadCore() error {
	persistent, err := n.store.Load()
	if err != nil {
		return err
	}
	if persistent.MemberID == 0 {
		return nil
	}
	n.core, err = NewCore(n.name, persistent, n.timing, n.now())
	return err
}

// Close stops the node and closes its store.
func (n *Node) Close() {
	close(n.closed)
	n.workers.Wait()
	n.mu.Lock() // requests of other members may still be in progress
	defer n.mu.Unlock()
	if err := n.store.Close(); err != nil {
		slog.Warn("leader_store_not_closed", "reason", err)
	}
}

// now returns the node's monotonic time in nanoseconds.
func (n *Node) now() int64 { return int64(time.Since(n.startedAt)) }

func (n *Node) runTicker() {
	ticker := time.NewTicker(time.Duration(n.timing.Tick))
	defer ticker.Stop()
	for {
		select {
		case <-n.closed:
			return
		case <-ticker.C:
			n.countStall(n.now())
			n.resumeIfDue()
			n.update(func(c *Core) Output { return c.Tick(n.now()) })
		}
	}
}

func (n *Node) countStall(now int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastTick != 0 && now-n.lastTick > n.timing.Lease/stallLeaseDivisor {
		n.stalledTicks++
	}
	n.lastTick = now
}

// StalledTicks returns the number of ticks that were late enough to endanger the lease.
func (n *Node) StalledTicks() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalledTicks
}

// update calls the core, persists its output, and only then sends the messages and delivers the results. It does
// nothing if the process is not a member or its store has failed.
func (n *Node) update(call func(*Core) Output) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil || n.storeError != nil {
		return
	}
	out := call(n.core)
	if err := n.store.Save(out); err != nil {
		n.halt(err)
		return
	}
	for _, message := range out.Messages {
		n.send(message)
	}
	for _, result := range out.Results {
		n.deliver(result)
	}
}

// halt stops the node from sending messages after a failed write, because the content of these messages may not be
// persisted. The node still asks another voter to take over, as that message relies on no persisted state. The caller
// holds the lock.
func (n *Node) halt(cause error) {
	n.storeError = cause
	n.resumeAt = n.now() + n.timing.Lease
	slog.Error("leader_member_halted", "reason", cause)
	out, _ := n.core.TransferLeadership("")
	for _, message := range out.Messages {
		if message.GetType() == raftpb.MsgTimeoutNow {
			n.send(message)
		}
	}
}

// resumeIfDue retries the store of a halted node once per lease. Once the store works, the node resumes like a process
// that restarts from the store's file. This is safe because the node has sent nothing that was not persisted.
func (n *Node) resumeIfDue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeError == nil || n.now() < n.resumeAt {
		return
	}
	n.resumeAt = n.now() + n.timing.Lease
	err := n.store.Reopen()
	if err == nil {
		err = n.loadCore()
	}
	if err != nil {
		n.storeError = err
		return
	}
	n.storeError = nil
	slog.Warn("leader_member_resumed", "name", n.name)
}

// deliver passes a result to the waiting Propose call. The caller holds the lock.
func (n *Node) deliver(result Result) {
	if outcome := n.pending[result.CommandID]; outcome != nil {
		outcome <- result.Err // does not block: the channel is buffered
		delete(n.pending, result.CommandID)
	}
}

// ActiveTerm returns the term under which this process may act as leader now, or 0. See Core.ActiveTerm.
func (n *Node) ActiveTerm() Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil || n.storeError != nil {
		return 0
	}
	return n.core.ActiveTerm(n.now())
}

// Propose writes an item under a term and waits until the write is committed or rejected. After ErrProposalTimeout or
// ErrClosed the item may still be written later.
func (n *Node) Propose(term Term, item string, value []byte) error {
	outcome := make(chan error, 1)
	err := ErrNotMember
	var id uint64
	n.update(func(c *Core) Output {
		n.lastCommandID++
		id = n.lastCommandID
		n.pending[id] = outcome
		var out Output
		out, err = c.Propose(id, term, item, value)
		return out
	})
	if err == nil {
		select {
		case err := <-outcome:
			return err
		case <-time.After(proposeTimeout):
			err = ErrProposalTimeout
		case <-n.closed:
			err = ErrClosed
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, id)
	return err
}

// Item returns the value of a replicated item as applied by this member so far. The active leader has applied all
// entries that were committed before its term.
func (n *Node) Item(name string) (value []byte, isPresent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return nil, false
	}
	value, isPresent = n.core.state.Items[name]
	return value, isPresent
}

// Status is the status of a member, as served to operators and other programs.
type Status struct {
	Name       string   `json:"name"`
	ID         uint64   `json:"id"` // 0 until the process is a member of a fleet
	Term       Term     `json:"reign"`
	Leader     string   `json:"owner"`  // of Term
	Active     bool     `json:"may"`    // this member may act as leader now
	RaftLeader string   `json:"leader"` // as known to this member
	RaftTerm   uint64   `json:"term"`
	Voters     []string `json:"voters"`
	Halted     string   `json:"halted,omitempty"` // error of the store while the member is halted
}

// Status returns the member's status.
func (n *Node) Status() Status {
	status := Status{Name: n.name, Active: n.ActiveTerm() != 0}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeError != nil {
		status.Halted = n.storeError.Error()
	}
	if n.core == nil {
		return status
	}
	state := n.core.State()
	raftLeader, raftTerm := n.core.RaftLeader()
	status.ID = n.core.id
	status.Term = state.Term
	status.Leader = state.Leader
	status.RaftLeader = state.Members[raftLeader]
	status.RaftTerm = raftTerm
	for _, id := range n.core.Voters() {
		status.Voters = append(status.Voters, state.Members[id])
	}
	return status
}

// bootstrap makes this process a member according to the request.
func (n *Node) bootstrap(request bootstrapRequest) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkBootstrap(request); err != nil {
		return err
	}
	persistent := request.initialState()
	if err := n.store.Initialize(persistent); err != nil {
		return err
	}
	var err error
	n.core, err = NewCore(n.name, persistent, n.timing, n.now())
	n.storeError = nil
	slog.Info("leader_member_started", "name", n.name, "member_id", request.ID,
		"voters", len(request.Members), "recover", request.Recover)
	return err
}

// checkBootstrap rejects a request that conflicts with the current membership, or whose term is not above the known
// terms. The caller holds the lock.
func (n *Node) checkBootstrap(request bootstrapRequest) error {
	if request.Recover {
		term := Term(request.RaftTerm)
		if term == 0 || term <= request.State.Term || n.core != nil && term <= n.core.state.Term {
			return fmt.Errorf("term %d is not above the known terms, %d is one of them",
				request.RaftTerm, request.State.Term)
		}
	}
	if n.core != nil && !request.Recover {
		return fmt.Errorf("%s: %w, with ID %d", n.name, ErrAlreadyMember, n.core.id)
	}
	if request.ID == 0 || len(request.Members) > 0 && request.Members[request.ID] != n.name {
		return fmt.Errorf("member ID %d is not that of %s", request.ID, n.name)
	}
	return nil
}

// TransferLeadership starts the transfer of the leadership to the voter with the given name, or to any voter if the
// name is empty. It returns false if this member does not lead or there is no such voter.
func (n *Node) TransferLeadership(name string) bool {
	isTransferring := false
	n.update(func(c *Core) Output {
		var out Output
		out, isTransferring = c.TransferLeadership(name)
		return out
	})
	return isTransferring
}
