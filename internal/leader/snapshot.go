package leader

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotTimeoutLeases is the number of leases for which a snapshot may stay unconfirmed. It is long enough to send a
// message of maxMessageBytes over a slow link.
const snapshotTimeoutLeases = 3

// The log is compacted at compactionFactor times RetainedEntries. RetainedEntries divided by retainedDivisor remain
// before the snapshot, for members that lag slightly.
const (
	compactionFactor = 2
	retainedDivisor  = 4
)

// restore replaces the state with that of a snapshot.
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

// compact creates a snapshot if the log is long or the members have changed, and drops the entries that are no longer
// needed. It returns nil if no snapshot is due.
func (c *Core) compact() *raftpb.Snapshot {
	first, _ := c.storage.FirstIndex() // never fails for an in-memory storage
	limit := uint64(compactionFactor * c.timing.RetainedEntries)
	isLong := c.appliedIndex >= first && c.appliedIndex-first >= limit
	if !c.membersChanged && !isLong {
		return nil
	}
	c.membersChanged = false
	snapshot, err := c.storage.CreateSnapshot(c.appliedIndex, c.membership, c.state.encode())
	if err != nil {
		return nil // a snapshot of this index already exists
	}
	retained := uint64(c.timing.RetainedEntries) / retainedDivisor
	if c.appliedIndex > first+retained {
		_ = c.storage.Compact(c.appliedIndex - retained) // the index lies within the log
	}
	return snapshot
}

// retryLostSnapshots resends snapshots that were not confirmed in time. The transport does not report lost messages, so
// raft itself would wait forever. A snapshot that was delivered but made obsolete by a compaction also counts as lost.
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
			c.rawNode.ReportSnapshot(id, raft.SnapshotFailure) // raft then probes the member and sends the missing data
		}
	}
}
