package choice

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// Streams of events that the module was told, and what it decided: it has to decide so for ever, to the bit of each mean.
// Where a decision is changed on purpose they are recorded anew, by the module as it stands before the next subsystem:
// go test ./choice -run Recorded -record.
var record = flag.Bool("record", false, "record the streams of testdata anew")

func streamPath(name string) string { return filepath.Join("testdata", name+".jsonl.gz") }

// TestRecordedStreamsAreDecidedAsBefore holds decisions and beliefs against the streams, and log lines apart from them.
func TestRecordedStreamsAreDecidedAsBefore(t *testing.T) {
	for name, play := range streams {
		t.Run(name, func(t *testing.T) {
			if *record {
				writeStream(t, streamPath(name), recordPlay(t, play))
			}
			steps := readStream(t, streamPath(name))
			t.Run("decisions", func(t *testing.T) { replay(t, steps, compareDecisions) })
			t.Run("log", func(t *testing.T) { replay(t, steps, compareLog) })
			t.Logf("%d events", len(steps))
		})
	}
}

// replay tells a new module the events of a stream and has each step compared with what was recorded.
func replay(t *testing.T, steps []recordedStep, compare func(recordedStep, []Action, *Controller) error) {
	t.Helper()
	if len(steps) == 0 {
		t.Fatal("the stream is empty")
	}
	var c Controller
	for i, step := range steps {
		acts := c.Decide(Nanos(step.At), step.Event.event(t))
		if err := compare(step, acts, &c); err != nil {
			t.Fatalf("event %d (%s): %v", i, step.Event.Kind, err)
		}
	}
}

func compareDecisions(step recordedStep, acts []Action, c *Controller) error {
	if got := digestOf(acts); got != step.Decisions {
		return fmt.Errorf("decided otherwise: %+v", acts)
	}
	if got := stateOf(c, Nanos(step.At)); got != step.State {
		return fmt.Errorf("decided alike, but what is believed differs")
	}
	return nil
}

func compareLog(step recordedStep, acts []Action, _ *Controller) error {
	if got := logTexts(acts); !slices.Equal(got, step.Log) {
		return fmt.Errorf("logged %q, not %q", got, step.Log)
	}
	return nil
}

// recordPlay has a stage played and gives the stream of its controller.
func recordPlay(t *testing.T, play func(*testing.T, func(*stage))) (lines [][]byte) {
	t.Helper()
	play(t, func(s *stage) {
		s.heard = func(ev Event, acts []Action) {
			lines = append(lines, encodeStep(t, recordedStep{At: int64(s.now), Event: recorded(ev), Decisions: digestOf(acts),
				State: stateOf(&s.c, s.now), Log: logTexts(acts)}))
		}
	})
	return lines
}

// restart has a stage begin anew with a module that was told nothing, so that a stream holds its first event.
func restart(s *stage) {
	s.c, s.timers, s.lines, s.told = Controller{}, map[TimerID]Nanos{}, map[EngineID]EngineEntry{}, map[EngineID]Nanos{}
	s.tell(Event{Kind: Started, Seed: 11, Settings: s.facts})
	s.list(CachedList, EngineEntry{Engine: 100, State: Ready}, EngineEntry{Engine: 101, State: Ready, Zone: 1}, EngineEntry{Engine: 102, State: Ready})
}

// plain is a stage under chaos with one change of the settings.
func plain(change func(RawSettings)) func(*testing.T, func(*stage)) {
	return func(t *testing.T, watch func(*stage)) {
		f := plainFacts()
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
	"gatherer":  func(t *testing.T, watch func(*stage)) { playGossip(t, watch, 0) },
	"gossip":    func(t *testing.T, watch func(*stage)) { playGossip(t, watch, 1) },
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
	f.set("tenants", []any{map[string]any{"quota_per_s": 5.0}, map[string]any{"quota_per_s": 0.5}}).set("over_share_worth", 0.3)
}

func playPlans(t *testing.T, watch func(*stage)) {
	s := newStage(t, plainFacts(), 0)
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
		s.tell(Event{Kind: PlanUpdated, Plan: p})
		s.chaos(r, 50)
	}
	s.tell(Event{Kind: PlanUpdated})
	s.chaos(r, 20)
}

// playHandover has an older process beside the controller, its teaching, shares that are told and settings restated while
// jobs run, and at last the end of the controller.
func playHandover(t *testing.T, watch func(*stage)) {
	f := plainFacts().set("invariants.further_ratio", 0.1).set("invariants.budget_free", 3.0).set("invariants.extra_window_ns", 2e9)
	s := newStage(t, f.set("tenants", []any{map[string]any{"quota_per_s": 3.0}, map[string]any{"quota_per_s": 2.0}}), 0)
	watch(s)
	restart(s)
	r := rand.New(rand.NewSource(9))
	s.tell(Event{Kind: PredecessorChanged, PredecessorRunning: true})
	taught := []TypeStats{{meanWork: 2e8, workCount: 40, costBias: 0.3, costCount: 60, memoryBias: -0.2, memoryDeviation: 0.1, memoryCount: 30, bestSlowdown: 0.7, slowdown: 1.4},
		{meanWork: math.NaN(), bestSlowdown: 1, slowdown: 1}, {meanWork: 3e9, workCount: 7, bestSlowdown: 1.1, slowdown: 1.9}}
	s.tell(Event{Kind: StateTransferred, TypeStats: taught, EngineHealth: []EngineHealth{{100, 1.3, 0.2, false}, {101, 2.5, 0.4, true}, {102, math.Inf(1), 0, true}}})
	s.chaos(r, 60)
	s.tell(Event{Kind: PredecessorChanged})
	s.tell(Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.2, TenantShares: map[TenantID]float64{0: 0.7, 1: 0.1}, ExpiresAt: s.now + 3*second}})
	s.chaos(r, 80)
	s.facts = plainFacts().set("limits.cancel", false).set("limits.probes", false)
	s.tell(Event{Kind: Reconfigured, Settings: s.facts})
	s.chaos(r, 60)
	s.facts = plainFacts().set("limits.most_tries", 2.0).set("balancers", 3.0)
	s.tell(Event{Kind: Reconfigured, Settings: s.facts})
	s.tell(Event{Kind: QuotaAssigned, Quota: Quota{FleetShare: 0.9, ExpiresAt: s.now + 60*second}})
	s.chaos(r, 60)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining, Size: 2, Cell: 3}, EngineEntry{Engine: 101, State: Ready, Unsupported: 2})
	for range 4 {
		s.arriveAs(Event{Type: 1, TimeLeft: 20 * second, Cost: 10 * second, CostKnown: true, RequiredProtocols: 3})
	}
	s.pass(2 * second)
	s.tell(Event{Kind: Stopping, TimeLeft: 3 * second})
	s.chaos(r, 40)
}

// playGossip has four controllers gossip, one of which is watched; messages between some are lost now and then.
func playGossip(t *testing.T, watch func(*stage), watched int) {
	f := newFleet(t, 4, 3)
	r := rand.New(rand.NewSource(10))
	f.lost = func(int, int) bool { return r.Intn(6) == 0 }
	watch(f.all[watched])
	deliver := f.all[watched].heard
	f.all[watched].heard = func(ev Event, acts []Action) {
		deliver(ev, acts)
		f.deliver(watched, acts)
	}
	f.all[watched].c, f.all[watched].timers = Controller{}, map[TimerID]Nanos{}
	f.all[watched].tell(Event{Kind: Started, Seed: 11, Settings: f.all[watched].facts})
	f.all[watched].list(CachedList, EngineEntry{Engine: 100, State: Ready}, EngineEntry{Engine: 101, State: Ready, Zone: 1}, EngineEntry{Engine: 102, State: Ready})
	for round := range 120 {
		for i, s := range f.all {
			for range 1 + r.Intn(3) {
				s.arrive(TypeID(r.Intn(3)), Key(r.Intn(4)), TableGroup(r.Intn(4)))
			}
			for _, j := range slices.Clone(s.taken) {
				switch roll := r.Intn(20); {
				case !j.out() || roll > 8:
				case roll == 0:
					s.finish(j.ev.Job, Failed)
				default:
					s.finish(j.ev.Job, Done)
				}
			}
			if round%40 == 10*i {
				s.list(ListDelta, EngineEntry{Engine: 101, State: Draining, Zone: 1})
			} else if round%40 == 10*i+5 {
				s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, Zone: 1})
			}
		}
		f.pass(40 * ms)
	}
	said := []byte{mapMarker, 1, 2, 3, 4}
	f.all[watched].tell(Event{Kind: GossipReceived, Peer: 2, Payload: said})
	f.all[watched].tell(Event{Kind: GossipReceived, Peer: 77, Payload: said})
	f.all[watched].tell(Event{Kind: GossipReceived, Peer: 3, Payload: said[:3]})
	f.pass(2 * second)
}

// playFleet has one of forty controllers look at a few of thirty engines, whose reports tell of many siblings, in calm, in
// a burst and after it, while engines restart.
func playFleet(t *testing.T, watch func(*stage)) {
	f := plainFacts().set("balancers", 40.0).set("me", 7.0).set("tariffs", map[string]any{"probe": 0.01, "peer": 0.01})
	s := newStage(t, f.set("telemetry.fields", []any{"load_share", "x0"}).set("domain.says_cost", false), 0)
	watch(s)
	restart(s)
	var lines []EngineEntry
	for i := range 30 {
		lines = append(lines, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3)})
	}
	s.list(FullList, lines...)
	s.hums(2*second, 0.04)
	s.hums(2*second, 0.25)
	for i := range 8 {
		s.list(ListDelta, EngineEntry{Engine: EngineID(200 + i), State: Ready, Zone: ZoneID(i % 3), StartedAt: s.now})
	}
	s.hums(4*second, 0.04)
}

// playGranted has reports that tell of memory granted by the engines themselves, at each answer, under chaos.
func playGranted(t *testing.T, watch func(*stage)) {
	f := plainFacts().set("telemetry.fields", []any{"load_share", "x0"}).set("domain.grants_count", false)
	s := newStage(t, f.set("domain.note_period_ns", 2e8).set("balancers", 5.0), 0)
	watch(s)
	r := rand.New(rand.NewSource(13))
	s.load = func(EngineID) []float64 { return []float64{r.Float64(), 2 * r.Float64()} }
	restart(s)
	s.chaos(r, 200)
}

// playTurns has one of twelve controllers send to engines that restart, as the list tells or as their few jobs show, while
// progress is reported that now and then shows a bad plan.
func playTurns(t *testing.T, watch func(*stage)) {
	s := newStage(t, plainFacts().set("balancers", 12.0).set("me", 3.0).set("domain.note_period_ns", 2e8), 0)
	watch(s)
	r := rand.New(rand.NewSource(14))
	s.load = func(EngineID) []float64 { return []float64{[]float64{14, 16, 18, 2, 1, 0}[r.Intn(6)]} }
	restart(s)
	for round := range 300 {
		typ := TypeID(r.Intn(2))
		s.arriveAs(Event{Type: typ, Tables: TableGroup(r.Intn(3)), TimeLeft: 8 * second, Cost: Nanos(1+r.Intn(30)) * 40 * ms, CostKnown: true, MemoryMB: 300})
		if round%50 == 20 {
			id := EngineID(100 + r.Intn(3))
			s.list(ListDelta, EngineEntry{Engine: id, State: Ready, StartedAt: s.now, Zone: ZoneID(id % 2)})
		}
		for _, j := range slices.Clone(s.taken) {
			if !j.out() {
				continue
			}
			last := len(j.sends) - 1
			switch roll := r.Intn(40); {
			case j.sends[last].called:
				s.finish(j.ev.Job, Canceled)
			case roll == 0:
				s.finish(j.ev.Job, Unreachable)
			case roll < 12:
				s.finish(j.ev.Job, Done)
			case roll < 36:
				s.tell(Event{Kind: ProgressReported, Job: j.ev.Job, Seq: AttemptSeq(last), Engine: j.sends[last].engine, Progress: ProgressFraction, Amount: r.Float64()})
			}
		}
		s.pass(50 * ms)
	}
}

// fill sets each exported field of a value, however deep, to something that is not zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(-7)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(math.Pi)
	case reflect.String:
		v.SetString("some")
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.Interface:
		v.Set(reflect.ValueOf([]any{1.5, "text", true, nil, map[string]any{"a": []any{}}}))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[TypeStats]() {
			m := v.Addr().Interface().(*TypeStats)
			for i, part := range m.figures() {
				*part = float64(i) + 0.1
			}
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	default:
		panic("no filling for " + v.Kind().String())
	}
}

// TestRecordedEventsHaveEveryField: a field of an event that a stream would lose is seen here.
func TestRecordedEventsHaveEveryField(t *testing.T) {
	var whole Event
	fill(reflect.ValueOf(&whole).Elem())
	events := []Event{whole, {}}
	for i := range reflect.TypeFor[Event]().NumField() {
		var one Event
		fill(reflect.ValueOf(&one).Elem().Field(i))
		events = append(events, one)
	}
	for kind := range EventKind(20) {
		events = append(events, Event{Kind: kind, Result: Result(kind), List: ListKind(kind), Engines: []EngineEntry{{State: EngineState(kind)}}})
	}
	for i, ev := range events {
		var step recordedStep
		if err := json.Unmarshal(encodeStep(t, recordedStep{Event: recorded(ev)}), &step); err != nil {
			t.Fatal(err)
		}
		if got := step.Event.event(t); !reflect.DeepEqual(got, ev) {
			t.Errorf("event %d: %+v is read as %+v", i, ev, got)
		}
	}
	for i := range 9 {
		var m TypeStats
		*m.figures()[i] = math.E
		if got := recorded(Event{TypeStats: []TypeStats{m}}).event(t).TypeStats[0]; got != m {
			t.Errorf("mean %d: %+v is read as %+v", i, m, got)
		}
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.Copysign(0, -1), 1.0 / 3, 5e-324, math.MaxFloat64} {
		var step recordedStep
		if err := json.Unmarshal(encodeStep(t, recordedStep{Event: recorded(Event{MemoryMB: v})}), &step); err != nil {
			t.Fatal(err)
		}
		if got := step.Event.event(t).MemoryMB; math.Float64bits(got) != math.Float64bits(v) {
			t.Errorf("%v is read as %v", v, got)
		}
	}
}

// TestDigestsTellEveryFieldOfAnAction: a field whose change a digest would hide is seen here.
func TestDigestsTellEveryFieldOfAnAction(t *testing.T) {
	for i := range reflect.TypeFor[Action]().NumField() {
		one, other := Action{Kind: Dispatch}, Action{Kind: Dispatch}
		if fill(reflect.ValueOf(&other).Elem().Field(i)); one == other {
			other.Kind = SendProbe
		}
		if digestOf([]Action{one}) == digestOf([]Action{other}) {
			t.Errorf("field %s is not in the digest", reflect.TypeFor[Action]().Field(i).Name)
		}
	}
	a, b := Action{Kind: Log, Text: "a"}, Action{Kind: Log, Text: "b"}
	if digestOf([]Action{a}) != digestOf([]Action{b}) || slices.Equal(logTexts([]Action{a}), logTexts([]Action{b})) {
		t.Error("the text of a log line is to be compared apart from the decisions")
	}
	if digestOf([]Action{a, {Kind: SendProbe}}) == digestOf([]Action{{Kind: SendProbe}, a}) {
		t.Error("the order of actions is not in the digest")
	}
}
