package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// restartController replaces the controller of a simulation by a new one, so that the stream contains its first event.
func restartController(s *simulation) {
	s.c, s.timers, s.entries, s.unavailableSince = Controller{}, map[TimerID]Nanos{}, map[EngineID]EngineEntry{},
		map[EngineID]Nanos{}
	s.handle(Event{Kind: Started, Seed: 11, Settings: ParseSettings(s.settings)})
	s.list(CachedList, EngineEntry{Engine: 100, State: Ready}, EngineEntry{Engine: 101, State: Ready, Zone: 1},
		EngineEntry{Engine: 102, State: Ready})
}

// chaosStream is a chaos run with changed settings.
func chaosStream(change func(RawSettings)) func(*testing.T, func(*simulation)) {
	return func(t *testing.T, observe func(*simulation)) {
		t.Helper()
		raw := testSettings()
		change(raw)
		s := newSimulation(t, raw, 0)
		observe(s)
		restartController(s)
		s.chaos(rand.New(rand.NewSource(5)), 250)
	}
}

// streams are the recorded runs: each passes its simulation to an observer before the first recorded event.
var streams = map[string]func(*testing.T, func(*simulation)){
	"few": chaosStream(func(RawSettings) {}),
	"many": chaosStream(func(raw RawSettings) {
		raw.set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.001})
	}),
	"paging": chaosStream(func(raw RawSettings) { raw.set("domain.memory_short", "swap").set("limits.probes", false) }),
	"zones": chaosStream(func(raw RawSettings) {
		raw.set("tariffs", map[string]any{"cross_zone": 0.02}).set("locality", 1.0)
	}),
	"rules": chaosStream(strictRules),
	"memory": chaosStream(func(raw RawSettings) {
		raw.set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", false).set("discovery", "subscribe")
		raw.set("domain.waits_for_loads", []any{true, false, true}).set("domain.note_period_ns", 2e8)
	}),
	"plans":     playPlans,
	"handover":  playHandover,
	"gatherer":  playGossip(0),
	"gossip":    playGossip(1),
	"fleetwide": playFleet,
	"granted":   playGranted,
	"turns":     playTurns,
}

// strictRules restricts repeats, placement, retries and tenant quotas.
func strictRules(raw RawSettings) {
	keyed := func(scope string, ordered bool) map[string]any {
		return map[string]any{"idempotency": "by_key", "key_scope": scope, "repeat_window_ns": 1e9, "aim_ns": 1e9,
			"give_up_ns": 3e9, "gain": 2.0, "late_worth": 0.25, "fifo_by_key": ordered}
	}
	placed := map[string]any{"idempotency": "repeatable", "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0,
		"allowed_in": []any{1.0}, "kinds_only": []any{0.0, 1.0}}
	raw.set("classes", append(raw.list("classes"), keyed("all", true), keyed("zone", false), keyed("cell", false), placed))
	raw.set("invariants.further_ratio", 0.05).set("invariants.budget_free", 2.0).set("invariants.extra_window_ns", 2e9)
	raw.set("tenants", []any{map[string]any{"quota_per_s": 5.0},
		map[string]any{"quota_per_s": 0.5}}).set("over_share_worth", 0.3)
}

func playPlans(t *testing.T, observe func(*simulation)) {
	t.Helper()
	s := newSimulation(t, testSettings(), 0)
	observe(s)
	restartController(s)
	r := rand.New(rand.NewSource(8))
	for range 5 {
		p := &Plan{DemandThreads: r.Float64() * 40, MaxDemandRatio: 1 + 5*r.Float64(), IdleEngines: []EngineID{105}}
		for i := range 5 {
			p.Tenants = append(p.Tenants, PlanTenant{TenantID(i), r.Float64()})
			p.Engines = append(p.Engines, PlanEngine{EngineID(100 + i), r.Float64() * 9})
			p.Weights = append(p.Weights, PlanWeight{TypeID(i), EngineID(100 + r.Intn(6)), r.Float64()})
		}
		s.handle(Event{Kind: PlanUpdated, Plan: p})
		s.chaos(r, 50)
	}
	s.handle(Event{Kind: PlanUpdated})
	s.chaos(r, 20)
}

// playHandover covers a predecessor and its state transfer, assigned quotas, settings that change while jobs run, and
// finally the stop of the controller.
func playHandover(t *testing.T, observe func(*simulation)) {
	t.Helper()
	raw := testSettings().set("invariants.further_ratio", 0.1).set("invariants.budget_free",
		3.0).set("invariants.extra_window_ns", 2e9)
	s := newSimulation(t, raw.set("tenants",
		[]any{map[string]any{"quota_per_s": 3.0}, map[string]any{"quota_per_s": 2.0}}), 0)
	observe(s)
	restartController(s)
	r := rand.New(rand.NewSource(9))
	s.handle(Event{Kind: PredecessorChanged, PredecessorRunning: true})
	transferred := []TypeStats{{meanWork: 2e8, workCount: 40, costBias: 0.3, costCount: 60, memoryBias: -0.2,
		memoryDeviation: 0.1, memoryCount: 30, bestSlowdown: 0.7, slowdown: 1.4},
		{meanWork: math.NaN(), bestSlowdown: 1, slowdown: 1}, {meanWork: 3e9, workCount: 7, bestSlowdown: 1.1, slowdown: 1.9}}
	s.handle(Event{Kind: StateTransferred, TypeStats: transferred, EngineHealth: []EngineHealth{{100, 1.3, 0.2, false},
		{101, 2.5, 0.4, true}, {102, math.Inf(1), 0, true}}})
	s.chaos(r, 60)
	s.handle(Event{Kind: PredecessorChanged})
	s.handle(Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.2, TenantShares: map[TenantID]float64{0: 0.7, 1: 0.1},
		ExpiresAt: s.now + 3*second}})
	s.chaos(r, 80)
	s.settings = testSettings().set("limits.cancel", false).set("limits.probes", false)
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings)})
	s.chaos(r, 60)
	s.settings = testSettings().set("limits.most_tries", 2.0).set("balancers", 3.0)
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings)})
	s.handle(Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.9, ExpiresAt: s.now + 60*second}})
	s.chaos(r, 60)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining, Size: 2, Cell: 3},
		EngineEntry{Engine: 101, State: Ready, Unsupported: 2})
	for range 4 {
		s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true, RequiredProtocols: 3})
	}
	s.advance(2 * second)
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.chaos(r, 40)
}

// playGossip records one of four controllers that exchange gossip, some of which is lost.
func playGossip(observed int) func(*testing.T, func(*simulation)) {
	return func(t *testing.T, observe func(*simulation)) {
		t.Helper()
		observeGossip(t, observe, observed)
	}
}

func observeGossip(t *testing.T, observe func(*simulation), observed int) {
	t.Helper()
	f := newFleet(t, 4, 3)
	r := rand.New(rand.NewSource(10))
	f.drops = func(int, int) bool { return r.Intn(6) == 0 }
	observe(f.members[observed])
	deliver := f.members[observed].onDecide
	f.members[observed].onDecide = func(ev Event, actions []Action) {
		deliver(ev, actions)
		f.deliver(observed, actions)
	}
	f.members[observed].c, f.members[observed].timers = Controller{}, map[TimerID]Nanos{}
	f.members[observed].handle(Event{Kind: Started, Seed: 11, Settings: ParseSettings(f.members[observed].settings)})
	f.members[observed].list(CachedList, EngineEntry{Engine: 100, State: Ready},
		EngineEntry{Engine: 101, State: Ready, Zone: 1}, EngineEntry{Engine: 102, State: Ready})
	for round := range 120 {
		for i, s := range f.members {
			for range 1 + r.Intn(3) {
				s.arrive(TypeID(r.Intn(3)), Key(r.Intn(4)), TableGroup(r.Intn(4)))
			}
			for _, j := range slices.Clone(s.admitted) {
				switch roll := r.Intn(20); {
				case !j.inFlight() || roll > 8:
				case roll == 0:
					s.finish(j.ev.Job, Failed)
				default:
					s.finish(j.ev.Job, Done)
				}
			}
			switch round % 40 {
			case 10 * i:
				s.list(ListDelta, EngineEntry{Engine: 101, State: Draining, Zone: 1})
			case 10*i + 5:
				s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, Zone: 1})
			}
		}
		f.advance(40 * ms)
	}
	payload := []byte{mapMarker, 1, 2, 3, 4}
	f.members[observed].handle(Event{Kind: GossipReceived, Peer: 2, Payload: payload})
	f.members[observed].handle(Event{Kind: GossipReceived, Peer: 77, Payload: payload})
	f.members[observed].handle(Event{Kind: GossipReceived, Peer: 3, Payload: payload[:3]})
	f.advance(2 * second)
}

// playFleet records one of forty controllers, which samples a few of thirty engines, at low load, in a burst of peer
// load and after it, while engines restart.
func playFleet(t *testing.T, observe func(*simulation)) {
	t.Helper()
	raw := testSettings().set("balancers", 40.0).set("me", 7.0).set("tariffs", map[string]any{"probe": 0.01, "peer": 0.01})
	s := newSimulation(t, raw.set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false), 0)
	observe(s)
	restartController(s)
	var entries []EngineEntry
	for i := range 30 {
		entries = append(entries, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3)})
	}
	s.list(FullList, entries...)
	s.playSteadyLoad(2*second, 0.04)
	s.playSteadyLoad(2*second, 0.25)
	for i := range 8 {
		s.list(ListDelta, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3), StartedAt: s.now})
	}
	s.playSteadyLoad(4*second, 0.04)
}

// playGranted is a chaos run with reports of memory granted by the engines, with each answer.
func playGranted(t *testing.T, observe func(*simulation)) {
	t.Helper()
	raw := testSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", false)
	s := newSimulation(t, raw.set("domain.note_period_ns", 2e8).set("balancers", 5.0), 0)
	observe(s)
	r := rand.New(rand.NewSource(13))
	s.loadReport = func(EngineID) []float64 { return []float64{r.Float64(), 2 * r.Float64()} }
	restartController(s)
	s.chaos(r, 200)
}

// playTurns records one of twelve controllers that take turns at engines in slow start, after restarts that are listed
// or suspected by few jobs, with progress reports that sometimes show a bad plan.
func playTurns(t *testing.T, observe func(*simulation)) {
	t.Helper()
	s := newSimulation(t, testSettings().set("balancers", 12.0).set("me", 3.0).set("domain.note_period_ns", 2e8), 0)
	observe(s)
	r := rand.New(rand.NewSource(14))
	s.loadReport = func(EngineID) []float64 { return []float64{[]float64{14, 16, 18, 2, 1, 0}[r.Intn(6)]} }
	restartController(s)
	for round := range 300 {
		typ := TypeID(r.Intn(2))
		s.arriveAs(Event{Type: typ, Tables: TableGroup(r.Intn(3)), TimeLeft: 8 * second,
			Cost: Nanos(1+r.Intn(30)) * 40 * ms, CostKnown: true, MemoryMB: 300})
		if round%50 == 20 {
			id := EngineID(100 + r.Intn(3))
			s.list(ListDelta, EngineEntry{Engine: id, State: Ready, StartedAt: s.now, Zone: ZoneID(id % 2)})
		}
		for _, j := range slices.Clone(s.admitted) {
			if !j.inFlight() {
				continue
			}
			last := len(j.attempts) - 1
			switch roll := r.Intn(40); {
			case j.attempts[last].cancelRequested:
				s.finish(j.ev.Job, Canceled)
			case roll == 0:
				s.finish(j.ev.Job, ConnectionRefused)
			case roll < 12:
				s.finish(j.ev.Job, Done)
			case roll < 36:
				s.handle(Event{Kind: ProgressReported, Job: j.ev.Job, Seq: AttemptSeq(last), Engine: j.attempts[last].engine,
					Progress: ProgressFraction, Amount: r.Float64()})
			}
		}
		s.advance(50 * ms)
	}
}
