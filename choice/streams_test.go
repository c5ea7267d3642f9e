package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// restart has a stage begin anew with a module that was told nothing, so that a stream holds its first event.
func restart(s *stage) {
	s.c, s.timers, s.entries, s.unavailableSince = Controller{}, map[TimerID]Nanos{}, map[EngineID]EngineEntry{},
		map[EngineID]Nanos{}
	s.handle(Event{Kind: Started, Seed: 11, Settings: ParseSettings(s.settings)})
	s.list(CachedList, EngineEntry{Engine: 100, State: Ready}, EngineEntry{Engine: 101, State: Ready, Zone: 1},
		EngineEntry{Engine: 102, State: Ready})
}

// plain is a stage under chaos with one change of the settings.
func plain(change func(RawSettings)) func(*testing.T, func(*stage)) {
	return func(t *testing.T, watch func(*stage)) {
		t.Helper()
		f := plainSettings()
		change(f)
		s := newStage(t, f, 0)
		watch(s)
		restart(s)
		s.chaos(rand.New(rand.NewSource(5)), 250)
	}
}

// streams are what is recorded: each plays a stage and has it watched from its first event on.
var streams = map[string]func(*testing.T, func(*stage)){
	"few":    plain(func(RawSettings) {}),
	"many":   plain(func(f RawSettings) { f.set("balancers", 60.0).set("tariffs", map[string]any{"probe": 0.001}) }),
	"paging": plain(func(f RawSettings) { f.set("domain.memory_short", "swap").set("limits.probes", false) }),
	"zones":  plain(func(f RawSettings) { f.set("tariffs", map[string]any{"cross_zone": 0.02}).set("locality", 1.0) }),
	"rules":  plain(strictRules),
	"memory": plain(func(f RawSettings) {
		f.set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", false).set("discovery", "subscribe")
		f.set("domain.waits_for_loads", []any{true, false, true}).set("domain.note_period_ns", 2e8)
	}),
	"plans":     playPlans,
	"handover":  playHandover,
	"gatherer":  playGossip(0),
	"gossip":    playGossip(1),
	"fleetwide": playFleet,
	"granted":   playGranted,
	"turns":     playTurns,
}

// strictRules sets what bounds repeats, places, further dispatches and tenants.
func strictRules(f RawSettings) {
	keyed := func(scope string, ordered bool) map[string]any {
		return map[string]any{"idempotency": "by_key", "key_scope": scope, "repeat_window_ns": 1e9, "aim_ns": 1e9,
			"give_up_ns": 3e9, "gain": 2.0, "late_worth": 0.25, "fifo_by_key": ordered}
	}
	placed := map[string]any{"idempotency": "repeatable", "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0,
		"allowed_in": []any{1.0}, "kinds_only": []any{0.0, 1.0}}
	f.set("classes", append(f.list("classes"), keyed("all", true), keyed("zone", false), keyed("cell", false), placed))
	f.set("invariants.further_ratio", 0.05).set("invariants.budget_free", 2.0).set("invariants.extra_window_ns", 2e9)
	f.set("tenants", []any{map[string]any{"quota_per_s": 5.0},
		map[string]any{"quota_per_s": 0.5}}).set("over_share_worth", 0.3)
}

func playPlans(t *testing.T, watch func(*stage)) {
	t.Helper()
	s := newStage(t, plainSettings(), 0)
	watch(s)
	restart(s)
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

// playHandover has an older process beside the controller, its teaching, shares that are told and settings restated
// while jobs run, and at last the end of the controller.
func playHandover(t *testing.T, watch func(*stage)) {
	t.Helper()
	f := plainSettings().set("invariants.further_ratio", 0.1).set("invariants.budget_free",
		3.0).set("invariants.extra_window_ns", 2e9)
	s := newStage(t, f.set("tenants", []any{map[string]any{"quota_per_s": 3.0}, map[string]any{"quota_per_s": 2.0}}), 0)
	watch(s)
	restart(s)
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
	s.settings = plainSettings().set("limits.cancel", false).set("limits.probes", false)
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings)})
	s.chaos(r, 60)
	s.settings = plainSettings().set("limits.most_tries", 2.0).set("balancers", 3.0)
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(s.settings)})
	s.handle(Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.9, ExpiresAt: s.now + 60*second}})
	s.chaos(r, 60)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining, Size: 2, Cell: 3},
		EngineEntry{Engine: 101, State: Ready, Unsupported: 2})
	for range 4 {
		s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true, RequiredProtocols: 3})
	}
	s.pass(2 * second)
	s.handle(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.chaos(r, 40)
}

// playGossip has four controllers gossip, one of which is watched; messages between some are lost now and then.
func playGossip(observed int) func(*testing.T, func(*stage)) {
	return func(t *testing.T, watch func(*stage)) {
		t.Helper()
		observeGossip(t, watch, observed)
	}
}

func observeGossip(t *testing.T, watch func(*stage), observed int) {
	t.Helper()
	f := newFleet(t, 4, 3)
	r := rand.New(rand.NewSource(10))
	f.lost = func(int, int) bool { return r.Intn(6) == 0 }
	watch(f.stages[observed])
	deliver := f.stages[observed].onDecide
	f.stages[observed].onDecide = func(ev Event, acts []Action) {
		deliver(ev, acts)
		f.deliver(observed, acts)
	}
	f.stages[observed].c, f.stages[observed].timers = Controller{}, map[TimerID]Nanos{}
	f.stages[observed].handle(Event{Kind: Started, Seed: 11, Settings: ParseSettings(f.stages[observed].settings)})
	f.stages[observed].list(CachedList, EngineEntry{Engine: 100, State: Ready},
		EngineEntry{Engine: 101, State: Ready, Zone: 1}, EngineEntry{Engine: 102, State: Ready})
	for round := range 120 {
		for i, s := range f.stages {
			for range 1 + r.Intn(3) {
				s.arrive(TypeID(r.Intn(3)), Key(r.Intn(4)), TableGroup(r.Intn(4)))
			}
			for _, j := range slices.Clone(s.admitted) {
				switch roll := r.Intn(20); {
				case !j.out() || roll > 8:
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
		f.pass(40 * ms)
	}
	payload := []byte{mapMarker, 1, 2, 3, 4}
	f.stages[observed].handle(Event{Kind: GossipReceived, Peer: 2, Payload: payload})
	f.stages[observed].handle(Event{Kind: GossipReceived, Peer: 77, Payload: payload})
	f.stages[observed].handle(Event{Kind: GossipReceived, Peer: 3, Payload: payload[:3]})
	f.pass(2 * second)
}

// playFleet has one of forty controllers look at a few of thirty engines, whose reports tell of many siblings, in
// calm, in a burst and after it, while engines restart.
func playFleet(t *testing.T, watch func(*stage)) {
	t.Helper()
	f := plainSettings().set("balancers", 40.0).set("me", 7.0).set("tariffs", map[string]any{"probe": 0.01, "peer": 0.01})
	s := newStage(t, f.set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false), 0)
	watch(s)
	restart(s)
	var lines []EngineEntry
	for i := range 30 {
		lines = append(lines, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3)})
	}
	s.list(FullList, lines...)
	s.playSteadyLoad(2*second, 0.04)
	s.playSteadyLoad(2*second, 0.25)
	for i := range 8 {
		s.list(ListDelta, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3), StartedAt: s.now})
	}
	s.playSteadyLoad(4*second, 0.04)
}

// playGranted has reports that tell of memory granted by the engines themselves, at each answer, under chaos.
func playGranted(t *testing.T, watch func(*stage)) {
	t.Helper()
	f := plainSettings().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", false)
	s := newStage(t, f.set("domain.note_period_ns", 2e8).set("balancers", 5.0), 0)
	watch(s)
	r := rand.New(rand.NewSource(13))
	s.load = func(EngineID) []float64 { return []float64{r.Float64(), 2 * r.Float64()} }
	restart(s)
	s.chaos(r, 200)
}

// playTurns has one of twelve controllers send to engines that restart, as the list tells or as their few jobs show,
// while progress is reported that now and then shows a bad plan.
func playTurns(t *testing.T, watch func(*stage)) {
	t.Helper()
	s := newStage(t, plainSettings().set("balancers", 12.0).set("me", 3.0).set("domain.note_period_ns", 2e8), 0)
	watch(s)
	r := rand.New(rand.NewSource(14))
	s.load = func(EngineID) []float64 { return []float64{[]float64{14, 16, 18, 2, 1, 0}[r.Intn(6)]} }
	restart(s)
	for round := range 300 {
		typ := TypeID(r.Intn(2))
		s.arriveAs(Event{Type: typ, Tables: TableGroup(r.Intn(3)), TimeLeft: 8 * second,
			Cost: Nanos(1+r.Intn(30)) * 40 * ms, CostKnown: true, MemoryMB: 300})
		if round%50 == 20 {
			id := EngineID(100 + r.Intn(3))
			s.list(ListDelta, EngineEntry{Engine: id, State: Ready, StartedAt: s.now, Zone: ZoneID(id % 2)})
		}
		for _, j := range slices.Clone(s.admitted) {
			if !j.out() {
				continue
			}
			last := len(j.attempts) - 1
			switch roll := r.Intn(40); {
			case j.attempts[last].cancelRequested:
				s.finish(j.ev.Job, Canceled)
			case roll == 0:
				s.finish(j.ev.Job, Unreachable)
			case roll < 12:
				s.finish(j.ev.Job, Done)
			case roll < 36:
				s.handle(Event{Kind: ProgressReported, Job: j.ev.Job, Seq: AttemptSeq(last), Engine: j.attempts[last].engine,
					Progress: ProgressFraction, Amount: r.Float64()})
			}
		}
		s.pass(50 * ms)
	}
}
