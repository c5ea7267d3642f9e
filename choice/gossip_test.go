package choice

import (
	"math/rand"
	"slices"
	"testing"
)

// fleet simulates controllers whose gossip arrives at once, unless it is dropped.
type fleet struct {
	members        []*simulation
	drops          func(from, to int) bool
	bytesDelivered int
}

func newFleet(t *testing.T, n, engines int) *fleet {
	t.Helper()
	f := &fleet{drops: func(int, int) bool { return false }}
	for i := range n {
		raw := testSettings().set("balancers", float64(n)).set("me", float64(i)).set("limits.peer_messages", true)
		raw.set("tariffs", map[string]any{"peer": 0.01})
		s := newSimulation(t, raw.set("telemetry", nil), engines)
		s.onDecide = func(_ Event, actions []Action) { f.deliver(i, actions) }
		f.members = append(f.members, s)
	}
	return f
}

func (f *fleet) deliver(from int, actions []Action) {
	for _, a := range actions {
		for to, s := range f.members {
			if a.Kind == SendGossip && to != from && (a.Peer == PeerID(to) || a.Peer == 1<<32-1) && !f.drops(from, to) {
				f.bytesDelivered += messageOverhead + len(a.Payload)
				s.handle(Event{Kind: GossipReceived, Peer: PeerID(from), Payload: []byte(a.Payload)})
			}
		}
	}
}

func (f *fleet) advance(duration Nanos) {
	for ; duration > 0; duration -= 20 * ms {
		for _, s := range f.members {
			s.advance(20 * ms)
		}
	}
}

// disconnect disconnects the client of a job before its attempt ends with a result.
func (s *simulation) disconnect(id JobID, r Result) {
	s.jobs[id].ended, s.jobs[id].endedBy = true, clientDisconnected
	s.handle(Event{Kind: ClientDisconnected, Job: id})
	s.finish(id, r)
}

// loadFirstEngine has some controllers each dispatch a long job to the first engine, after enough short jobs to pay
// for gossip.
func (f *fleet) loadFirstEngine(controllers []int) {
	for _, i := range controllers {
		for range 40 { // admitted jobs earn the points for messages and maps
			f.members[i].disconnect(f.members[i].arrive(0, 0, 1), Canceled)
		}
		f.members[i].list(ListDelta, EngineEntry{Engine: 101, State: Draining})
		f.members[i].arrive(1, 0, 1)
		f.members[i].list(ListDelta, EngineEntry{Engine: 101, State: Ready})
	}
}

// Guards against assuming that peers hold the same load as this controller where engines report no load, or each
// controller sees few reports.
func TestGossipShowsPeerLoad(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.loadFirstEngine([]int{1, 3, 5})
	f.advance(500 * ms)
	idle := f.members[0].c.engines
	require(t, idle[0].peerThreads == 6 && idle[1].peerThreads == 0, "peer threads %v and %v, want 6 and 0",
		idle[0].peerThreads, idle[1].peerThreads)
	own := f.members[1].c.engines[0]
	require(t, own.peerThreads == 4, "peer threads %v, want 4 without the two of this controller",
		own.peerThreads)
	for _, s := range f.members {
		for id, j := range s.jobs {
			if j.inFlight() {
				s.finish(id, Done)
			}
		}
	}
	f.loadFirstEngine([]int{0})
	f.advance(500 * ms)
	require(t, f.members[2].c.engines[0].peerThreads == 2, "peer threads %v, want 2 after three jobs ended",
		f.members[2].c.engines[0].peerThreads)
}

// Guards against losing all gossip when the first collector fails or is partitioned.
func TestNextCollectorTakesOver(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.drops = func(from, to int) bool { return from == 0 || to == 0 } // collectors are 0, 2 and 4
	f.loadFirstEngine([]int{1, 3, 5})
	f.advance(collectorTakeoverDelay + 300*ms)
	require(t, f.members[5].c.engines[0].peerThreads == 4, "peer threads %v, want 4",
		f.members[5].c.engines[0].peerThreads)
	require(t, f.members[4].c.gossip.lastOwnMapAt == 0, "the third collector sends maps although the second does")
	f.drops = func(int, int) bool { return true }
	f.advance(gossipTTL + 5*second) // as without gossip: peers are assumed to hold our load
	s := f.members[5]
	require(t, len(s.enginesOf(s.arrive(1, 0, 2))) == 1, "nothing is dispatched without gossip")
}

// Guards against jobs that block behind a load that only the peer that dispatched it knows of. One job in nine did so.
func TestTableWaitersAvoidPeerLoads(t *testing.T) {
	f := newFleet(t, 4, 2)
	for _, s := range f.members { // type 0 blocks behind loads of type 2
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings.set("domain.waits_for_loads",
			[]any{true, false, false}))})
	}
	f.members[1].list(ListDelta, EngineEntry{Engine: 101, State: Draining})
	load := f.members[1].arrive(2, 0, 7)
	f.members[1].list(ListDelta, EngineEntry{Engine: 101, State: Ready})
	f.loadFirstEngine([]int{2, 3}) // earns points for gossip, and loads the same engine
	f.advance(300 * ms)
	s := f.members[0]
	require(t, slices.Contains(s.c.engines[0].lockedTables, TableGroup(7).hash()), "the map does not report the load: %v",
		s.c.engines[0].lockedTables)
	for range 5 {
		s.c.engines[1].peerThreads = 12 // more than the other engine, but within capacity
		id := s.arrive(0, 0, 7)
		require(t, s.enginesOf(id)[0] == 101, "dispatched to the engine where it blocks")
		s.finish(id, Done)
	}
	f.members[1].finish(load, Done)
	f.advance(reportTTL + 500*ms) // no map reports the load any more
	s.c.engines[0].peerThreads, s.c.engines[1].peerThreads = 0, 12
	id := s.arrive(0, 0, 7)
	require(t, s.enginesOf(id)[0] == 100, "the engine is still avoided after the load ended: %+v", s.c.engines[0])
}

// Gossip can be switched off and on at run time: no message is sent or processed while the setting forbids it.
func TestGossipIsSwitchedWhileJobsRun(t *testing.T) {
	f, messages := newFleet(t, 3, 2), 0
	s := f.members[0]
	deliver := s.onDecide
	s.onDecide = func(ev Event, actions []Action) {
		for _, a := range actions {
			if a.Kind == SendGossip {
				messages++
			}
		}
		deliver(ev, actions)
	}
	for i, on := range []bool{true, false, true} {
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings.set("limits.peer_messages", on))})
		s.c.engines[0].peerThreads, s.c.engines[0].loadKnownAt, messages = 0, 0, 0
		f.loadFirstEngine([]int{0, 1, 2})
		f.advance(300 * ms)
		require(t, (messages > 0) == on, "step %d: %d messages sent", i, messages)
		require(t, (s.c.engines[0].loadKnownAt > 0) == on, "step %d: a map was processed: %v", i, !on)
		require(t, s.jobs[s.lastID].inFlight(), "step %d: the running job was interrupted", i)
	}
}

// Guards against each controller losing three jobs at an engine that already failed for its peers.
func TestPeerFailuresLowerPreference(t *testing.T) {
	f := newFleet(t, 4, 2)
	for range 2 {
		f.loadFirstEngine([]int{1, 2, 3})
		for _, s := range f.members {
			for id, j := range s.jobs {
				if j.inFlight() {
					s.disconnect(id, Failed)
				}
			}
		}
		f.advance(300 * ms)
	}
	s := f.members[0]
	require(t, s.c.engines[0].failureRate > 0.5 && s.c.engines[1].failureRate == 0, "failure rates %v and %v",
		s.c.engines[0].failureRate, s.c.engines[1].failureRate)
}

// Messages and maps each cost at most what admitted jobs earn for them.
func TestGossipCostStaysWithinBudget(t *testing.T) {
	f := newFleet(t, 40, 8)
	jobs := 0
	for range 200 {
		for _, s := range f.members[:20] {
			s.arrive(1, 0, TableGroup(jobs%5))
			jobs++
		}
		f.advance(20 * ms)
	}
	points := 0.01 / 256 * float64(f.bytesDelivered) / float64(jobs)
	require(t, points > 0 && points <= 2.1*gossipPointsPerJob, "%.4f points per job", points)
}

// FuzzGossipMessages checks that no message from a peer breaks a rule, and that a decoded message is encoded to the
// same bytes again.
func FuzzGossipMessages(f *testing.F) {
	f.Add([]byte{mapMarker, 1, 2, 3, 4}, int64(1))
	f.Add([]byte{3, 0, 0, 255, 255, 9}, int64(2))
	f.Fuzz(func(t *testing.T, message []byte, seed int64) {
		if first, entries, ok := decodeGossip(message); ok {
			if text, _ := encodeGossip(first, entries); text != string(message) {
				t.Fatalf("%v is decoded as %v", message, entries)
			}
		}
		r := rand.New(rand.NewSource(seed))
		s := newSimulation(t, testSettings().set("limits.peer_messages", true).set("balancers", 5.0), 4)
		for range 3 {
			for _, e := range s.c.engines { // random bytes would seldom contain the hash of a known engine
				if len(message) > 4 {
					message[1], message[2] = byte(e.gossipHash()>>8), byte(e.gossipHash())
				}
				s.handle(Event{Kind: GossipReceived, Peer: PeerID(r.Intn(7)), Payload: message})
			}
			s.chaos(r, 20)
		}
	})
}
