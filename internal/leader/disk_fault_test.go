package leader

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// failingDisk fails all writes while it is full.
type failingDisk struct {
	isFull atomic.Bool
	fault  syscall.Errno
}

func (d *failingDisk) beforeWrite() error {
	if d.isFull.Load() {
		return &os.PathError{Op: "write", Path: "member.db", Err: d.fault}
	}
	return nil
}

// failDisks has the disks of all members fail, as where a log has filled them, until the returned disk has room.
func (f *testFleet) failDisks(fault syscall.Errno) *failingDisk {
	disk := &failingDisk{fault: fault}
	disk.isFull.Store(true)
	for _, node := range f.nodes {
		node.mu.Lock()
		node.store.beforeWrite = disk.beforeWrite
		node.mu.Unlock()
	}
	return disk
}

// found makes all processes members of one fleet.
func (f *testFleet) found() {
	f.t.Helper()
	names := map[uint64]string{}
	for i, name := range fixtureNames {
		names[uint64(i+1)] = name
	}
	for id, name := range names {
		if err := f.bootstrap(name, bootstrapRequest{ID: id, Members: names}); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (n *Node) isHalted() bool { return n.Status().Halted != "" }

// writeAgain has a member store what it has promised once more, whether or not it has something new to store.
func (n *Node) writeAgain() {
	n.update(func(c *Core) Output {
		return Output{HardState: c.rawNode.BasicStatus().HardState}
	})
}

// The disks of all voters fail for a moment: the fleet has a leader again once they work, without a restart, and what
// was agreed before is still there. Each member is made to write: once two are halted the third may stay a candidate
// that asks in vain for votes ahead of its election (raft's PreCandidate), which promises nothing and writes nothing,
// so that it would never notice. A trace showed just that in each run that waited for it in vain.
func TestAFleetGoesOnAfterItsDisksFailedForAMoment(t *testing.T) {
	for name, fault := range map[string]syscall.Errno{"full": syscall.ENOSPC, "error": syscall.EIO} {
		t.Run(name, func(t *testing.T) {
			f := openFleet(t, t.TempDir(), nil)
			f.found()
			f.propose("kept", []byte("before"))
			disk := f.failDisks(fault)
			leader := f.awaitLeader()
			_ = leader.Propose(leader.ActiveTerm(), "lost", []byte("amid")) // its outcome is not known
			await(t, "all members notice", func() bool {
				for _, node := range f.nodes {
					node.writeAgain()
					if !node.isHalted() {
						return false
					}
				}
				return true
			})
			disk.isFull.Store(false)
			f.propose("added", []byte("after"))
			state := f.awaitEqualStates()
			if string(state.Items["kept"]) != "before" || string(state.Items["added"]) != "after" {
				t.Errorf("the state is %+v", state.Items)
			}
		})
	}
}
