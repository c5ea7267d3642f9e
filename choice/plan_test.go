package choice

import (
	"math/rand"
	"strings"
	"testing"
)

// planned is a stage of four engines whose plan wants type 0 on engine 103 and gives tenant 1 most.
func newPlannedStage(tb testing.TB, f RawSettings) (*stage, *Plan) {
	tb.Helper()
	s := newStage(tb, f, 4)
	p := &Plan{Tenants: []PlanTenant{{0, 0.25}, {1, 0.75}}, DemandThreads: 8, MaxDemandRatio: 3,
		Engines: []PlanEngine{{100, 4}, {101, 4}, {102, 4}, {103, 4}}, Weights: []PlanWeight{{0, 103, 1}}}
	s.handle(Event{Kind: PlanUpdated, Plan: p})
	return s, p
}

// offer keeps the mean of what is asked near the plan's: 4 threads of our half of the demand.
func (s *stage) offerLoad(span Nanos, each int) {
	for end := s.now + span; s.now < end; {
		for range each {
			s.finish(s.arrive(0, 0, 0), Done)
		}
		s.pass(25 * ms)
	}
}

func TestPlanSharesAndPreferencesWithinCapacity(t *testing.T) {
	s, _ := newPlannedStage(t, plainSettings())
	mean := s.c.fleet.cores * 2 * s.c.fleet.share
	require(t, s.c.bucketLimit(&bucket{tenant: 1}) == 0.75*mean && s.c.bucketLimit(&bucket{tenant: 0}) == 0.25*mean,
		"limits do not follow")
	for range 4 {
		to := s.enginesOf(s.arrive(0, 0, 0))
		require(t, len(to) == 1 && to[0] == 103, "sent to %v", to)
	}
	for range 40 { // its bound stands above the plan
		s.arrive(0, 0, 0)
	}
	e := s.c.engines[3]
	require(t, e.ownThreads <= 2.5*e.cores*s.c.fleet.share && s.c.engines[0].ownThreads > 0,
		"%v threads at the engine meant for them", e.ownThreads)
}

func TestPlanFadesWithItsEnginesAndResumesLater(t *testing.T) {
	s, p := newPlannedStage(t, plainSettings())
	p.Engines[0].Threads = 1.5
	s.handle(Event{Kind: PlanUpdated, Plan: p})
	line := func(id EngineID, state EngineState) {
		s.list(ListDelta, EngineEntry{Engine: id, State: state, Zone: ZoneID(id % 2)})
	}
	line(100, Draining)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight > 0.4 && s.c.planWeight < 0.5, "a ninth of its threads gone: hold %v", s.c.planWeight)
	line(101, Removed)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0 && strings.Count(s.logText, "plan followed=false") == 1, "hold %v, log %q",
		s.c.planWeight, s.logText)
	require(t, s.c.bucketLimit(&bucket{tenant: 1}) == s.c.bucketLimit(&bucket{tenant: 0}), "limits of a plan ejected")
	line(101, Ready)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0, "back too soon")
	line(100, Ready)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 1 && strings.Count(s.logText, "plan followed=true") == 1, "hold %v, log %q",
		s.c.planWeight, s.logText)
	s.list(ListDelta, EngineEntry{Engine: 104, State: Ready}, EngineEntry{Engine: 105, State: Ready})
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0, "a third of the fleet is not in the plan: hold %v", s.c.planWeight)
	s.handle(Event{Kind: PlanUpdated})
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0 && s.c.plan == nil, "a plan taken back")
}

func TestPlanIsNotFollowedWhenDemandIsOff(t *testing.T) {
	s, _ := newPlannedStage(t, plainSettings())
	s.offerLoad(21*second, 1) // 0.1 s of work each 25 ms: 4 threads, as planned
	require(t, s.c.planWeight == 1, "as planned: hold %v", s.c.planWeight)
	s.offerLoad(30*second, 5)
	require(t, s.c.planWeight == 0, "five times as much: hold %v", s.c.planWeight)
	s.offerLoad(60*second, 1)
	require(t, s.c.planWeight == 1, "as planned again: hold %v of %v", s.c.planWeight, s.c.offeredThreads)
	s.pass(40 * second)
	require(t, s.c.planWeight == 0, "nothing asked: hold %v", s.c.planWeight)
}

// All rules hold with a plan as without, however wrong it is.
func FuzzRulesWithPlans(f *testing.F) {
	for seed := range int64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		s, _ := newPlannedStage(t, plainSettings())
		for range 5 {
			p := &Plan{DemandThreads: r.Float64() * 40, MaxDemandRatio: 1 + 5*r.Float64()}
			for i := range 5 {
				p.Tenants = append(p.Tenants, PlanTenant{TenantID(i), r.Float64()})
				p.Engines = append(p.Engines, PlanEngine{EngineID(100 + i), r.Float64() * 9})
				p.Weights = append(p.Weights, PlanWeight{TypeID(i), EngineID(100 + r.Intn(6)), r.Float64()})
			}
			s.handle(Event{Kind: PlanUpdated, Plan: p})
			s.chaos(r, 50)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, with := range []string{"without", "with"} {
		b.Run(with+" a plan", func(b *testing.B) { RunDecides(b.N, with == "with") })
	}
}

// RunDecides takes jobs in and out: n of them, each two calls of Decide, at a fleet of 40 engines.
func RunDecides(n int, plan bool) {
	var c Controller
	now := Nanos(1e12)
	c.Decide(now, Event{Kind: Started, Seed: 3, Settings: ParseSettings(plainSettings())})
	p := &Plan{Tenants: []PlanTenant{{0, 1}}, DemandThreads: 40, MaxDemandRatio: 1e9}
	var lines []EngineEntry
	for i := range EngineID(40) {
		lines = append(lines, EngineEntry{Engine: i, State: Ready})
		p.Engines = append(p.Engines, PlanEngine{i, 8})
		for t := range TypeID(3) {
			p.Weights = append(p.Weights, PlanWeight{t, i, float64(i%7) / 7})
		}
	}
	c.Decide(now, Event{Kind: EnginesListed, List: FullList, Engines: lines})
	if plan {
		c.Decide(now, Event{Kind: PlanUpdated, Plan: p})
	}
	for i := range n {
		now += ms
		id := JobID(i + 1)
		to := EngineID(0)
		for _, a := range c.Decide(now, Event{Kind: JobArrived, Job: id, Type: TypeID(i % 2), TimeLeft: second,
			Cost: 50 * ms, CostKnown: true}) {
			if a.Kind == Dispatch {
				to = a.Engine
			}
		}
		c.Decide(now, Event{Kind: AttemptEnded, Job: id, Engine: to, Result: Done, IsFinal: true, Latency: 50 * ms})
		if i%20 == 0 {
			c.Decide(now, Event{Kind: TimerFired, TimerID: c.timerID})
		}
	}
}
