package choice

import (
	"fmt"
	"math/rand"
	"testing"
)

func TestSlowStartEngineStandsSumOfAllControllers(t *testing.T) {
	for _, n := range []int{3, 20, 30} {
		for _, multiple := range []float64{2.5, 0.5} { // 0.5: the part of each controller is far below one call
			for name, scenario := range map[string]slowStartScenario{
				"even":                      {},
				"uneven":                    {uneven: true},
				"listed at different times": {uneven: true, listDelay: 3 * second},
				"controllers restart":       {uneven: true, restarts: (n + 1) / 2, listDelay: second},
				"not listed":                {uneven: true, unlisted: true},
				"skewed clocks":             {uneven: true, skew: 100 * ms, listDelay: second},
				"wall clocks hours apart":   {uneven: true, wallSkew: 7200 * second, listDelay: second},
			} {
				scenario.controllers, scenario.multiple = n, multiple
				t.Run(fmt.Sprintf("%d controllers, multiple %.1f, %s", n, multiple, name), func(t *testing.T) {
					t.Parallel()
					var total scenarioResult
					const seeds = 6
					for seed := range int64(seeds) {
						result := scenario.play(seed)
						total.calls = max(total.calls, result.calls)
						total.works = max(total.works, result.works)
						total.used += result.used / seeds
						total.budget = result.budget
					}
					t.Logf("budget=%.1f: at most %.2f of the tolerated calls, %.2f of the work; used %.2f of the budget",
						total.budget, total.calls, total.works, total.used)
					if total.calls > 1 || total.works > 1 {
						t.Error("the engine is overloaded")
					}
				})
			}
		}
	}
}

// Controllers see the engine's restart at different times and may differ in the mean work of their longest type. At no
// time do more controllers have a turn than the largest number of turns that one of them counts.
func TestSlowStartTurnsFollowSharedClock(t *testing.T) {
	const n = 30
	scenario := slowStartScenario{controllers: n, multiple: 2.5}
	const start = Nanos(1e15)
	for turns, longest := range map[int]func(float64) float64{
		1: func(float64) float64 { return 10e9 },
		4: func(random float64) float64 { return 3e9 + 12e9*random },
	} {
		random := rand.New(rand.NewSource(3))
		var fleet []*Controller
		for i := range n {
			c := &Controller{}
			c.Decide(start, Event{Kind: Started, Seed: uint64(i), Settings: ParseSettings(scenario.settings(i))})
			c.Decide(start, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: startedEngine,
				State: Ready}}})
			c.engines[0].suspectedRestartAt = start + 3*second + Nanos(random.Float64()*4*float64(slowStartBudgetWindow))
			c.types[1].meanWork, c.types[2].meanWork = float64(second), longest(random.Float64())
			fleet = append(fleet, c)
		}
		total := 0
		for now := start + 11*second; now < start+17*second; now += 50 * ms {
			allowed := 0
			for _, c := range fleet {
				c.now = now
				if c.slowStartAllows(&job{jobType: c.types[0], work: 1e6}, c.engines[0]) {
					allowed++
				}
			}
			total += allowed
			require(t, allowed <= turns, "%d of %d controllers have a turn at once, at most %d are allowed", allowed, n, turns)
		}
		require(t, total > 0, "no controller ever has a turn")
	}
}

// An engine that refused a connection and was not seen since may have just restarted, also long after the outage. A job
// that is too large for an engine in slow start must not be dispatched to it.
func TestRefusingEngineIsInSlowStartUntilSeen(t *testing.T) {
	raw := testSettings().set("limits.probes", false)
	s := newSimulation(t, raw, 1)
	s.advance(2 * second)
	first := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first)) == 1, "not dispatched to a warm engine")
	s.finish(first, ConnectionRefused)
	s.advance(20 * second)
	large := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first))+len(s.enginesOf(large)) == 1,
		"dispatched to an engine that may have just restarted: %v, %v", s.enginesOf(first), s.enginesOf(large))
	small := s.arrive(0, 0, 1)
	s.advance(3 * second)
	require(t, len(s.enginesOf(small)) == 1, "a small job is not dispatched to it")
	s.finish(small, Done)
	s.advance(11 * second)
	third := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(third)) == 1, "not dispatched after the slow start")
}

// Guards against a large fleet that never uses engines in slow start: a controller seldom has a turn, and its random
// sample then seldom contains the engine. With 276 controllers and half of the engines in slow start, none of these got
// a job until their slow start ended, the other half was overloaded with three times its threads, and 85% of the jobs
// were rejected.
func TestSlowStartEngineIsUsedByLargeFleet(t *testing.T) {
	scenario := slowStartScenario{controllers: 120, multiple: 2.5}
	result := scenario.play(1)
	t.Logf("budget=%.1f: at most %.2f of the tolerated calls, %.2f of the work; used %.2f of the budget", result.budget,
		result.calls, result.works, result.used)
	if result.calls > 1 || result.works > 1 || result.used < 0.05 {
		t.Errorf("at most %.2f of the tolerated calls, %.2f of the work; used %.2f of the budget", result.calls,
			result.works, result.used)
	}
}

// Peer load is estimated over engines that take jobs: if half are in slow start, the other half holds all of it.
func TestContentionCountsEnginesThatTakeJobs(t *testing.T) {
	raw := testSettings().set("limits.probes", false).set("telemetry", map[string]any{}).set("balancers", 40.0)
	s := newSimulation(t, raw, 4)
	s.advance(3 * second)
	require(t, s.c.fleet.cores == 32, "%v cores of four warm engines", s.c.fleet.cores)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now},
		EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	s.advance(200 * ms)
	require(t, s.c.fleet.cores == 16, "%v cores take jobs with two of four engines in slow start", s.c.fleet.cores)
	s.c.fleet.contention = 2
	s.advance(100 * ms)
	for _, e := range s.c.engines {
		inSlowStart := s.c.slowStartFraction(e) < 1
		require(t, inSlowStart == (e.peerThreads < 0.1), "peer threads %v at an engine, in slow start: %v",
			e.peerThreads, inSlowStart)
	}
	s.advance(12 * second)
	require(t, s.c.fleet.cores == 32, "%v cores after the slow start", s.c.fleet.cores)
}
