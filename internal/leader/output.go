package leader

import (
	"encoding/binary"
	"encoding/json"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Output is what the caller must do after a call of Core, in this order: persist HardState, Snapshot and Entries, and
// only then send Messages and deliver Results.
type Output struct {
	HardState  *raftpb.HardState
	Entries    []*raftpb.Entry // replace all stored entries from the first one's index on
	Snapshot   *raftpb.Snapshot
	ReplaceLog bool // the snapshot came from another member: all entries stored before are void
	Messages   []*raftpb.Message
	Results    []Result
}

// Result is the outcome of a command that this process proposed.
type Result struct {
	CommandID uint64
	Err       error
}

// collectOutput drains raft. The storage in memory is updated at once; the caller persists the same before it sends
// any message.
func (c *Core) collectOutput() Output {
	var out Output
	for c.rawNode.HasReady() {
		ready := c.rawNode.Ready()
		c.storeReady(&ready, &out)
		c.confirmQuorum(ready.ReadStates)
		for _, entry := range ready.CommittedEntries {
			c.applyEntry(entry, &out)
		}
		out.Messages = append(out.Messages, ready.Messages...)
		c.rawNode.Advance(ready)
	}
	if !c.isLeader() {
		c.transferring = false
	}
	if snapshot := c.compact(); snapshot != nil {
		out.Snapshot = snapshot
	}
	return out
}

// storeReady stores what raft wants stored, in memory and in the output. Raft never hands out a snapshot or entries
// that its own storage refuses, so those errors are ignored.
func (c *Core) storeReady(ready *raft.Ready, out *Output) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		_ = c.storage.ApplySnapshot(ready.Snapshot)
		_ = c.restore(ready.Snapshot)
		out.Snapshot = ready.Snapshot
		out.Entries = nil
		out.ReplaceLog = true
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		_ = c.storage.SetHardState(ready.HardState)
		out.HardState = ready.HardState
	}
	_ = c.storage.Append(ready.Entries)
	for _, entry := range ready.Entries {
		out.appendEntry(entry)
	}
}

// appendEntry appends an entry in place of those that it supersedes.
func (o *Output) appendEntry(entry *raftpb.Entry) {
	for len(o.Entries) > 0 && o.Entries[len(o.Entries)-1].GetIndex() >= entry.GetIndex() {
		o.Entries = o.Entries[:len(o.Entries)-1]
	}
	o.Entries = append(o.Entries, entry)
}

// confirmQuorum takes in answers to requestQuorum.
func (c *Core) confirmQuorum(states []raft.ReadState) {
	for _, state := range states {
		if len(state.RequestCtx) == readRequestBytes {
			c.quorumAt = max(c.quorumAt, int64(binary.BigEndian.Uint64(state.RequestCtx)))
		}
	}
}

// applyEntry applies a committed entry. One that cannot be decoded has no effect, on any member.
func (c *Core) applyEntry(entry *raftpb.Entry, out *Output) {
	c.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryNormal:
		c.applyCommand(entry.GetData(), out)
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		c.applyMembershipChange(entry)
	}
}

func (c *Core) applyCommand(text []byte, out *Output) {
	if len(text) == 0 { // raft's own entry at the beginning of a term
		return
	}
	var command Command
	if json.Unmarshal(text, &command) != nil {
		return
	}
	err := c.state.apply(command)
	if command.Proposer == c.id && command.ID != 0 {
		out.Results = append(out.Results, Result{CommandID: command.ID, Err: err})
	}
}
