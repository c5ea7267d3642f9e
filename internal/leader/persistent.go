package leader

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is everything of a member that outlives its process.
type PersistentState struct {
	MemberID  uint64 // a member that has lost its store returns under another ID
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// bootstrapRequest makes a process a member: of a new fleet, of one that will add it (no Members), or of one that is
// recovered after a majority has lost its stores (Recover).
type bootstrapRequest struct {
	ID       uint64            `json:"id"`
	Members  map[uint64]string `json:"names"`
	Recover  bool              `json:"again"` // replace the fleet of which the process is a member
	State    State             `json:"kept"`  // Recover: the surviving replicated state
	RaftTerm uint64            `json:"term"`  // Recover: above every term that any member has seen
}

// initialState returns the persistent state with which the member starts.
func (r bootstrapRequest) initialState() PersistentState {
	switch {
	case r.Recover:
		return RecoveryState(r.ID, r.Members, r.State, r.RaftTerm)
	case len(r.Members) > 0:
		return BootstrapState(r.ID, r.Members)
	}
	return PersistentState{MemberID: r.ID, HardState: &raftpb.HardState{}, Snapshot: &raftpb.Snapshot{}}
}

// BootstrapState returns the persistent state of a member of a new fleet; names are given by member ID. All members
// must start with the same names.
func BootstrapState(id uint64, names map[uint64]string) PersistentState {
	return RecoveryState(id, names, State{}, 1)
}

// RecoveryState returns the persistent state of a member of a fleet that starts over with a surviving state. raftTerm
// must be above every term that any member of the earlier fleet has seen, so that terms keep rising.
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
