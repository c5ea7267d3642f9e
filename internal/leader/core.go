package leader

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Pace is a member's: times in its own monotonic time, ns.
type Timing struct {
	Tick            int64 // from one tick to the next
	Lease           int64 // a voter that has heard of an owner gives no other its vote for so long
	LeasePerMille   int64 // of the lease that the owner uses: the rest is for clocks that run unlike
	RetainedEntries int   // entries of the log beyond which it is compacted
}

// Usual is the pace where none is told: clocks may run a tenth unlike, and it leaves as much again.
func DefaultTiming() Timing {
	return Timing{Tick: 50e6, Lease: 1e9, LeasePerMille: 800, RetainedEntries: 256}
}

// Disk is all of a member that outlives its process.
type PersistentState struct {
	MemberID  uint64 // a member that lost its disk comes back under another
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Out is what is to be done after a call, in this order: what is to be saved is saved before a message goes out.
type Output struct {
	HardState  *raftpb.HardState
	Entries    []*raftpb.Entry // to be written from the first one's index on, what stood behind it is void
	Snapshot   *raftpb.Snapshot
	ReplaceLog bool // the snapshot came from another: entries saved before are void
	Messages   []*raftpb.Message
	Results    []Result // of our own commands
}

// Done is what became of a command of this process.
type Result struct {
	CommandID uint64
	Err       error
}

// Core is a member of the log, free of I/O, clock and chance: times are told.
type Core struct {
	name              string
	id                uint64
	timing            Timing
	rawNode           *raft.RawNode
	storage           *raft.MemoryStorage
	state             State
	membership        *raftpb.ConfState
	appliedIndex      uint64
	startedAt         int64 // this process
	now               int64
	term              uint64 // since when we lead, if we do
	quorumAt          int64  // a majority followed us at that time
	claimedTerm       uint64 // term for which a reign was claimed
	membersChanged    bool   // members did: who joins needs a snapshot that knows it
	transferring      bool   // stepping down: nothing is done any more
	transferStartedAt int64
	ignoreLease       bool // the broken variant of tests

	snapshotSentAt map[uint64]int64 // members that a snapshot is under way to, since when; a member leaves it when it is not
}

// NewCore starts a member from what its disk holds.
func NewCore(name string, d PersistentState, p Timing, now int64) (*Core, error) {
	c := &Core{name: name, id: d.MemberID, timing: p, storage: raft.NewMemoryStorage(), startedAt: now, now: now, quorumAt: now - p.Lease - 1, membership: &raftpb.ConfState{}}
	if !raft.IsEmptySnap(d.Snapshot) {
		if err := c.storage.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		if err := c.restore(d.Snapshot); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(d.HardState) {
		c.storage.SetHardState(d.HardState)
	}
	if err := c.storage.Append(d.Entries); err != nil {
		return nil, err
	}
	return c, c.startRaft()
}

// begin has the library begin with what is saved, as a follower.
func (c *Core) startRaft() (err error) {
	election := max(3, int(c.timing.Lease/c.timing.Tick))
	c.rawNode, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: election, HeartbeatTick: max(1, election/10), Storage: c.storage, Applied: c.appliedIndex,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true,
		StepDownOnRemoval: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return err
}

// Found is the disk of a member of a new fleet: all of them begin with the same.
func BootstrapState(id uint64, names map[uint64]string) PersistentState {
	return RecoveryState(id, names, State{}, 1)
}

// Refound is that of a fleet that begins anew with what one has kept of an earlier one, at a term over all that anyone has
// seen of that: reigns go on rising.
func RecoveryState(id uint64, names map[uint64]string, a State, term uint64) PersistentState {
	var voters []uint64
	for n := range names {
		voters = append(voters, n)
	}
	slices.Sort(voters)
	a.Members = names
	one := uint64(1)
	return PersistentState{MemberID: id, HardState: &raftpb.HardState{Term: &term, Commit: &one},
		Snapshot: raftpb.EnsureSnapshot(&raftpb.Snapshot{Data: a.encode(), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &term, ConfState: &raftpb.ConfState{Voters: voters}}})}
}

func (c *Core) restore(s *raftpb.Snapshot) error {
	var a State
	if err := json.Unmarshal(s.GetData(), &a); err != nil {
		return err
	}
	c.state, c.appliedIndex, c.membership = a, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// Tick is to come every Pace.Tick.
func (c *Core) Tick(now int64) Output {
	c.now = max(c.now, now)
	if c.transferring && c.now-c.transferStartedAt > c.timing.Lease { // nobody took over, and word to do so may be on its way: it acts no more
		c.transferring = false
		c.startRaft()
	}
	c.rawNode.Tick()
	if c.isLeader() {
		c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(c.now))) // who answers followed us at this time, and after
		if s := c.rawNode.BasicStatus(); s.GetTerm() != c.claimedTerm && !c.transferring {
			c.claimedTerm = s.GetTerm()
			c.propose(Command{Proposer: c.id, Term: Term(s.GetTerm()), Candidate: c.name})
		}
		c.retryLostSnapshots()
	}
	return c.collectOutput()
}

// snapTime is for how many leases word of a snapshot's arrival is waited for: one of mostMessage passes a slow link in it.
const snapshotTimeoutLeases = 3

// snapshots has those sent again that have not been heard of. The library waits for ever: links here tell nothing of what they
// have lost, and one that has come but was overtaken by the log's compaction counts as lost.
func (c *Core) retryLostSnapshots() {
	was := c.snapshotSentAt
	c.snapshotSentAt = nil
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if pr.State == tracker.StateSnapshot {
			if c.snapshotSentAt == nil {
				c.snapshotSentAt = map[uint64]int64{}
			}
			c.snapshotSentAt[id] = c.now
			if at, is := was[id]; is {
				c.snapshotSentAt[id] = at
			}
		}
	})
	for id, at := range c.snapshotSentAt {
		if c.now-at >= snapshotTimeoutLeases*c.timing.Lease {
			delete(c.snapshotSentAt, id)
			c.rawNode.ReportSnapshot(id, raft.SnapshotFailure) // it is probed, and sent what it lacks
		}
	}
}

// Step takes a message. A vote is not given within a lease of this process's start: it cannot know whom it had promised.
func (c *Core) Step(now int64, m *raftpb.Message) Output {
	c.now = max(c.now, now)
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if c.now-c.startedAt < c.timing.Lease && !c.ignoreLease {
			return c.collectOutput()
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgTransferLeader:
		return c.collectOutput() // nobody else may ask for these
	}
	c.rawNode.Step(m) // an error says that it was of no use
	return c.collectOutput()
}

func (c *Core) isLeader() bool { return c.rawNode.BasicStatus().RaftState == raft.StateLeader }

// May tells under which reign this member may act now: it was agreed, and a majority followed within the lease. 0: none.
// It is to be asked before each act; what cannot be fenced where it arrives must not rest on it, as time passes after it.
func (c *Core) ActiveTerm(now int64) Term {
	c.now = max(c.now, now)
	s := c.rawNode.BasicStatus()
	if s.RaftState != raft.StateLeader || c.transferring || c.state.Leader != c.name || c.state.Term != Term(s.GetTerm()) {
		return 0
	}
	if c.now-c.quorumAt >= c.timing.Lease*c.timing.LeasePerMille/1000 && !c.ignoreLease {
		return 0
	}
	return c.state.Term
}

// Propose asks for an item of what is agreed to be written under a reign. What becomes of it comes as Done, or never, where
// this member leads no more.
func (c *Core) Propose(id uint64, r Term, name string, value []byte) (Output, error) {
	if !c.isLeader() || c.transferring {
		return Output{}, errors.New("another owns")
	}
	err := c.propose(Command{ID: id, Proposer: c.id, Term: r, Item: name, Value: value})
	return c.collectOutput(), err
}

func (c *Core) propose(cmd Command) error {
	text, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	return c.rawNode.Propose(text)
}

// StepDown ends this member's acts at once, and then hands over: to the voter of that name, or, where none is named, to that
// which has come furthest.
func (c *Core) TransferLeadership(to string) (Output, bool) {
	if !c.isLeader() {
		return Output{}, false
	}
	var best, match uint64
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != c.id && !pr.IsLearner && pr.RecentActive && pr.Match >= match && (to == "" || c.state.Members[id] == to) {
			best, match = id, pr.Match
		}
	})
	if best == 0 {
		return Output{}, false
	}
	c.transferring, c.transferStartedAt = true, c.now
	c.rawNode.TransferLeader(best)
	return c.collectOutput(), true
}

// Forget takes a member out that is gone for good, without another in its place.
func (c *Core) RemoveMember(name string) (Output, error) {
	if !c.isLeader() {
		return Output{}, errors.New("another owns")
	}
	cc := &raftpb.ConfChangeV2{}
	for _, id := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if c.state.Members[id] != name {
			continue
		}
		if id == c.id {
			return Output{}, fmt.Errorf("%s owns: have it step down first", name)
		}
		remove := raftpb.ConfChangeRemoveNode
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: &remove, NodeId: &id})
	}
	if len(cc.Changes) == 0 {
		return Output{}, fmt.Errorf("%s is no member", name)
	}
	err := c.rawNode.ProposeConfChange(cc)
	return c.collectOutput(), err
}

// Join takes a member in under a new number, in the place of one of the same name that lost its memory.
func (c *Core) AddMember(id uint64, name string) (Output, error) {
	if !c.isLeader() {
		return Output{}, errors.New("another owns")
	}
	context, err := json.Marshal(map[uint64]string{id: name})
	if err != nil {
		return Output{}, err
	}
	cc := &raftpb.ConfChangeV2{Context: context}
	add := func(t raftpb.ConfChangeType, n uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &n})
	}
	caught := false
	c.rawNode.WithProgress(func(n uint64, _ raft.ProgressType, pr tracker.Progress) {
		caught = caught || n == id && pr.IsLearner && pr.Match+8 >= c.appliedIndex
	})
	switch {
	case slices.Contains(c.membership.Voters, id):
		return Output{}, nil
	case !caught: // it hears until it has caught up, and then votes
		add(raftpb.ConfChangeAddLearnerNode, id)
	default:
		add(raftpb.ConfChangeAddNode, id)
		for n, was := range c.state.Members {
			if was == name && n != id && slices.Contains(c.membership.Voters, n) {
				add(raftpb.ConfChangeRemoveNode, n)
			}
		}
	}
	err = c.rawNode.ProposeConfChange(cc)
	return c.collectOutput(), err
}

// Agreed is what is agreed as far as this member knows.
func (c *Core) State() State { return c.state }

// Voters are the numbers of those that vote.
func (c *Core) Voters() []uint64 { return c.membership.GetVoters() }

// Leader is the number of who leads, as far as this member knows, and the term.
func (c *Core) RaftLeader() (id, term uint64) {
	s := c.rawNode.BasicStatus()
	return s.Lead, s.GetTerm()
}

// take gathers what is to be done. Storage in memory follows at once; the disk has it before any message goes out.
func (c *Core) collectOutput() (out Output) {
	for c.rawNode.HasReady() {
		rd := c.rawNode.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			c.storage.ApplySnapshot(rd.Snapshot)
			c.restore(rd.Snapshot)
			out.Snapshot, out.Entries, out.ReplaceLog = rd.Snapshot, nil, true
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.storage.SetHardState(rd.HardState)
			out.HardState = rd.HardState
		}
		c.storage.Append(rd.Entries)
		for _, e := range rd.Entries {
			for len(out.Entries) > 0 && out.Entries[len(out.Entries)-1].GetIndex() >= e.GetIndex() {
				out.Entries = out.Entries[:len(out.Entries)-1]
			}
			out.Entries = append(out.Entries, e)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 {
				c.quorumAt = max(c.quorumAt, int64(binary.BigEndian.Uint64(r.RequestCtx)))
			}
		}
		for _, e := range rd.CommittedEntries {
			c.commit(e, &out)
		}
		out.Messages = append(out.Messages, rd.Messages...)
		c.rawNode.Advance(rd)
	}
	if !c.isLeader() {
		c.transferring = false
	}
	if s, ok := c.compact(); ok {
		out.Snapshot = s
	}
	return out
}

func (c *Core) commit(e *raftpb.Entry, out *Output) {
	c.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		var cmd Command
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &cmd) != nil {
			return
		}
		if err := c.state.apply(cmd); cmd.Proposer == c.id && cmd.ID != 0 {
			out.Results = append(out.Results, Result{cmd.ID, err})
		}
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if e.GetType() == raftpb.EntryConfChange {
			var one raftpb.ConfChange
			if proto.Unmarshal(e.GetData(), &one) != nil {
				return
			}
			cc = raftpb.ConfChangeV2{Changes: one.AsV2().Changes, Context: one.Context}
		} else if proto.Unmarshal(e.GetData(), &cc) != nil {
			return
		}
		var names map[uint64]string
		json.Unmarshal(cc.Context, &names)
		for n, name := range names {
			c.state.Members[n] = name
		}
		c.membership, c.membersChanged = c.rawNode.ApplyConfChange(&cc), true
		for n := range c.state.Members { // those that are gone are forgotten
			if !slices.Contains(slices.Concat(c.membership.Voters, c.membership.VotersOutgoing, c.membership.Learners, c.membership.LearnersNext), n) {
				delete(c.state.Members, n)
			}
		}
	}
}

// compact takes a snapshot once the log is long, or members changed; then what is behind it goes.
func (c *Core) compact() (*raftpb.Snapshot, bool) {
	first, _ := c.storage.FirstIndex()
	if !c.membersChanged && (c.appliedIndex < first || c.appliedIndex-first < uint64(2*c.timing.RetainedEntries)) {
		return nil, false
	}
	c.membersChanged = false
	s, err := c.storage.CreateSnapshot(c.appliedIndex, c.membership, c.state.encode())
	if err != nil {
		return nil, false
	}
	if keep := uint64(c.timing.RetainedEntries) / 4; c.appliedIndex > first+keep {
		c.storage.Compact(c.appliedIndex - keep)
	}
	return s, true
}
