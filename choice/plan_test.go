package choice

import (
	"math/rand"
	"strings"
	"testing"
)

// newPlannedSimulation has four engines and a plan that prefers engine 103 for type 0 and gives tenant 1 most threads.
func newPlannedSimulation(tb testing.TB, raw RawSettings) (*simulation, *Plan) {
	tb.Helper()
	s := newSimulation(tb, raw, 4)
	p := &Plan{Tenants: []PlanTenant{{0, 0.25}, {1, 0.75}}, DemandThreads: 8, MaxDemandRatio: 3,
		Engines: []PlanEngine{{100, 4}, {101, 4}, {102, 4}, {103, 4}}, Weights: []PlanWeight{{0, 103, 1}}}
	s.handle(Event{Kind: PlanUpdated, Plan: p})
	return s, p
}

// offerLoad submits jobs each 25 ms; one each keeps the demand as planned: 4 threads, our half of the fleet's.
func (s *simulation) offerLoad(duration Nanos, jobs int) {
	for end := s.now + duration; s.now < end; {
		for range jobs {
			s.finish(s.arrive(0, 0, 0), Done)
		}
		s.advance(25 * ms)
	}
}

func TestPlanSharesAndPreferencesWithinCapacity(t *testing.T) {
	s, _ := newPlannedSimulation(t, testSettings())
	total := s.c.fleet.cores * 2 * s.c.fleet.share
	require(t, s.c.bucketLimit(&bucket{tenant: 1}) == 0.75*total && s.c.bucketLimit(&bucket{tenant: 0}) == 0.25*total,
		"bucket limits do not follow the plan")
	for range 4 {
		to := s.enginesOf(s.arrive(0, 0, 0))
		require(t, len(to) == 1 && to[0] == 103, "dispatched to %v", to)
	}
	for range 40 { // the concurrency limit takes precedence over the plan
		s.arrive(0, 0, 0)
	}
	e := s.c.engines[3]
	require(t, e.ownThreads <= 2.5*e.cores*s.c.fleet.share && s.c.engines[0].ownThreads > 0,
		"%v threads at the preferred engine", e.ownThreads)
}

func TestPlanFadesWithItsEnginesAndResumesLater(t *testing.T) {
	s, p := newPlannedSimulation(t, testSettings())
	p.Engines[0].Threads = 1.5
	s.handle(Event{Kind: PlanUpdated, Plan: p})
	setState := func(id EngineID, state EngineState) {
		s.list(ListDelta, EngineEntry{Engine: id, State: state, Zone: ZoneID(id % 2)})
	}
	setState(100, Draining)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight > 0.4 && s.c.planWeight < 0.5, "plan weight %v with a ninth of its threads missing",
		s.c.planWeight)
	setState(101, Removed)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0 && strings.Count(s.logText, "plan followed=false") == 1, "plan weight %v, log %q",
		s.c.planWeight, s.logText)
	require(t, s.c.bucketLimit(&bucket{tenant: 1}) == s.c.bucketLimit(&bucket{tenant: 0}),
		"bucket limits still follow the dropped plan")
	setState(101, Ready)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0, "the plan is resumed too early")
	setState(100, Ready)
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 1 && strings.Count(s.logText, "plan followed=true") == 1, "plan weight %v, log %q",
		s.c.planWeight, s.logText)
	s.list(ListDelta, EngineEntry{Engine: 104, State: Ready}, EngineEntry{Engine: 105, State: Ready})
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0, "plan weight %v with a third of the fleet not in the plan", s.c.planWeight)
	s.handle(Event{Kind: PlanUpdated})
	s.offerLoad(second, 1)
	require(t, s.c.planWeight == 0 && s.c.plan == nil, "a withdrawn plan is still followed")
}

func TestPlanIsNotFollowedWhenDemandIsOff(t *testing.T) {
	s, _ := newPlannedSimulation(t, testSettings())
	s.offerLoad(21*second, 1) // 0.1 s of work each 25 ms are 4 threads, as planned
	require(t, s.c.planWeight == 1, "plan weight %v at the planned demand", s.c.planWeight)
	s.offerLoad(30*second, 5)
	require(t, s.c.planWeight == 0, "plan weight %v at five times the planned demand", s.c.planWeight)
	s.offerLoad(60*second, 1)
	require(t, s.c.planWeight == 1, "plan weight %v at the planned demand again, %v threads offered", s.c.planWeight,
		s.c.offeredThreads)
	s.advance(40 * second)
	require(t, s.c.planWeight == 0, "plan weight %v without demand", s.c.planWeight)
}

// FuzzRulesWithPlans checks that no plan, however wrong, breaks a rule.
func FuzzRulesWithPlans(f *testing.F) {
	for seed := range int64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		s, _ := newPlannedSimulation(t, testSettings())
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
	for _, mode := range []string{"without", "with"} {
		b.Run(mode+" a plan", func(b *testing.B) { runDecides(b.N, mode == "with") })
	}
}

// runDecides admits and completes n jobs, with two calls of Decide each, in a fleet of 40 engines.
func runDecides(n int, withPlan bool) {
	var c Controller
	now := Nanos(1e12)
	c.Decide(now, Event{Kind: Started, Seed: 3, Settings: ParseSettings(testSettings())})
	p := &Plan{Tenants: []PlanTenant{{0, 1}}, DemandThreads: 40, MaxDemandRatio: 1e9}
	var entries []EngineEntry
	for i := range EngineID(40) {
		entries = append(entries, EngineEntry{Engine: i, State: Ready})
		p.Engines = append(p.Engines, PlanEngine{i, 8})
		for t := range TypeID(3) {
			p.Weights = append(p.Weights, PlanWeight{t, i, float64(i%7) / 7})
		}
	}
	c.Decide(now, Event{Kind: EnginesListed, List: FullList, Engines: entries})
	if withPlan {
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
