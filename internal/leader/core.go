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
type Pace struct {
	Tick      int64 // from one tick to the next
	Lease     int64 // a voter that has heard of an owner gives no other its vote for so long
	PerMille  int64 // of the lease that the owner uses: the rest is for clocks that run unlike
	KeepsLast int   // entries of the log beyond which it is compacted
}

// Usual is the pace where none is told: clocks may run a tenth unlike, and it leaves as much again.
func Usual() Pace { return Pace{Tick: 50e6, Lease: 1e9, PerMille: 800, KeepsLast: 256} }

// Disk is all of a member that outlives its process.
type Disk struct {
	ID       uint64 // a member that lost its disk comes back under another
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Out is what is to be done after a call, in this order: what is to be saved is saved before a message goes out.
type Out struct {
	Hard     *raftpb.HardState
	Entries  []*raftpb.Entry // to be written from the first one's index on, what stood behind it is void
	Snapshot *raftpb.Snapshot
	Anew     bool // the snapshot came from another: entries saved before are void
	Messages []*raftpb.Message
	Done     []Done // of our own commands
}

// Done is what became of a command of this process.
type Done struct {
	ID  uint64
	Err error
}

// Core is a member of the log, free of I/O, clock and chance: times are told.
type Core struct {
	name    string
	id      uint64
	pace    Pace
	rn      *raft.RawNode
	mem     *raft.MemoryStorage
	agreed  Agreed
	conf    *raftpb.ConfState
	applied uint64
	began   int64 // this process
	now     int64
	term    uint64 // since when we lead, if we do
	heldAt  int64  // a majority followed us at that time
	claimed uint64 // term for which a reign was claimed
	changed bool   // members did: who joins needs a snapshot that knows it
	steps   bool   // stepping down: nothing is done any more
	stepsAt int64
	noLease bool // the broken variant of tests

	snapAt map[uint64]int64 // members that a snapshot is under way to, since when; a member leaves it when it is not
}

// NewCore starts a member from what its disk holds.
func NewCore(name string, d Disk, p Pace, now int64) (*Core, error) {
	c := &Core{name: name, id: d.ID, pace: p, mem: raft.NewMemoryStorage(), began: now, now: now, heldAt: now - p.Lease - 1, conf: &raftpb.ConfState{}}
	if !raft.IsEmptySnap(d.Snapshot) {
		if err := c.mem.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		if err := c.restore(d.Snapshot); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(d.Hard) {
		c.mem.SetHardState(d.Hard)
	}
	if err := c.mem.Append(d.Entries); err != nil {
		return nil, err
	}
	return c, c.begin()
}

// begin has the library begin with what is saved, as a follower.
func (c *Core) begin() (err error) {
	election := max(3, int(c.pace.Lease/c.pace.Tick))
	c.rn, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: election, HeartbeatTick: max(1, election/10), Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 64 << 20, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true,
		StepDownOnRemoval: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return err
}

// Found is the disk of a member of a new fleet: all of them begin with the same.
func Found(id uint64, names map[uint64]string) Disk { return Refound(id, names, Agreed{}, 1) }

// Refound is that of a fleet that begins anew with what one has kept of an earlier one, at a term over all that anyone has
// seen of that: reigns go on rising.
func Refound(id uint64, names map[uint64]string, a Agreed, term uint64) Disk {
	var voters []uint64
	for n := range names {
		voters = append(voters, n)
	}
	slices.Sort(voters)
	a.Names = names
	one := uint64(1)
	return Disk{ID: id, Hard: &raftpb.HardState{Term: &term, Commit: &one},
		Snapshot: raftpb.EnsureSnapshot(&raftpb.Snapshot{Data: a.text(), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &term, ConfState: &raftpb.ConfState{Voters: voters}}})}
}

func (c *Core) restore(s *raftpb.Snapshot) error {
	var a Agreed
	if err := json.Unmarshal(s.GetData(), &a); err != nil {
		return err
	}
	c.agreed, c.applied, c.conf = a, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// Tick is to come every Pace.Tick.
func (c *Core) Tick(now int64) Out {
	c.now = max(c.now, now)
	if c.steps && c.now-c.stepsAt > c.pace.Lease { // nobody took over, and word to do so may be on its way: it acts no more
		c.steps = false
		c.begin()
	}
	c.rn.Tick()
	if c.leads() {
		c.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, uint64(c.now))) // who answers followed us at this time, and after
		if s := c.rn.BasicStatus(); s.GetTerm() != c.claimed && !c.steps {
			c.claimed = s.GetTerm()
			c.propose(Command{From: c.id, Reign: Reign(s.GetTerm()), Claim: c.name})
		}
		c.snapshots()
	}
	return c.take()
}

// snapTime is for how many leases word of a snapshot's arrival is waited for: one of mostMessage passes a slow link in it.
const snapTime = 3

// snapshots has those sent again that have not been heard of. The library waits for ever: links here tell nothing of what they
// have lost, and one that has come but was overtaken by the log's compaction counts as lost.
func (c *Core) snapshots() {
	was := c.snapAt
	c.snapAt = nil
	c.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if pr.State == tracker.StateSnapshot {
			if c.snapAt == nil {
				c.snapAt = map[uint64]int64{}
			}
			c.snapAt[id] = c.now
			if at, is := was[id]; is {
				c.snapAt[id] = at
			}
		}
	})
	for id, at := range c.snapAt {
		if c.now-at >= snapTime*c.pace.Lease {
			delete(c.snapAt, id)
			c.rn.ReportSnapshot(id, raft.SnapshotFailure) // it is probed, and sent what it lacks
		}
	}
}

// Step takes a message. A vote is not given within a lease of this process's start: it cannot know whom it had promised.
func (c *Core) Step(now int64, m *raftpb.Message) Out {
	c.now = max(c.now, now)
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if c.now-c.began < c.pace.Lease && !c.noLease {
			return c.take()
		}
	case raftpb.MsgProp, raftpb.MsgReadIndex, raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgTransferLeader:
		return c.take() // nobody else may ask for these
	}
	c.rn.Step(m) // an error says that it was of no use
	return c.take()
}

func (c *Core) leads() bool { return c.rn.BasicStatus().RaftState == raft.StateLeader }

// May tells under which reign this member may act now: it was agreed, and a majority followed within the lease. 0: none.
// It is to be asked before each act; what cannot be fenced where it arrives must not rest on it, as time passes after it.
func (c *Core) May(now int64) Reign {
	c.now = max(c.now, now)
	s := c.rn.BasicStatus()
	if s.RaftState != raft.StateLeader || c.steps || c.agreed.Owner != c.name || c.agreed.Reign != Reign(s.GetTerm()) {
		return 0
	}
	if c.now-c.heldAt >= c.pace.Lease*c.pace.PerMille/1000 && !c.noLease {
		return 0
	}
	return c.agreed.Reign
}

// Propose asks for an item of what is agreed to be written under a reign. What becomes of it comes as Done, or never, where
// this member leads no more.
func (c *Core) Propose(id uint64, r Reign, name string, value []byte) (Out, error) {
	if !c.leads() || c.steps {
		return Out{}, errors.New("another owns")
	}
	err := c.propose(Command{ID: id, From: c.id, Reign: r, Name: name, Value: value})
	return c.take(), err
}

func (c *Core) propose(cmd Command) error {
	text, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	return c.rn.Propose(text)
}

// StepDown ends this member's acts at once, and then hands over: to the voter of that name, or, where none is named, to that
// which has come furthest.
func (c *Core) StepDown(to string) (Out, bool) {
	if !c.leads() {
		return Out{}, false
	}
	var best, match uint64
	c.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != c.id && !pr.IsLearner && pr.RecentActive && pr.Match >= match && (to == "" || c.agreed.Names[id] == to) {
			best, match = id, pr.Match
		}
	})
	if best == 0 {
		return Out{}, false
	}
	c.steps, c.stepsAt = true, c.now
	c.rn.TransferLeader(best)
	return c.take(), true
}

// Forget takes a member out that is gone for good, without another in its place.
func (c *Core) Forget(name string) (Out, error) {
	if !c.leads() {
		return Out{}, errors.New("another owns")
	}
	cc := &raftpb.ConfChangeV2{}
	for _, id := range slices.Concat(c.conf.Voters, c.conf.Learners) {
		if c.agreed.Names[id] != name {
			continue
		}
		if id == c.id {
			return Out{}, fmt.Errorf("%s owns: have it step down first", name)
		}
		remove := raftpb.ConfChangeRemoveNode
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: &remove, NodeId: &id})
	}
	if len(cc.Changes) == 0 {
		return Out{}, fmt.Errorf("%s is no member", name)
	}
	err := c.rn.ProposeConfChange(cc)
	return c.take(), err
}

// Join takes a member in under a new number, in the place of one of the same name that lost its memory.
func (c *Core) Join(id uint64, name string) (Out, error) {
	if !c.leads() {
		return Out{}, errors.New("another owns")
	}
	context, err := json.Marshal(map[uint64]string{id: name})
	if err != nil {
		return Out{}, err
	}
	cc := &raftpb.ConfChangeV2{Context: context}
	add := func(t raftpb.ConfChangeType, n uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &n})
	}
	caught := false
	c.rn.WithProgress(func(n uint64, _ raft.ProgressType, pr tracker.Progress) {
		caught = caught || n == id && pr.IsLearner && pr.Match+8 >= c.applied
	})
	switch {
	case slices.Contains(c.conf.Voters, id):
		return Out{}, nil
	case !caught: // it hears until it has caught up, and then votes
		add(raftpb.ConfChangeAddLearnerNode, id)
	default:
		add(raftpb.ConfChangeAddNode, id)
		for n, was := range c.agreed.Names {
			if was == name && n != id && slices.Contains(c.conf.Voters, n) {
				add(raftpb.ConfChangeRemoveNode, n)
			}
		}
	}
	err = c.rn.ProposeConfChange(cc)
	return c.take(), err
}

// Agreed is what is agreed as far as this member knows.
func (c *Core) Agreed() Agreed { return c.agreed }

// Voters are the numbers of those that vote.
func (c *Core) Voters() []uint64 { return c.conf.GetVoters() }

// Leader is the number of who leads, as far as this member knows, and the term.
func (c *Core) Leader() (id, term uint64) {
	s := c.rn.BasicStatus()
	return s.Lead, s.GetTerm()
}

// take gathers what is to be done. Storage in memory follows at once; the disk has it before any message goes out.
func (c *Core) take() (out Out) {
	for c.rn.HasReady() {
		rd := c.rn.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			c.mem.ApplySnapshot(rd.Snapshot)
			c.restore(rd.Snapshot)
			out.Snapshot, out.Entries, out.Anew = rd.Snapshot, nil, true
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.mem.SetHardState(rd.HardState)
			out.Hard = rd.HardState
		}
		c.mem.Append(rd.Entries)
		for _, e := range rd.Entries {
			for len(out.Entries) > 0 && out.Entries[len(out.Entries)-1].GetIndex() >= e.GetIndex() {
				out.Entries = out.Entries[:len(out.Entries)-1]
			}
			out.Entries = append(out.Entries, e)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 {
				c.heldAt = max(c.heldAt, int64(binary.BigEndian.Uint64(r.RequestCtx)))
			}
		}
		for _, e := range rd.CommittedEntries {
			c.commit(e, &out)
		}
		out.Messages = append(out.Messages, rd.Messages...)
		c.rn.Advance(rd)
	}
	if !c.leads() {
		c.steps = false
	}
	if s, ok := c.compact(); ok {
		out.Snapshot = s
	}
	return out
}

func (c *Core) commit(e *raftpb.Entry, out *Out) {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		var cmd Command
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &cmd) != nil {
			return
		}
		if err := c.agreed.apply(cmd); cmd.From == c.id && cmd.ID != 0 {
			out.Done = append(out.Done, Done{cmd.ID, err})
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
			c.agreed.Names[n] = name
		}
		c.conf, c.changed = c.rn.ApplyConfChange(&cc), true
		for n := range c.agreed.Names { // those that are gone are forgotten
			if !slices.Contains(slices.Concat(c.conf.Voters, c.conf.VotersOutgoing, c.conf.Learners, c.conf.LearnersNext), n) {
				delete(c.agreed.Names, n)
			}
		}
	}
}

// compact takes a snapshot once the log is long, or members changed; then what is behind it goes.
func (c *Core) compact() (*raftpb.Snapshot, bool) {
	first, _ := c.mem.FirstIndex()
	if !c.changed && (c.applied < first || c.applied-first < uint64(2*c.pace.KeepsLast)) {
		return nil, false
	}
	c.changed = false
	s, err := c.mem.CreateSnapshot(c.applied, c.conf, c.agreed.text())
	if err != nil {
		return nil, false
	}
	if keep := uint64(c.pace.KeepsLast) / 4; c.applied > first+keep {
		c.mem.Compact(c.applied - keep)
	}
	return s, true
}
