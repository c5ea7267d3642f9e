package choice

import (
	"fmt"
	"math/rand"
	"testing"
)

// twoProcesses are the predecessor and the successor of one controller, in virtual time. Both dispatch to one engine.
type twoProcesses struct {
	t         *testing.T
	now       Nanos
	processes [2]*handoverProcess
	nextJob   JobID
	admitted  map[JobID]int // order of receipt over both processes
	lastRun   map[Key]int   // latest in that order that was dispatched, by key
	runs      map[Key]JobID // attempt in flight, by key
	pausedTo  map[Key]Nanos // a key pauses until then after an unknown outcome
	keys      map[JobID]Key
	waits     map[JobID]Nanos // when jobs that were not dispatched yet were admitted
}

// handoverProcess is one of the two. peer is nil while it is not linked.
type handoverProcess struct {
	controller *Controller
	inbox      []Event // messages of the peer, in order
	peer       *handoverProcess
	running    []JobID
}

const (
	predecessorIndex = 0
	successorIndex   = 1

	maxJobs = 1000 // of a play
)

func newTwoProcesses(t *testing.T) *twoProcesses {
	t.Helper()
	p := &twoProcesses{t: t, now: successorStart, admitted: map[JobID]int{}, lastRun: map[Key]int{},
		runs: map[Key]JobID{}, pausedTo: map[Key]Nanos{}, keys: map[JobID]Key{}, waits: map[JobID]Nanos{}}
	p.processes[predecessorIndex] = &handoverProcess{controller: newSuccessor(false, 0)}
	return p
}

// startSuccessor starts the successor and links the two.
func (p *twoProcesses) startSuccessor() {
	c := &Controller{}
	c.Decide(p.now, Event{Kind: Started, Seed: 2, Settings: ParseSettings(successorSettings())})
	successor := &handoverProcess{controller: c}
	predecessor := p.processes[predecessorIndex]
	p.processes[successorIndex] = successor
	p.decide(successor, Event{Kind: PredecessorChanged, PredecessorRunning: true})
	p.decide(successor, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: 1, State: Ready}}})
	successor.peer, predecessor.peer = predecessor, successor
	p.decide(successor, Event{Kind: PredecessorLinked})
	p.decide(predecessor, Event{Kind: SuccessorLinked})
	p.deliverAll() // it listens for clients only then
}

// kill ends a process. Its attempts end with an unknown outcome, and the other one sees the end of the link.
func (p *twoProcesses) kill(index int) {
	killed := p.processes[index]
	p.processes[index] = nil
	for _, id := range killed.running {
		delete(p.runs, p.keys[id])
		p.pausedTo[p.keys[id]] = p.now + 1e8
	}
	for id := range p.waits {
		if killed.controller.jobs[id] != nil {
			delete(p.waits, id)
		}
	}
	survivor, unlinked := p.processes[1-index], SuccessorUnlinked
	if index == predecessorIndex {
		unlinked = PredecessorUnlinked
	}
	for len(survivor.inbox) > 0 {
		p.deliver(survivor)
	}
	survivor.peer = nil
	p.decide(survivor, Event{Kind: unlinked})
}

// decide passes an event to a process and carries out its actions.
func (p *twoProcesses) decide(process *handoverProcess, ev Event) {
	for _, a := range append([]Action(nil), process.controller.Decide(p.now, ev)...) {
		switch a.Kind {
		case Dispatch:
			p.dispatch(process, a.Job)
		case RequestKeyLock:
			process.send(Event{Kind: KeyLockRequested, Job: a.Job, Key: a.Key, MayBeRunning: a.Enabled,
				ReceivedAfter: a.ReceivedAfter, ReceivedBefore: a.ReceivedBefore})
		case ReleaseKeyLock:
			process.send(Event{Kind: KeyLockReleased, Job: a.Job, Key: a.Key, Pause: a.Duration})
		case GrantKeyLock:
			process.send(Event{Kind: KeyLockGranted, Job: a.Job})
		case RefuseKeyLock:
			process.send(Event{Kind: KeyLockRefused, Job: a.Job})
		case Throttle, CancelPermanently:
			delete(p.waits, a.Job)
		}
	}
}

func (o *handoverProcess) send(ev Event) {
	if o.peer != nil {
		o.peer.inbox = append(o.peer.inbox, ev)
	}
}

// dispatch checks rule 5 over both processes.
func (p *twoProcesses) dispatch(process *handoverProcess, id JobID) {
	key := p.keys[id]
	delete(p.waits, id)
	if other, busy := p.runs[key]; busy {
		p.t.Errorf("job %d is dispatched while job %d of its key runs", id, other)
	}
	if p.now < p.pausedTo[key] {
		p.t.Errorf("job %d is dispatched %d ms before the pause of its key is over", id, (p.pausedTo[key]-p.now)/1e6)
	}
	if p.admitted[id] < p.lastRun[key] {
		p.t.Errorf("job %d is dispatched after a later one of its key", id)
	}
	p.lastRun[key] = p.admitted[id]
	p.runs[key] = id
	process.running = append(process.running, id)
}

// admit sends a job of a key to a process. Its earlier jobs are known to both, as clients keep their distance.
func (p *twoProcesses) admit(process *handoverProcess, key Key) JobID {
	return p.admitReceived(process, key, 0, 0)
}

// admitReceived does the same for a job that was received a while ago, within bounds; 0 means now.
func (p *twoProcesses) admitReceived(process *handoverProcess, key Key, oldest, latest Nanos) JobID {
	p.deliverAll()
	p.nextJob++
	id := p.nextJob
	p.keys[id], p.waits[id] = key, p.now
	p.admitted[id] = int(p.now-oldest-successorStart)*maxJobs + int(id)
	ev := Event{Kind: JobArrived, Job: id, Type: 1, Key: key, TimeLeft: 60e9, Cost: 1e7, CostKnown: true}
	if oldest > 0 {
		ev.ReceivedAfter, ev.ReceivedBefore = p.now-oldest, p.now-latest
	}
	p.decide(process, ev)
	return id
}

// end ends the earliest attempt of a process.
func (p *twoProcesses) end(process *handoverProcess, result Result) {
	id := process.running[0]
	process.running = process.running[1:]
	delete(p.runs, p.keys[id])
	if result != Done {
		p.pausedTo[p.keys[id]] = p.now + 1e8
	}
	p.decide(process, Event{Kind: AttemptEnded, Job: id, Engine: 1, Result: result, Latency: 1e7,
		IsFinal: result == Done})
}

func (p *twoProcesses) deliver(process *handoverProcess) {
	ev := process.inbox[0]
	process.inbox = process.inbox[1:]
	p.decide(process, ev)
}

func (p *twoProcesses) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, process := range p.processes {
			if process != nil && len(process.inbox) > 0 {
				p.deliver(process)
				busy = true
			}
		}
	}
}

func (p *twoProcesses) advance(duration Nanos) {
	p.now += duration
	for _, process := range p.processes {
		if process != nil {
			p.decide(process, Event{Kind: TimerFired, TimerID: process.controller.timerID})
		}
	}
}

// drain ends all attempts until no job waits, and fails if one waits although nothing of its key runs.
func (p *twoProcesses) drain() {
	for range 1000 {
		p.deliverAll()
		for _, process := range p.processes {
			for process != nil && len(process.running) > 0 {
				p.end(process, Done)
			}
		}
		if p.advance(20 * ms); len(p.waits) == 0 {
			return
		}
	}
	p.t.Errorf("%d jobs still wait", len(p.waits))
}

// Guards against jobs of a key that overtake each other, or run at once, while clients use two processes of one
// controller. A process may be killed at any time, and its attempts may have unknown outcomes.
func TestTwoProcessesKeepTheOrderOfAKey(t *testing.T) {
	for seed := range int64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewSource(seed))
			p := newTwoProcesses(t)
			for step := range 400 {
				switch {
				case step%80 == 20:
					p.startSuccessor()
				case step%80 == 70 && step < 320:
					p.kill(successorIndex)
				case step == 360:
					p.kill(predecessorIndex)
				}
				p.randomStep(r)
			}
			p.drain()
		})
	}
}

func (p *twoProcesses) randomStep(r *rand.Rand) {
	process := p.processes[r.Intn(2)]
	if process == nil {
		process = p.processes[0]
	}
	if process == nil {
		process = p.processes[1]
	}
	switch n := r.Intn(10); {
	case n < 3:
		p.admit(process, Key(1+r.Intn(3)))
	case n < 6 && len(process.running) > 0:
		p.end(process, []Result{Done, Done, Done, Reset}[r.Intn(4)])
	case n < 9 && len(process.inbox) > 0:
		p.deliver(process)
	default:
		p.advance(Nanos(1+r.Intn(30)) * ms)
	}
}

// Guards against a handover that holds back more than the order needs: a job waits only for jobs of its own key.
func TestASuccessorWaitsOnlyForKeysThatThePredecessorServes(t *testing.T) {
	p := newTwoProcesses(t)
	p.admit(p.processes[predecessorIndex], 1)
	p.startSuccessor()
	successor := p.processes[successorIndex]
	other, same := p.admit(successor, 2), p.admit(successor, 1)
	require(t, p.runs[2] == other, "a job waits although the predecessor serves no job of its key")
	require(t, p.runs[1] != same, "a job does not wait for the predecessor's job of its key")
	p.end(p.processes[predecessorIndex], Done)
	p.deliverAll()
	require(t, p.runs[1] == same, "a job waits after the predecessor's job of its key has ended")
}

// Guards against a predecessor that dispatches a job of a key although the successor has admitted an earlier one.
func TestAPredecessorWaitsForTheSuccessorsEarlierJob(t *testing.T) {
	p := newTwoProcesses(t)
	p.startSuccessor()
	first := p.admit(p.processes[successorIndex], 1)
	second := p.admit(p.processes[predecessorIndex], 1)
	p.deliverAll()
	require(t, p.runs[1] == first, "the job admitted first does not run first: %v", p.runs)
	p.end(p.processes[successorIndex], Done)
	p.deliverAll()
	require(t, p.runs[1] == second, "the predecessor's job does not run: %v", p.runs)
}

// While another process may admit jobs of keys and is not linked, new ones are throttled, and earlier ones go on.
func TestJobsOfKeysAreThrottledWhileTheirOrderIsUnknown(t *testing.T) {
	for _, test := range []struct {
		name           string
		started, ended Event
	}{
		{"successor", Event{Kind: SuccessorChanged, SuccessorRunning: true}, Event{Kind: SuccessorChanged}},
		{"predecessor", Event{Kind: PredecessorChanged, PredecessorRunning: true}, Event{Kind: PredecessorChanged}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoProcesses(t)
			process := p.processes[predecessorIndex]
			first, second := p.admit(process, 1), p.admit(process, 1)
			p.decide(process, test.started)
			throttled := p.admit(process, 1)
			p.end(process, Done)
			require(t, p.runs[1] == second, "job %d was admitted before and does not go on after %d", second, first)
			p.end(process, Done)
			require(t, process.controller.jobs[throttled] == nil && len(p.runs) == 0, "a job of unknown order is kept")
			p.decide(process, test.ended)
			last := p.admit(process, 1)
			p.advance(99 * ms)
			require(t, len(p.runs) == 0, "a job is dispatched in the pause after the other process ended")
			p.advance(ms)
			require(t, p.runs[1] == last, "no job is dispatched after the pause")
		})
	}
}

// Guards against a second successor that serves keys before the pause after the first one's end is over.
func TestASecondSuccessorKeepsThePauseAfterTheFirst(t *testing.T) {
	p := newTwoProcesses(t)
	p.startSuccessor()
	p.admit(p.processes[successorIndex], 1)
	p.kill(successorIndex)
	p.advance(50 * ms)
	p.startSuccessor()
	next := p.admit(p.processes[successorIndex], 1)
	p.advance(49 * ms)
	require(t, len(p.runs) == 0, "a job is dispatched in the pause")
	p.advance(ms)
	require(t, p.runs[1] == next, "no job is dispatched after the pause")
}
