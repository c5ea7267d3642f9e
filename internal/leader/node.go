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
	// stallsPerLease: a tick that comes later than this part of a lease counts as a stall.
	stallsPerLease = 4
	// proposeTimeout is for how long Node.Propose waits for the outcome.
	proposeTimeout = 3 * time.Second
)

// Node runs a member in a process: its Core, its Store, its clock and its links. All methods are safe for concurrent
// use.
type Node struct {
	name      string
	addresses map[string]string // of members' supervisors, by name
	store     *Store
	timing    Timing
	client    http.Client
	startedAt time.Time
	closed    chan struct{}
	senders   sync.WaitGroup // the ticker and one sender per member; they end when closed is closed

	mu              sync.Mutex
	core            *Core // nil: not a member of any fleet yet
	storeError      error // the store failed: the node sends nothing until it works again; nil: it works
	resumeAt        int64 // when the store is tried again
	stalledTicks    int64
	lastTick        int64
	lastCommandID   uint64
	pending         map[uint64]chan<- error // callers of Propose, by command ID
	sendQueues      map[string]chan []byte  // by member name
	unlistedSenders map[uint64]string       // by ID, while the state lists no members: a joining one must reply
}

// Open starts a member on its file. addresses are those of the members' supervisors, by name.
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
	n.senders.Go(n.runTicker)
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

// Close stops the node and closes its file.
func (n *Node) Close() {
	close(n.closed)
	n.senders.Wait()
	n.mu.Lock() // requests of other members may still be under way
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
	if n.lastTick != 0 && now-n.lastTick > n.timing.Lease/stallsPerLease {
		n.stalledTicks++
	}
	n.lastTick = now
}

// StalledTicks returns how many ticks came so late that the lease suffered from it.
func (n *Node) StalledTicks() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalledTicks
}

// update calls the core, persists its output, and only then sends its messages and delivers its results. It does
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

// halt silences the node: what it would send might not be in its store. It only asks another voter to take over,
// which promises nothing. The caller holds the lock.
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

// resumeIfDue tries the store of a halted node once in a lease. Once it works the node goes on as a process does that
// starts on this file: what it had not stored it has not promised either.
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

// deliver hands a result to the caller of Propose. The caller holds the lock.
func (n *Node) deliver(result Result) {
	if outcome := n.pending[result.CommandID]; outcome != nil {
		outcome <- result.Err // buffered
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

// Propose writes an item under a term and waits until it is committed, or until it is known that it was not. After
// ErrProposalTimeout or ErrClosed the item may still be written later.
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

// Item returns a replicated item as far as this member has applied the log. The active leader has applied everything
// that was committed before its term.
func (n *Node) Item(name string) (value []byte, isPresent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return nil, false
	}
	value, isPresent = n.core.state.Items[name]
	return value, isPresent
}

// Status describes a member to operators and to other programs.
type Status struct {
	Name       string   `json:"name"`
	ID         uint64   `json:"id"` // 0: not a member of any fleet yet
	Term       Term     `json:"reign"`
	Leader     string   `json:"owner"`  // of Term
	Active     bool     `json:"may"`    // this member acts as leader now
	RaftLeader string   `json:"leader"` // as far as this member knows
	RaftTerm   uint64   `json:"term"`
	Voters     []string `json:"voters"`
	Halted     string   `json:"halted,omitempty"` // why its store failed
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

// bootstrap makes this process a member as requested.
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

// checkBootstrap refuses a request that would break what this process has promised. The caller holds the lock.
func (n *Node) checkBootstrap(request bootstrapRequest) error {
	if request.Recover {
		term := Term(request.RaftTerm)
		if term == 0 || term <= request.State.Term || n.core != nil && term <= n.core.state.Term {
			return fmt.Errorf("term %d is not above the known terms, %d is one of them", request.RaftTerm, request.State.Term)
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

// TransferLeadership hands the leadership over to the voter of that name, or with an empty name to any. It reports
// false if this member does not lead or there is none to hand over to.
func (n *Node) TransferLeadership(name string) bool {
	isTransferring := false
	n.update(func(c *Core) Output {
		var out Output
		out, isTransferring = c.TransferLeadership(name)
		return out
	})
	return isTransferring
}
