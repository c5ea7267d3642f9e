package leader

import (
	"encoding/binary"
	"encoding/json"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Output is the work that the caller of a Core method must do, in this order: persist HardState, Snapshot and Entries,
// and only then send Messages and deliver Results.
type Output struct {
	HardState  *raftpb.HardState
	Entries    []*raftpb.Entry // replace all stored entries from the index of the first one on
	Snapshot   *raftpb.Snapshot
	ReplaceLog bool // the snapshot came from another member and replaces all stored entries
	Messages   []*raftpb.Message
	Results    []Result
}

// Result is the outcome of a command proposed by this process.
type Result struct {
	CommandID uint64
	Err       error
}

// collectOutput processes everything that raft has ready. It updates the in-memory storage at once; the caller must
// persist the same data before it sends any message.
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

// storeReady adds the data that raft wants stored to the in-memory storage and to the output. Raft never returns a
// snapshot or entries that its own storage rejects, so those errors are ignored.
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

// appendEntry appends an entry and removes the entries with the same or a higher index, which it supersedes.
func (o *Output) appendEntry(entry *raftpb.Entry) {
	for len(o.Entries) > 0 && o.Entries[len(o.Entries)-1].GetIndex() >= entry.GetIndex() {
		o.Entries = o.Entries[:len(o.Entries)-1]
	}
	o.Entries = append(o.Entries, entry)
}

// confirmQuorum processes the replies to requestQuorum.
func (c *Core) confirmQuorum(states []raft.ReadState) {
	for _, state := range states {
		if len(state.RequestCtx) == readRequestBytes {
			c.quorumAt = max(c.quorumAt, int64(binary.BigEndian.Uint64(state.RequestCtx)))
		}
	}
}

// applyEntry applies a committed entry. An entry that cannot be decoded has no effect, on any member.
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
	if len(text) == 0 { // raft appends an empty entry at the start of a term
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
