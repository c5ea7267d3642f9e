package leader

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotTimeoutLeases is for how many leases a snapshot may stay unconfirmed. A message of maxMessageBytes passes a
// slow link within that time.
const snapshotTimeoutLeases = 3

// Compaction keeps a quarter of RetainedEntries behind the snapshot, for members that lag a little.
const (
	compactAtMultiple   = 2
	retainedBehindShare = 4
)

// restore replaces the state by that of a snapshot.
func (c *Core) restore(snapshot *raftpb.Snapshot) error {
	var state State
	if err := json.Unmarshal(snapshot.GetData(), &state); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	c.state = state
	c.appliedIndex = snapshot.GetMetadata().GetIndex()
	c.membership = snapshot.GetMetadata().GetConfState()
	return nil
}

// compact takes a snapshot once the log is long or the members have changed, and drops the log behind it. It returns
// nil if no snapshot is due.
func (c *Core) compact() *raftpb.Snapshot {
	first, _ := c.storage.FirstIndex() // a storage in memory always has one
	limit := uint64(compactAtMultiple * c.timing.RetainedEntries)
	isLong := c.appliedIndex >= first && c.appliedIndex-first >= limit
	if !c.membersChanged && !isLong {
		return nil
	}
	c.membersChanged = false
	snapshot, err := c.storage.CreateSnapshot(c.appliedIndex, c.membership, c.state.encode())
	if err != nil {
		return nil // there is one of this index already
	}
	retained := uint64(c.timing.RetainedEntries) / retainedBehindShare
	if c.appliedIndex > first+retained {
		_ = c.storage.Compact(c.appliedIndex - retained) // the index lies within the log
	}
	return snapshot
}

// retryLostSnapshots sends snapshots again that were not confirmed in time. Raft itself waits for ever, as the links
// here do not report lost messages. A snapshot that has arrived but was overtaken by a compaction counts as lost.
func (c *Core) retryLostSnapshots() {
	previous := c.snapshotStartedAt
	c.snapshotStartedAt = nil
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if progress.State != tracker.StateSnapshot {
			return
		}
		if c.snapshotStartedAt == nil {
			c.snapshotStartedAt = map[uint64]int64{}
		}
		startedAt, isKnown := previous[id]
		if !isKnown {
			startedAt = c.now
		}
		c.snapshotStartedAt[id] = startedAt
	})
	for id, startedAt := range c.snapshotStartedAt {
		if c.now-startedAt >= snapshotTimeoutLeases*c.timing.Lease {
			delete(c.snapshotStartedAt, id)
			c.rawNode.ReportSnapshot(id, raft.SnapshotFailure) // raft probes the member and sends what it lacks
		}
	}
}
