package leader

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"log"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Timing configures a member. Times are in nanoseconds of the member's monotonic clock.
type Timing struct {
	Tick            int64 // between two calls of Core.Tick
	Lease           int64 // a voter that has heard from a leader votes for no other candidate for this long
	LeasePerMille   int64 // part of the lease during which the leader acts; the rest is a margin for clock drift
	RetainedEntries int   // the log is compacted once it holds twice as many entries
}

// DefaultTiming returns a Timing that tolerates clocks whose rates differ by 10%, with a reserve of another 10%.
func DefaultTiming() Timing {
	return Timing{Tick: 50e6, Lease: 1e9, LeasePerMille: 800, RetainedEntries: 256}
}

// Raft parameters that do not depend on Timing.
const (
	minElectionTicks      = 3
	heartbeatsPerElection = 10
	maxAppendBytes        = 1 << 20 // per append message
	maxInflightAppends    = 64      // append messages per member
	maxUncommittedBytes   = 64 << 20
	readRequestBytes      = 8 // the context of a read request is the time of the request
)

// Core is the state machine of one member: raft, the replicated state and the leader's lease. It performs no I/O and
// reads no clock: callers pass the member's monotonic time in nanoseconds and process the returned Output. It is not
// safe for concurrent use.
type Core struct {
	name         string
	id           uint64
	timing       Timing
	rawNode      *raft.RawNode
	storage      *raft.MemoryStorage
	state        State
	membership   *raftpb.ConfState
	appliedIndex uint64
	startedAt    int64 // of this process
	now          int64 // latest time passed by a caller

	quorumAt    int64  // latest time at which a quorum is known to have followed this member
	claimedTerm uint64 // latest raft term that this member proposed to claim
	ignoreLease bool   // set by tests to verify that they detect a member that ignores its lease

	transferring      bool // leadership is being transferred: this member no longer acts
	transferStartedAt int64

	membersChanged    bool             // a snapshot is due at once: a new member needs one that lists it
	snapshotStartedAt map[uint64]int64 // by member: when the pending snapshot to it was first noticed
}

// NewCore starts a member as a follower from its persistent state.
func NewCore(name string, persistent PersistentState, timing Timing, now int64) (*Core, error) {
	c := &Core{
		name:       name,
		id:         persistent.MemberID,
		timing:     timing,
		storage:    raft.NewMemoryStorage(),
		membership: &raftpb.ConfState{},
		startedAt:  now,
		now:        now,
		quorumAt:   now - timing.Lease - 1, // no quorum so far
	}
	if err := c.load(persistent); err != nil {
		return nil, err
	}
	return c, c.startRaft()
}

func (c *Core) load(persistent PersistentState) error {
	if !raft.IsEmptySnap(persistent.Snapshot) {
		if err := c.storage.ApplySnapshot(persistent.Snapshot); err != nil {
			return err
		}
		if err := c.restore(persistent.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(persistent.HardState) {
		if err := c.storage.SetHardState(persistent.HardState); err != nil {
			return err
		}
	}
	return c.storage.Append(persistent.Entries)
}

// startRaft starts raft as a follower from the content of the storage.
func (c *Core) startRaft() error {
	electionTicks := max(minElectionTicks, int(c.timing.Lease/c.timing.Tick))
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:                        c.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             max(1, electionTicks/heartbeatsPerElection),
		Storage:                   c.storage,
		Applied:                   c.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInflightAppends,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	c.rawNode = rawNode
	return err
}

// Tick advances raft's clock. It must be called every Timing.Tick.
func (c *Core) Tick(now int64) Output {
	c.now = max(c.now, now)
	if c.transferring && c.now-c.transferStartedAt > c.timing.Lease {
		c.abandonTransfer()
	}
	c.rawNode.Tick()
	if c.isLeader() {
		c.requestQuorum()
		c.claimTerm()
		c.retryLostSnapshots()
	}
	return c.collectOutput()
}

// abandonTransfer restarts raft as a follower after no other member has taken over in time. The request to take over
// may still arrive, so this member must not act again in its term.
func (c *Core) abandonTransfer() {
	c.transferring = false
	_ = c.startRaft() // cannot fail: NewCore started raft with the same configuration
}

// requestQuorum asks all members to confirm that they follow this member. A reply proves that its sender did so at the
// time in the request or later.
func (c *Core) requestQuorum() {
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(c.now)))
}

// claimTerm proposes this member as the leader of the raft term that it leads, once per term.
func (c *Core) claimTerm() {
	raftTerm := c.rawNode.BasicStatus().GetTerm()
	if raftTerm == c.claimedTerm || c.transferring {
		return
	}
	c.claimedTerm = raftTerm
	// A claim that raft drops is not retried: this member then does not act in this term.
	_ = c.propose(Command{Proposer: c.id, Term: Term(raftTerm), Candidate: c.name})
}

// Step handles a message from another member. Message types that only this process may create are ignored.
func (c *Core) Step(now int64, message *raftpb.Message) Output {
	c.now = max(c.now, now)
	switch message.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		// During the first lease after its start a process does not know whether it granted a lease before the restart.
		if c.now-c.startedAt < c.timing.Lease && !c.ignoreLease {
			return c.collectOutput()
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgTransferLeader:
		return c.collectOutput()
	}
	_ = c.rawNode.Step(message) // an error means that the message does not apply
	return c.collectOutput()
}

func (c *Core) isLeader() bool { return c.rawNode.BasicStatus().RaftState == raft.StateLeader }

// ActiveTerm returns the term under which this member may act as leader now, or 0. The member must lead, its claim must
// be committed, and a quorum must have confirmed it within the lease. Call it before each action. The lease may expire
// between the call and the action, so receivers must also fence the action by its term.
func (c *Core) ActiveTerm(now int64) Term {
	c.now = max(c.now, now)
	status := c.rawNode.BasicStatus()
	if status.RaftState != raft.StateLeader || c.transferring {
		return 0
	}
	if c.state.Leader != c.name || c.state.Term != Term(status.GetTerm()) {
		return 0
	}
	usableLease := c.timing.Lease * c.timing.LeasePerMille / 1000
	if c.now-c.quorumAt >= usableLease && !c.ignoreLease {
		return 0
	}
	return c.state.Term
}

// Propose proposes to write an item under a term. The outcome is returned later as a Result with the given command ID.
// There is no Result if this member loses the leadership first.
func (c *Core) Propose(commandID uint64, term Term, item string, value []byte) (Output, error) {
	if !c.isLeader() || c.transferring {
		return Output{}, ErrNotLeader
	}
	err := c.propose(Command{ID: commandID, Proposer: c.id, Term: term, Item: item, Value: value})
	return c.collectOutput(), err
}

func (c *Core) propose(command Command) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return c.rawNode.Propose(text)
}

// State returns the replicated state as applied by this member so far. The caller must not modify it.
func (c *Core) State() State { return c.state }

// Voters returns the IDs of the voting members.
func (c *Core) Voters() []uint64 { return c.membership.GetVoters() }

// RaftLeader returns the ID of the raft leader (0 if unknown) and the raft term.
func (c *Core) RaftLeader() (id, term uint64) {
	status := c.rawNode.BasicStatus()
	return status.Lead, status.GetTerm()
}
