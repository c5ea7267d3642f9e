package leader

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"log"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Timing holds a member's time constants, in nanoseconds of its own monotonic clock.
type Timing struct {
	Tick            int64 // between two calls of Core.Tick
	Lease           int64 // a voter that has heard from a leader votes for no other one for this long
	LeasePerMille   int64 // part of the lease that the leader uses; the rest covers clock drift
	RetainedEntries int   // the log is compacted once it holds twice as many entries
}

// DefaultTiming tolerates clocks whose rates differ by a tenth, with as much again in reserve.
func DefaultTiming() Timing {
	return Timing{Tick: 50e6, Lease: 1e9, LeasePerMille: 800, RetainedEntries: 256}
}

// Raft's parameters that do not depend on Timing.
const (
	minElectionTicks      = 3
	heartbeatsPerElection = 10
	maxAppendBytes        = 1 << 20 // of one append message
	maxInflightAppends    = 64      // to one member
	maxUncommittedBytes   = 64 << 20
	readRequestBytes      = 8 // a read request's context is the time at which it was made
)

// Core is one member: raft, the replicated state, and the leader's lease. It performs no I/O and reads no clock:
// callers pass the member's own monotonic time in nanoseconds and carry out the returned Output. It is not safe for
// concurrent use.
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
	now          int64 // the latest time passed in

	quorumAt    int64  // at this time a quorum followed this member
	claimedTerm uint64 // the last raft term for which this member proposed its claim
	ignoreLease bool   // a defect that tests inject to see it detected

	transferring      bool // leadership is being handed over: this member no longer acts
	transferStartedAt int64

	membersChanged    bool             // the next snapshot is due at once: a new member needs one that includes it
	snapshotStartedAt map[uint64]int64 // by member: when the snapshot that is under way to it was first seen
}

// NewCore starts a member from its persistent state. It follows until it hears of a leader or is elected.
func NewCore(name string, persistent PersistentState, timing Timing, now int64) (*Core, error) {
	c := &Core{
		name:       name,
		id:         persistent.MemberID,
		timing:     timing,
		storage:    raft.NewMemoryStorage(),
		membership: &raftpb.ConfState{},
		startedAt:  now,
		now:        now,
		quorumAt:   now - timing.Lease - 1, // no quorum yet
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

// startRaft starts raft as a follower on what the storage holds.
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

// Tick advances raft's clock. It is due every Timing.Tick.
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

// abandonTransfer restarts as a follower: nobody took over in time, but the request to do so may still be on its way,
// so this member must not act again in its term.
func (c *Core) abandonTransfer() {
	c.transferring = false
	_ = c.startRaft() // NewCore has accepted the same configuration
}

// requestQuorum asks all members for a confirmation. Who answers followed this member at the time in the request or
// later.
func (c *Core) requestQuorum() {
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(c.now)))
}

// claimTerm proposes, once in each raft term that this member leads, that it becomes the term's leader.
func (c *Core) claimTerm() {
	raftTerm := c.rawNode.BasicStatus().GetTerm()
	if raftTerm == c.claimedTerm || c.transferring {
		return
	}
	c.claimedTerm = raftTerm
	// A claim that raft drops is not repeated: this member then does not act in this term.
	_ = c.propose(Command{Proposer: c.id, Term: Term(raftTerm), Candidate: c.name})
}

// Step handles a message from another member. Messages that only this process may create are ignored.
func (c *Core) Step(now int64, message *raftpb.Message) Output {
	c.now = max(c.now, now)
	switch message.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		// Within a lease of its start a process cannot know to which leader it gave a promise before.
		if c.now-c.startedAt < c.timing.Lease && !c.ignoreLease {
			return c.collectOutput()
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgTransferLeader:
		return c.collectOutput()
	}
	_ = c.rawNode.Step(message) // an error means that the message was of no use here
	return c.collectOutput()
}

func (c *Core) isLeader() bool { return c.rawNode.BasicStatus().RaftState == raft.StateLeader }

// ActiveTerm returns the term under which this member may act now, or 0: it leads, its claim is committed, and a
// quorum followed it within the lease. Ask before each act. Time passes between the answer and the act, so what
// cannot be fenced by the term where it arrives must not rely on it.
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

// Propose asks for an item to be written under a term. The outcome arrives as a Result with the given command ID, or
// never if this member loses the leadership first.
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

// State returns the replicated state as far as this member has applied it. The caller must not modify it.
func (c *Core) State() State { return c.state }

// Voters returns the IDs of the voting members.
func (c *Core) Voters() []uint64 { return c.membership.GetVoters() }

// RaftLeader returns the ID of raft's leader (0: none is known) and raft's term.
func (c *Core) RaftLeader() (id, term uint64) {
	status := c.rawNode.BasicStatus()
	return status.Lead, status.GetTerm()
}
