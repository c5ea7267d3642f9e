package leader

import (
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is the maximum number of entries by which a learner may lag when it is promoted to a voter.
const maxLearnerLag = 8

// TransferLeadership stops this member from acting as leader at once and starts the transfer of the leadership to the
// voter with the given name or, if the name is empty, to the voter with the most complete log. It returns false if this
// member does not lead or there is no such voter.
func (c *Core) TransferLeadership(name string) (Output, bool) {
	if !c.isLeader() {
		return Output{}, false
	}
	successor := c.successor(name)
	if successor == 0 {
		return Output{}, false
	}
	c.transferring = true
	c.transferStartedAt = c.now
	c.rawNode.TransferLeader(successor)
	return c.collectOutput(), true
}

// successor returns the ID of the active voter with the most complete log, or 0 if there is none. If name is not empty,
// only voters with that name are considered.
func (c *Core) successor(name string) uint64 {
	var best, bestMatch uint64
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if id == c.id || progress.IsLearner || !progress.RecentActive {
			return
		}
		if name != "" && c.state.Members[id] != name {
			return
		}
		if progress.Match >= bestMatch {
			best = id
			bestMatch = progress.Match
		}
	})
	return best
}

// RemoveMember permanently removes a member without replacing it.
func (c *Core) RemoveMember(name string) (Output, error) {
	if !c.isLeader() {
		return Output{}, ErrNotLeader
	}
	change := &raftpb.ConfChangeV2{}
	for _, id := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if c.state.Members[id] != name {
			continue
		}
		if id == c.id {
			return Output{}, fmt.Errorf("%s is the leader: transfer the leadership first", name)
		}
		addChange(change, raftpb.ConfChangeRemoveNode, id)
	}
	if len(change.Changes) == 0 {
		return Output{}, fmt.Errorf("%s: %w", name, ErrUnknownMember)
	}
	err := c.rawNode.ProposeConfChange(change)
	return c.collectOutput(), err
}

// AddMember adds a member under a new ID. It replaces a member of the same name that has lost its store. The member is
// first added as a learner, and a later call promotes it once its log has caught up, so AddMember must be called until
// the new member is a voter.
func (c *Core) AddMember(id uint64, name string) (Output, error) {
	if !c.isLeader() {
		return Output{}, ErrNotLeader
	}
	if slices.Contains(c.membership.Voters, id) {
		return Output{}, nil
	}
	context, err := json.Marshal(map[uint64]string{id: name})
	if err != nil {
		return Output{}, err
	}
	change := &raftpb.ConfChangeV2{Context: context}
	if c.hasCaughtUp(id) {
		c.promote(change, id, name)
	} else {
		addChange(change, raftpb.ConfChangeAddLearnerNode, id)
	}
	err = c.rawNode.ProposeConfChange(change)
	return c.collectOutput(), err
}

// promote adds the changes that make a learner a voter and remove earlier voters of the same name.
func (c *Core) promote(change *raftpb.ConfChangeV2, id uint64, name string) {
	addChange(change, raftpb.ConfChangeAddNode, id)
	for other, otherName := range c.state.Members {
		if otherName == name && other != id && slices.Contains(c.membership.Voters, other) {
			addChange(change, raftpb.ConfChangeRemoveNode, other)
		}
	}
}

// hasCaughtUp reports whether a member is a learner that lags by at most maxLearnerLag entries.
func (c *Core) hasCaughtUp(id uint64) bool {
	isCaughtUp := false
	c.rawNode.WithProgress(func(member uint64, _ raft.ProgressType, progress tracker.Progress) {
		if member == id && progress.IsLearner && progress.Match+maxLearnerLag >= c.appliedIndex {
			isCaughtUp = true
		}
	})
	return isCaughtUp
}

func addChange(change *raftpb.ConfChangeV2, kind raftpb.ConfChangeType, id uint64) {
	change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id})
}

// applyMembershipChange applies a committed membership change and deletes the names of removed members.
func (c *Core) applyMembershipChange(entry *raftpb.Entry) {
	change, err := decodeMembershipChange(entry)
	if err != nil {
		return
	}
	var names map[uint64]string
	_ = json.Unmarshal(change.Context, &names) // a removal has no names
	for id, name := range names {
		c.state.Members[id] = name
	}
	c.membership = c.rawNode.ApplyConfChange(change)
	c.membersChanged = true
	voters := slices.Concat(c.membership.Voters, c.membership.VotersOutgoing)
	learners := slices.Concat(c.membership.Learners, c.membership.LearnersNext)
	for id := range c.state.Members {
		if !slices.Contains(voters, id) && !slices.Contains(learners, id) {
			delete(c.state.Members, id)
		}
	}
}

func decodeMembershipChange(entry *raftpb.Entry) (*raftpb.ConfChangeV2, error) {
	if entry.GetType() == raftpb.EntryConfChangeV2 {
		change := &raftpb.ConfChangeV2{}
		return change, proto.Unmarshal(entry.GetData(), change)
	}
	single := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), single); err != nil {
		return nil, err
	}
	return &raftpb.ConfChangeV2{Changes: single.AsV2().Changes, Context: single.Context}, nil
}
