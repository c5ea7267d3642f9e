package choice

import (
	"fmt"
	"math/rand"
	"testing"
)

func TestSlowStartEngineStandsSumOfAllControllers(t *testing.T) {
	for _, n := range []int{3, 20, 30} {
		for _, multiple := range []float64{2.5, 0.5} { // 0.5: a part is far under one call
			for name, d := range map[string]slowStartScenario{
				"even":                    {},
				"uneven":                  {uneven: true},
				"told at different times": {uneven: true, listDelay: 3 * second},
				"restarted meanwhile":     {uneven: true, restarts: (n + 1) / 2, listDelay: second},
				"told by no list":         {uneven: true, unlisted: true},
				"clocks apart":            {uneven: true, skew: 100 * ms, listDelay: second},
				"wall clocks hours apart": {uneven: true, wallApart: 7200 * second, listDelay: second},
			} {
				d.controllers, d.multiple = n, multiple
				t.Run(fmt.Sprintf("%d controllers, times %.1f, %s", n, multiple, name), func(t *testing.T) {
					t.Parallel()
					var total scenarioResult
					const seeds = 6
					for seed := range int64(seeds) {
						result := d.play(seed)
						total.calls = max(total.calls, result.calls)
						total.works = max(total.works, result.works)
						total.used += result.used / seeds
						total.budget = result.budget
					}
					t.Logf("N=%.1f: at most %.2f of what stands in calls, %.2f in work; used %.2f of N", total.budget, total.calls,
						total.works, total.used)
					if total.calls > 1 || total.works > 1 {
						t.Error("pushed over")
					}
				})
			}
		}
	}
}

// Each controller saw the engine come back at a time of its own, and they may differ in how long their longest jobs
// are: at no moment do more of them have a turn than the one that counts most turns.
func TestSlowStartTurnsFollowSharedClock(t *testing.T) {
	const n = 30
	d := slowStartScenario{controllers: n, multiple: 2.5}
	const start = Nanos(1e15)
	for turns, longest := range map[int]func(float64) float64{
		1: func(float64) float64 { return 10e9 },
		4: func(random float64) float64 { return 3e9 + 12e9*random },
	} {
		random := rand.New(rand.NewSource(3))
		var fleet []*Controller
		for i := range n {
			c := &Controller{}
			c.Decide(start, Event{Kind: Started, Seed: uint64(i), Settings: ParseSettings(d.settings(i))})
			c.Decide(start, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: startedEngine,
				State: Ready}}})
			c.engines[0].suspectedRestartAt = start + 3*second + Nanos(random.Float64()*4*float64(overloadWindow))
			c.types[1].meanWork, c.types[2].meanWork = float64(second), longest(random.Float64())
			fleet = append(fleet, c)
		}
		some := 0
		for now := start + 11*second; now < start+17*second; now += 50 * ms {
			have := 0
			for _, c := range fleet {
				c.now = now
				if c.slowStartAllows(&job{jobType: c.types[0], work: 1e6}, c.engines[0]) {
					have++
				}
			}
			some += have
			require(t, have <= turns, "%d of %d have one of %d turns at once", have, n, turns)
		}
		require(t, some > 0, "nobody ever has a turn")
	}
}

// An engine refused, and nothing was heard of it since; the outage is long over. It may have come back in this
// moment: a job that an engine in slow start would not stand does not go there.
func TestRefusingEngineIsInSlowStartUntilSeen(t *testing.T) {
	f := plainSettings().set("limits.probes", false)
	s := newStage(t, f, 1)
	s.pass(2 * second)
	first := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first)) == 1, "not sent to a warm engine")
	s.finish(first, Unreachable)
	s.pass(20 * second)
	large := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first))+len(s.enginesOf(large)) == 1, "sent where it may just have started: %v, %v",
		s.enginesOf(first), s.enginesOf(large))
	small := s.arrive(0, 0, 1)
	s.pass(3 * second)
	require(t, len(s.enginesOf(small)) == 1, "nothing is sent there any more")
	s.finish(small, Done)
	s.pass(11 * second)
	third := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(third)) == 1, "cold for ever")
}

// Seen on another deployment's herd day with 276 controllers: half of the engines were cold, no job was sent to one
// of them in their whole warm-up, all went to the other half, which stood still under three times their threads, and
// 85% of the jobs were refused. A turn came to each controller seldom, and its few engines by chance were others
// then.
func TestSlowStartEngineIsUsedByLargeFleet(t *testing.T) {
	d := slowStartScenario{controllers: 120, multiple: 2.5}
	result := d.play(1)
	t.Logf("N=%.1f: at most %.2f of what stands in calls, %.2f in work; used %.2f of N", result.budget, result.calls,
		result.works, result.used)
	if result.calls > 1 || result.works > 1 || result.used < 0.05 {
		t.Errorf("at most %.2f and %.2f of what stands, %.2f of N used", result.calls, result.works, result.used)
	}
}

// What we think others hold goes by the engines that take jobs: where half are cold, the others hold all.
func TestContentionCountsEnginesThatTakeJobs(t *testing.T) {
	f := plainSettings().set("limits.probes", false).set("telemetry", map[string]any{}).set("balancers", 40.0)
	s := newStage(t, f, 4)
	s.pass(3 * second)
	require(t, s.c.fleet.cores == 32, "%v cores of four warm engines", s.c.fleet.cores)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now},
		EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	s.pass(200 * ms)
	require(t, s.c.fleet.cores == 16, "%v cores take jobs where two of four are cold", s.c.fleet.cores)
	s.c.fleet.contention = 2
	s.pass(100 * ms)
	for _, e := range s.c.engines {
		inSlowStart := s.c.slowStartFraction(e) < 1
		require(t, inSlowStart == (e.siblingThreads < 0.1), "others hold %v threads of an engine that is cold: %v",
			e.siblingThreads, inSlowStart)
	}
	s.pass(12 * second)
	require(t, s.c.fleet.cores == 32, "%v cores once all are warm", s.c.fleet.cores)
}
