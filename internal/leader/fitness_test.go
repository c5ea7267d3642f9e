package leader

import (
	"math/rand/v2"
	"testing"
)

func healthy(name string) Health {
	return Health{Name: name, Reachable: true, Serving: true, ReadyEngines: 3, ReachableMembers: 9, Members: 10}
}

// unhealthy returns a voter's health with one fault.
func unhealthy(name string, fault func(*Health)) Health {
	health := healthy(name)
	fault(&health)
	return health
}

func TestAnUnfitLeaderHandsOverToAFitVoter(t *testing.T) {
	others := []Health{
		unhealthy("b", func(h *Health) { h.Reachable = false }),
		unhealthy("c", func(h *Health) { h.ReadyEngines = 0 }),
		healthy("d"),
	}
	for reason, fault := range map[string]func(*Health){
		"its controller does not serve":       func(h *Health) { h.Serving = false },
		"its controller sees no ready engine": func(h *Health) { h.ReadyEngines = 0 },
		"reaches 4 of 10 members":             func(h *Health) { h.ReachableMembers = 4 },
	} {
		own := unhealthy("a", fault)
		t.Run(reason, func(t *testing.T) {
			var monitor FitnessMonitor
			if got := monitor.Evaluate(1e9, own, others); got.Successor != "" {
				t.Errorf("handed over to %s without a delay", got.Successor)
			}
			if got := monitor.Evaluate(1e9+handoverDelay, own, others); got != (Handover{Successor: "d", Reason: reason}) {
				t.Errorf("%+v", got)
			}
		})
		t.Run(reason+", for a moment", func(t *testing.T) {
			var monitor FitnessMonitor
			monitor.Evaluate(1e9, own, others)
			monitor.Evaluate(2e9, healthy("a"), others)
			if got := monitor.Evaluate(1e9+handoverDelay, own, others); got.Successor != "" {
				t.Errorf("to %s", got.Successor)
			}
		})
		t.Run(reason+", and the others are no better", func(t *testing.T) {
			var monitor FitnessMonitor
			monitor.Evaluate(1e9, own, others[:2])
			if got := monitor.Evaluate(100e9, own, others[:2]); got.Successor != "" {
				t.Errorf("to %s", got.Successor)
			}
		})
	}
}

func TestALeaderThatStallsOftenHandsOver(t *testing.T) {
	var monitor FitnessMonitor
	own, others := healthy("a"), []Health{healthy("b")}
	for now := int64(1e9); now < 60e9; now += 5e9 {
		own.StalledTicks++
		if got := monitor.Evaluate(now, own, others); got.Successor != "" {
			t.Fatalf("handed over to %s with one stall in 5 s", got.Successor)
		}
	}
	for now := int64(60e9); now < 70e9; now += 1e9 {
		own.StalledTicks++
		if monitor.Evaluate(now, own, others).Successor == "b" {
			return
		}
	}
	t.Error("no handover with one stall per second")
}

// Three voters become unfit and fit again at random for an hour, each unfit half of the time. Handovers must be rare.
func TestVotersThatAreUnfitInTurnsDoNotHandBackAndForth(t *testing.T) {
	const interval = int64(5e8)
	random := rand.New(rand.NewPCG(5, 5))
	names := []string{"a", "b", "c"}
	monitors, changesAt, isUnfit := map[string]*FitnessMonitor{}, map[string]int64{}, map[string]bool{}
	for _, name := range names {
		monitors[name] = &FitnessMonitor{}
	}
	leader, changes, unfitTime := "a", 0, int64(0)
	for now := interval; now < 3600e9; now += interval {
		var own Health
		var others []Health
		for _, name := range names {
			if now >= changesAt[name] {
				isUnfit[name] = random.IntN(2) == 0
				changesAt[name] = now + random.Int64N(20e9)
			}
			health := healthy(name)
			if isUnfit[name] {
				health.ReadyEngines = 0
			}
			if name == leader {
				own = health
			} else {
				others = append(others, health)
			}
		}
		if own.unfitReason() != "" {
			unfitTime += interval
		}
		if got := monitors[leader].Evaluate(now, own, others); got.Successor != "" {
			leader = got.Successor
			changes++
		}
	}
	t.Logf("%d changes an hour, unfit %.0f%% of it", changes, 100*float64(unfitTime)/3600e9)
	if changes == 0 || changes > 40 {
		t.Errorf("%d changes an hour", changes)
	}
}
