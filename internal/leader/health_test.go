package leader

import (
	"math/rand/v2"
	"testing"
)

func well(name string) Health {
	return Health{Name: name, Reached: true, Serves: true, Engines: 3, Heard: 9, Members: 10}
}

func TestAnUnfitOwnerHandsOverToOneThatIsFit(t *testing.T) {
	bad := func(name string, as func(*Health)) Health {
		h := well(name)
		as(&h)
		return h
	}
	for why, own := range map[string]Health{
		"its controller does not serve": bad("a", func(h *Health) { h.Serves = false }), "its controller sees no engine": bad("a", func(h *Health) { h.Engines = 0 }),
		"it hears 4 of 10 members": bad("a", func(h *Health) { h.Heard = 4 })} {
		var f Fitness
		others := []Health{bad("b", func(h *Health) { h.Reached = false }), bad("c", func(h *Health) { h.Engines = 0 }), well("d")}
		if to, _ := f.Look(1e9, own, others); to != "" {
			t.Errorf("%s: at once to %s", why, to)
		}
		if to, got := f.Look(1e9+badFor, own, others); to != "d" || got != why {
			t.Errorf("%s: to %q, %q", why, to, got)
		}
		f = Fitness{}
		f.Look(1e9, own, others)
		f.Look(2e9, well("a"), others)
		if to, _ := f.Look(1e9+badFor, own, others); to != "" {
			t.Errorf("%s: for a moment, and it hands over to %s", why, to)
		}
		f = Fitness{}
		f.Look(1e9, own, others[:2])
		if to, _ := f.Look(100e9, own, others[:2]); to != "" {
			t.Errorf("%s: to %s, which is no better", why, to)
		}
	}
	// Stalls, of late only.
	var f Fitness
	own := well("a")
	for now := int64(1e9); now < 60e9; now += 5e9 {
		own.Stalls++
		if to, _ := f.Look(now, own, []Health{well("b")}); to != "" {
			t.Fatalf("one stall in 5 s: %s", to)
		}
	}
	handed := false
	for now := int64(60e9); now < 70e9 && !handed; now += 1e9 {
		own.Stalls++
		to, _ := f.Look(now, own, []Health{well("b")})
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
	fit, goodUntil := map[string]*Fitness{}, map[string]int64{}
	isBad := map[string]bool{}
	for _, n := range names {
		fit[n] = &Fitness{}
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
				h.Engines = 0
			}
			all[n] = h
		}
		if all[owner].unfit() != "" {
			unfit++
		}
		var others []Health
		for _, n := range names {
			if n != owner {
				others = append(others, all[n])
			}
		}
		if to, _ := fit[owner].Look(now, all[owner], others); to != "" {
			owner, changes = to, changes+1
		}
	}
	t.Logf("%d changes an hour, unfit %.0f%% of it", changes, 100*float64(unfit*look)/3600e9)
	if changes == 0 || changes > 40 {
		t.Errorf("%d changes an hour", changes)
	}
}
