package leader

import (
	"errors"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func TestAMemberThatLostItsStoreReturnsAsANewOne(t *testing.T) {
	testReplacement(t, newSimulation(t, 2, 3))
}

func TestALostSnapshotIsSentAgain(t *testing.T) {
	for _, kind := range []raftpb.MessageType{raftpb.MsgSnap, raftpb.MsgAppResp} { // the snapshot, or its confirmation
		t.Run(kind.String(), func(t *testing.T) {
			s := newSimulation(t, 2, 3)
			s.lossPercent = 0
			lost := 0
			s.drop = func(message *raftpb.Message) bool {
				concernsNew := message.GetTo() == newMemberID || message.GetFrom() == newMemberID
				if message.GetType() != kind || !concernsNew || lost == 3 {
					return false
				}
				lost++
				return true
			}
			testReplacement(t, s)
			if lost < 3 {
				t.Errorf("only %d messages were lost", lost)
			}
		})
	}
}

const newMemberID = uint64(9)

// testReplacement replaces a follower that has lost its store, and waits until the new member is a voter in its place.
func testReplacement(t *testing.T, s *simulation) {
	t.Helper()
	s.start()
	former := uint64(1)
	if s.awaitLeader(10e9).id == former {
		former = 2
	}
	s.replaceMember(former, newMemberID)
	name := nameOf(former)
	added := s.members[newMemberID]
	for end := s.now + 20e9; s.now < end; {
		s.addMemberOccasionally(newMemberID, name)
		s.step()
		leader := s.activeLeader()
		if leader == nil || len(added.core.Voters()) != 3 {
			continue
		}
		members := leader.state.Members
		if members[newMemberID] != name || members[former] != "" {
			continue
		}
		if added.core.state.Term != leader.state.Term {
			t.Error("the new member has not received the state")
		}
		if s.violation != "" {
			t.Error(s.violation)
		}
		return
	}
	t.Fatalf("the new member does not become a voter: %v", added.core.Voters())
}

// addMemberOccasionally asks the leader to add a member, in a small random fraction of its calls, as an operator would
// retry it.
func (s *simulation) addMemberOccasionally(id uint64, name string) {
	leader := s.activeLeader()
	if leader == nil || s.random.IntN(20) != 0 {
		return
	}
	out, err := leader.AddMember(id, name)
	if err == nil {
		s.carryOut(leader.id, out)
	}
}

// One of five members is removed. Then the others lose their stores one by one and rejoin under new IDs.
func TestMembersAreRemovedAndReplacedOneByOne(t *testing.T) {
	s := newSimulation(t, 11, 5)
	s.start()
	removed := uint64(1)
	if leader := s.awaitLeader(60e9); leader.id == removed {
		if _, err := leader.RemoveMember(nameOf(removed)); err == nil {
			t.Error("the leader can remove itself")
		}
		removed = 2
	}
	delete(s.members, removed)
	s.ids = slices.DeleteFunc(s.ids, func(id uint64) bool { return id == removed })
	s.awaitRemoval(removed)
	for i, former := range slices.Clone(s.ids) {
		s.awaitReplacement(former, 100+uint64(i))
	}
	if s.violation != "" {
		t.Error(s.violation)
	}
}

// awaitRemoval asks the leader to remove a member until it is no longer a voter.
func (s *simulation) awaitRemoval(removed uint64) {
	s.t.Helper()
	for end := s.now + 60e9; s.now < end; s.step() {
		leader := s.activeLeader()
		if leader == nil {
			continue
		}
		out, err := leader.RemoveMember(nameOf(removed))
		if err == nil {
			s.carryOut(leader.id, out)
		} else if !errors.Is(err, ErrNotLeader) && !slices.Contains(leader.Voters(), removed) {
			return
		}
	}
	s.t.Fatalf("%s is not removed", nameOf(removed))
}

// awaitReplacement replaces a member, and waits until the new member is a voter in its place.
func (s *simulation) awaitReplacement(former, id uint64) {
	s.t.Helper()
	s.replaceMember(former, id)
	added := s.members[id]
	for end := s.now + 60e9; s.now < end; s.step() {
		s.addMemberOccasionally(id, nameOf(former))
		leader := s.activeLeader()
		if leader == nil {
			continue
		}
		voters := leader.Voters()
		isReplaced := slices.Contains(voters, id) && len(voters) == 4 && leader.state.Members[former] == ""
		if isReplaced && len(added.core.Voters()) == 4 {
			return
		}
	}
	s.t.Fatalf("%s is not replaced", nameOf(former))
}
