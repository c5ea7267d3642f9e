package choice

import "testing"

// newStalledProcess returns one process that was stalled, long enough for several jobs of a key to lie unread.
func newStalledProcess(t *testing.T) (*twoProcesses, *handoverProcess) {
	t.Helper()
	p := newTwoProcesses(t)
	p.now += 2 * second
	return p, p.processes[predecessorIndex]
}

// Guards against jobs of a key that run in the order in which connections are read after a stall, not in that in which
// they were received.
func TestJobsThatLayUnreadRunInOrderOfReceipt(t *testing.T) {
	p, process := newStalledProcess(t)
	later := p.admitReceived(process, 1, 500*ms, 480*ms)
	p.now += 5 * ms
	earlier := p.admitReceived(process, 1, 800*ms, 780*ms)
	require(t, len(p.runs) == 0, "job %d is dispatched while earlier ones may be unread", later)
	p.advance(lateReadWait)
	require(t, p.runs[1] == earlier, "job %d does not run first", earlier)
	p.end(process, Done)
	p.advance(20 * ms)
	require(t, p.runs[1] == later, "the later job does not run")
}

// Guards against jobs of one read that are taken for jobs of unknown order.
func TestJobsOfOneReadRunInItsOrder(t *testing.T) {
	p, process := newStalledProcess(t)
	var ids []JobID
	for range 3 {
		ids = append(ids, p.admitReceived(process, 1, 800*ms, 500*ms))
	}
	ids = append(ids, p.admitReceived(process, 1, 500*ms, 480*ms))
	for _, id := range ids {
		p.advance(lateReadWait)
		require(t, p.runs[1] == id, "job %d does not run", id)
		p.end(process, Done)
	}
}

// Guards against a job that is dispatched after one that was received later, and against one that is dispatched though
// nobody knows which came first.
func TestAJobIsThrottledIfALaterOneMayHaveStarted(t *testing.T) {
	for name, bounds := range map[string][2]Nanos{
		"received earlier": {800 * ms, 780 * ms},
		"order unknown":    {800 * ms, 100 * ms},
	} {
		for _, hasEnded := range []bool{false, true} {
			p, process := newStalledProcess(t)
			later := p.admitReceived(process, 1, 500*ms, 480*ms)
			p.advance(lateReadWait)
			require(t, p.runs[1] == later, "the job does not run")
			if hasEnded {
				p.end(process, Done)
				p.advance(100 * ms)
			}
			throttled := p.admitReceived(process, 1, bounds[0]+150*ms, bounds[1]+150*ms)
			require(t, process.controller.jobs[throttled] == nil, "%s: a job is kept", name)
			last := p.admit(process, 1)
			if !hasEnded {
				p.end(process, Done)
			}
			p.advance(lateReadWait)
			require(t, p.runs[1] == last, "%s: a job that is read in time does not run", name)
		}
	}
}

// Guards against a busy machine that reads a job of a key so long after a stall that a later one has run and its key is
// forgotten.
func TestAJobReadLongAfterAStallDoesNotFollowALaterOne(t *testing.T) {
	p, process := newStalledProcess(t)
	p.decide(process, Event{Kind: TimerFired, TimerID: process.controller.timerID}) // shows the stall
	p.advance(lateReadWait + 10*ms)
	later := p.admit(process, 1)
	require(t, p.runs[1] == later, "the job that was read in time does not run")
	p.end(process, Done)
	for range 5 {
		p.advance(20 * ms) // the key is idle
	}
	earlier := p.admitReceived(process, 1, 500*ms, 480*ms)
	p.advance(lateReadWait)
	require(t, len(p.runs) == 0 && process.controller.jobs[earlier] == nil, "a job that came first runs last")
}

// Guards against a stall that holds up jobs of a key which were read in time.
func TestJobsThatAreReadInTimeDoNotWait(t *testing.T) {
	p := newTwoProcesses(t)
	p.advance(20 * ms)
	first := p.admit(p.processes[predecessorIndex], 1)
	require(t, p.runs[1] == first, "the job waits")
}

// Guards against a stopped predecessor that dispatches a job of a key after the successor has run a later one.
func TestAPredecessorsJobIsThrottledIfTheSuccessorRanALaterOne(t *testing.T) {
	p := newTwoProcesses(t)
	p.startSuccessor()
	p.now += 2 * second
	predecessor, successor := p.processes[predecessorIndex], p.processes[successorIndex]
	p.decide(successor, Event{Kind: TimerFired, TimerID: successor.controller.timerID})
	p.advance(lateReadWait)
	later := p.admit(successor, 1)
	require(t, p.runs[1] == later, "the successor's job waits")
	p.end(successor, Done)
	p.advance(100 * ms)
	earlier := p.admitReceived(predecessor, 1, 500*ms, 480*ms)
	p.deliverAll()
	p.advance(lateReadWait)
	p.deliverAll()
	require(t, len(p.runs) == 0 && predecessor.controller.jobs[earlier] == nil, "a job that came first runs last")
	last := p.admit(predecessor, 1)
	p.advance(lateReadWait)
	p.deliverAll()
	require(t, p.runs[1] == last, "the key does not go on")
}

// Guards against a successor that was stopped and grants a job before it has read earlier ones of the key.
func TestASuccessorThatWasStoppedReadsBeforeItGrants(t *testing.T) {
	p := newTwoProcesses(t)
	p.startSuccessor()
	p.now += 2 * second
	predecessor, successor := p.processes[predecessorIndex], p.processes[successorIndex]
	p.decide(predecessor, Event{Kind: TimerFired, TimerID: predecessor.controller.timerID})
	later := p.admit(predecessor, 1)
	p.deliver(successor)
	require(t, len(predecessor.inbox) == 0, "a lock is granted at once after a stall")
	earlier := p.admitReceived(successor, 1, 500*ms, 480*ms)
	p.advance(lateReadWait)
	require(t, p.runs[1] == earlier, "the job received first does not run first: %v", p.runs)
	p.end(successor, Done)
	p.deliverAll()
	p.advance(lateReadWait)
	p.deliverAll()
	require(t, p.runs[1] == later, "the later job does not run: %v", p.runs)
}
