package leader

import (
	"math/rand/v2"
	"testing"
)

func well(name string) Health {
	return Health{Name: name, Reachable: true, Serving: true, ReadyEngines: 3, ReachableMembers: 9, Members: 10}
}

func TestAnUnfitOwnerHandsOverToOneThatIsFit(t *testing.T) {
	bad := func(name string, as func(*Health)) Health {
		h := well(name)
		as(&h)
		return h
	}
	for why, own := range map[string]Health{
		"its controller does not serve": bad("a", func(h *Health) { h.Serving = false }), "its controller sees no ready engine": bad("a", func(h *Health) { h.ReadyEngines = 0 }),
		"reaches 4 of 10 members": bad("a", func(h *Health) { h.ReachableMembers = 4 })} {
		var f FitnessMonitor
		others := []Health{bad("b", func(h *Health) { h.Reachable = false }), bad("c", func(h *Health) { h.ReadyEngines = 0 }), well("d")}
		if to := f.Evaluate(1e9, own, others).To; to != "" {
			t.Errorf("%s: at once to %s", why, to)
		}
		if got := f.Evaluate(1e9+handoverDelay, own, others); got != (Handover{To: "d", Reason: why}) {
			t.Errorf("%s: %+v", why, got)
		}
		f = FitnessMonitor{}
		f.Evaluate(1e9, own, others)
		f.Evaluate(2e9, well("a"), others)
		if to := f.Evaluate(1e9+handoverDelay, own, others).To; to != "" {
			t.Errorf("%s: for a moment, and it hands over to %s", why, to)
		}
		f = FitnessMonitor{}
		f.Evaluate(1e9, own, others[:2])
		if to := f.Evaluate(100e9, own, others[:2]).To; to != "" {
			t.Errorf("%s: to %s, which is no better", why, to)
		}
	}
	// Stalls, of late only.
	var f FitnessMonitor
	own := well("a")
	for now := int64(1e9); now < 60e9; now += 5e9 {
		own.StalledTicks++
		if to := f.Evaluate(now, own, []Health{well("b")}).To; to != "" {
			t.Fatalf("one stall in 5 s: %s", to)
		}
	}
	handed := false
	for now := int64(60e9); now < 70e9 && !handed; now += 1e9 {
		own.StalledTicks++
		to := f.Evaluate(now, own, []Health{well("b")}).To
		handed = to == "b"
	}
	if !handed {
		t.Error("a stall a second, and it stays")
	}
}

// Voters whose health comes and goes by chance hand over seldom: an hour, and all of them bad half of the time.
func TestOwnersThatAreUnfitByTurnsDoNotHandToAndFro(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	names := []string{"a", "b", "c"}
	fit, goodUntil := map[string]*FitnessMonitor{}, map[string]int64{}
	isBad := map[string]bool{}
	for _, n := range names {
		fit[n] = &FitnessMonitor{}
	}
	owner, changes, unfit := "a", 0, int64(0)
	const look = int64(5e8)
	for now := look; now < 3600e9; now += look {
		all := map[string]Health{}
		for _, n := range names {
			if now >= goodUntil[n] {
				isBad[n], goodUntil[n] = r.IntN(2) == 0, now+r.Int64N(20e9)
			}
			h := well(n)
			if isBad[n] {
				h.ReadyEngines = 0
			}
			all[n] = h
		}
		if all[owner].unfitReason() != "" {
			unfit++
		}
		var others []Health
		for _, n := range names {
			if n != owner {
				others = append(others, all[n])
			}
		}
		if to := fit[owner].Evaluate(now, all[owner], others).To; to != "" {
			owner, changes = to, changes+1
		}
	}
	t.Logf("%d changes an hour, unfit %.0f%% of it", changes, 100*float64(unfit*look)/3600e9)
	if changes == 0 || changes > 40 {
		t.Errorf("%d changes an hour", changes)
	}
}
