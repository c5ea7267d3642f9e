package choice

import (
	"math/rand"
	"slices"
	"testing"
)

// fleet plays controllers side by side; what one tells arrives at once, unless it is lost.
type fleet struct {
	stages []*stage
	lost   func(from, to int) bool
	cost   int // bytes delivered
}

func newFleet(t *testing.T, n, engines int) *fleet {
	t.Helper()
	f := &fleet{lost: func(int, int) bool { return false }}
	for i := range n {
		facts := plainSettings().set("balancers", float64(n)).set("me", float64(i)).set("limits.peer_messages", true)
		facts.set("tariffs", map[string]any{"peer": 0.01})
		s := newStage(t, facts.set("telemetry", nil), engines)
		s.onDecide = func(_ Event, acts []Action) { f.deliver(i, acts) }
		f.stages = append(f.stages, s)
	}
	return f
}

func (f *fleet) deliver(from int, acts []Action) {
	for _, a := range acts {
		for to, s := range f.stages {
			if a.Kind == SendGossip && to != from && (a.Peer == PeerID(to) || a.Peer == 1<<32-1) && !f.lost(from, to) {
				f.cost += messageOverhead + len(a.Payload)
				s.handle(Event{Kind: GossipReceived, Peer: PeerID(from), Payload: []byte(a.Payload)})
			}
		}
	}
}

func (f *fleet) pass(span Nanos) {
	for ; span > 0; span -= 20 * ms {
		for _, s := range f.stages {
			s.pass(20 * ms)
		}
	}
}

// leave has a job's client leave before its dispatch ends.
func (s *stage) disconnect(id JobID, r Result) {
	s.jobs[id].ended, s.jobs[id].endedBy = true, clientDisconnected
	s.handle(Event{Kind: ClientDisconnected, Job: id})
	s.finish(id, r)
}

// busy has each of some controllers send long jobs to the first engine, so many that words are paid for.
func (f *fleet) load(controllers []int) {
	for _, i := range controllers {
		for range 40 { // what is taken pays, also for a map
			f.stages[i].disconnect(f.stages[i].arrive(0, 0, 1), Canceled)
		}
		f.stages[i].list(ListDelta, EngineEntry{Engine: 101, State: Draining})
		f.stages[i].arrive(1, 0, 1)
		f.stages[i].list(ListDelta, EngineEntry{Engine: 101, State: Ready})
	}
}

// The failure: where no engine tells its load, or each controller hears of few, siblings were thought to hold what we
// hold.
func TestGossipShowsSiblingLoad(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.load([]int{1, 3, 5})
	f.pass(500 * ms)
	idle := f.stages[0].c.engines
	require(t, idle[0].siblingThreads == 6 && idle[1].siblingThreads == 0, "siblings hold %v and %v of 6 and 0",
		idle[0].siblingThreads, idle[1].siblingThreads)
	own := f.stages[1].c.engines[0]
	require(t, own.siblingThreads == 4, "one's own two threads count as siblings': %v of 4", own.siblingThreads)
	for _, s := range f.stages {
		for id, j := range s.jobs {
			if j.out() {
				s.finish(id, Done)
			}
		}
	}
	f.load([]int{0})
	f.pass(500 * ms)
	require(t, f.stages[2].c.engines[0].siblingThreads == 2, "siblings hold %v of 2 when three have ended",
		f.stages[2].c.engines[0].siblingThreads)
}

// The failure: the first gatherer is lost, or cut off, and with it all that is known.
func TestNextCollectorTakesOver(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.lost = func(from, to int) bool { return from == 0 || to == 0 } // gatherers are 0, 2 and 4
	f.load([]int{1, 3, 5})
	f.pass(collectorTakeoverDelay + 300*ms)
	require(t, f.stages[5].c.engines[0].siblingThreads == 4, "siblings hold %v of 4",
		f.stages[5].c.engines[0].siblingThreads)
	require(t, f.stages[4].c.gossip.lastOwnMapAt == 0, "the third sends maps beside the second")
	f.lost = func(int, int) bool { return true }
	f.pass(gossipTTL + 5*second) // all goes on as without words: siblings as ourselves
	s := f.stages[5]
	require(t, len(s.enginesOf(s.arrive(1, 0, 2))) == 1, "nothing is sent when no word comes")
}

// The failure: one job in nine stood still behind a load of which only the sibling that sent it knew.
func TestTableWaitersAvoidSiblingLoads(t *testing.T) {
	f := newFleet(t, 4, 2)
	for _, s := range f.stages { // type 0 stands still behind loads of type 2
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings.set("domain.waits_for_loads",
			[]any{true, false, false}))})
	}
	f.stages[1].list(ListDelta, EngineEntry{Engine: 101, State: Draining})
	load := f.stages[1].arrive(2, 0, 7)
	f.stages[1].list(ListDelta, EngineEntry{Engine: 101, State: Ready})
	f.load([]int{2, 3}) // pays, and fills the same engine
	f.pass(300 * ms)
	s := f.stages[0]
	require(t, slices.Contains(s.c.engines[0].lockedTables, TableGroup(7).hash()), "the load is not told: %v",
		s.c.engines[0].lockedTables)
	for range 5 {
		s.c.engines[1].siblingThreads = 12 // over the other, but it has room
		id := s.arrive(0, 0, 7)
		require(t, s.enginesOf(id)[0] == 101, "sent where it stands still")
		s.finish(id, Done)
	}
	f.stages[1].finish(load, Done)
	f.pass(reportTTL + 500*ms) // no map tells of it any more
	s.c.engines[0].siblingThreads, s.c.engines[1].siblingThreads = 0, 12
	id := s.arrive(0, 0, 7)
	require(t, s.enginesOf(id)[0] == 100, "kept away after the load's end: %+v", s.c.engines[0])
}

// The switch works live, both ways: nothing is told, and nothing heard, while messages are not allowed.
func TestGossipIsSwitchedWhileJobsRun(t *testing.T) {
	f, messages := newFleet(t, 3, 2), 0
	s := f.stages[0]
	deliver := s.onDecide
	s.onDecide = func(ev Event, acts []Action) {
		for _, a := range acts {
			if a.Kind == SendGossip {
				messages++
			}
		}
		deliver(ev, acts)
	}
	for i, on := range []bool{true, false, true} {
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings.set("limits.peer_messages", on))})
		s.c.engines[0].siblingThreads, s.c.engines[0].loadKnownAt, messages = 0, 0, 0
		f.load([]int{0, 1, 2})
		f.pass(300 * ms)
		require(t, (messages > 0) == on, "step %d: %d messages told", i, messages)
		require(t, (s.c.engines[0].loadKnownAt > 0) == on, "step %d: a map was heard: %v", i, !on)
		require(t, s.jobs[s.nextID].out(), "step %d: the job was not left where it runs", i)
	}
}

// The failure: each controller had to lose three jobs at an engine before it knew what others had seen.
func TestSiblingFailuresLowerPreference(t *testing.T) {
	f := newFleet(t, 4, 2)
	for range 2 {
		f.load([]int{1, 2, 3})
		for _, s := range f.stages {
			for id, j := range s.jobs {
				if j.out() {
					s.disconnect(id, Failed)
				}
			}
		}
		f.pass(300 * ms)
	}
	s := f.stages[0]
	require(t, s.c.engines[0].failureRate > 0.5 && s.c.engines[1].failureRate == 0, "%v and %v of it fail",
		s.c.engines[0].failureRate, s.c.engines[1].failureRate)
}

// Words and maps cost at most what the jobs taken pay for, each.
func TestGossipCostStaysWithinBudget(t *testing.T) {
	f := newFleet(t, 40, 8)
	jobs := 0
	for range 200 {
		for _, s := range f.stages[:20] {
			s.arrive(1, 0, TableGroup(jobs%5))
			jobs++
		}
		f.pass(20 * ms)
	}
	points := 0.01 / 256 * float64(f.cost) / float64(jobs)
	require(t, points > 0 && points <= 2.1*gossipPointsPerJob, "%.4f points a job", points)
}

// FuzzGossipMessages: whatever a peer says, the rules are kept, and what was encoded is read as it was.
func FuzzGossipMessages(f *testing.F) {
	f.Add([]byte{mapMarker, 1, 2, 3, 4}, int64(1))
	f.Add([]byte{3, 0, 0, 255, 255, 9}, int64(2))
	f.Fuzz(func(t *testing.T, message []byte, seed int64) {
		if first, entries, ok := decodeGossip(message); ok {
			if text, _ := encodeGossip(first, entries); text != string(message) {
				t.Fatalf("%v is read as %v", message, entries)
			}
		}
		r := rand.New(rand.NewSource(seed))
		s := newStage(t, plainSettings().set("limits.peer_messages", true).set("balancers", 5.0), 4)
		for range 3 {
			for _, e := range s.c.engines { // in place of marks that it hardly guesses
				if len(message) > 4 {
					message[1], message[2] = byte(e.gossipHash()>>8), byte(e.gossipHash())
				}
				s.handle(Event{Kind: GossipReceived, Peer: PeerID(r.Intn(7)), Payload: message})
			}
			s.chaos(r, 20)
		}
	})
}
