package leader

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is the state of a member that survives a restart of its process.
type PersistentState struct {
	MemberID  uint64 // a member that has lost its store rejoins under another ID
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// bootstrapRequest makes a process a member of a new fleet, of an existing fleet that will add it (no Members), or of a
// fleet that is recovered after a majority has lost its stores (Recover).
type bootstrapRequest struct {
	ID       uint64            `json:"id"`
	Members  map[uint64]string `json:"names"`
	Recover  bool              `json:"again"` // replaces the fleet of which the process is a member
	State    State             `json:"kept"`  // with Recover: the surviving replicated state
	RaftTerm uint64            `json:"term"`  // with Recover: above every term that any member has seen
}

// initialState returns the initial persistent state of the member.
func (r bootstrapRequest) initialState() PersistentState {
	switch {
	case r.Recover:
		return RecoveryState(r.ID, r.Members, r.State, r.RaftTerm)
	case len(r.Members) > 0:
		return BootstrapState(r.ID, r.Members)
	}
	return PersistentState{MemberID: r.ID, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
}

// BootstrapState returns the initial persistent state of a member of a new fleet. names maps member IDs to names and
// must be the same for all members.
func BootstrapState(id uint64, names map[uint64]string) PersistentState {
	return RecoveryState(id, names, State{}, 1)
}

// RecoveryState returns the initial persistent state of a member of a fleet that is recovered from a surviving state.
// raftTerm must be above every term that any member of the earlier fleet has seen, so that terms keep increasing.
func RecoveryState(id uint64, names map[uint64]string, state State, raftTerm uint64) PersistentState {
	var voters []uint64
	for member := range names {
		voters = append(voters, member)
	}
	slices.Sort(voters)
	state.Members = names
	firstIndex := uint64(1)
	metadata := &raftpb.SnapshotMetadata{
		Index:     &firstIndex,
		Term:      &raftTerm,
		ConfState: &raftpb.ConfState{Voters: voters},
	}
	return PersistentState{
		MemberID:  id,
		HardState: &raftpb.HardState{Term: &raftTerm, Commit: &firstIndex},
		Snapshot:  raftpb.EnsureSnapshot(&raftpb.Snapshot{Data: state.encode(), Metadata: metadata}),
	}
}
