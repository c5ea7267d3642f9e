package choice

import (
	"fmt"
	"math/rand"
	"testing"
)

// FuzzRules plays random runs under varied settings; the stage checks the rules after every step.
func FuzzRules(f *testing.F) {
	for seed := range int64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		facts := plainSettings()
		keyed := map[string]any{"idempotency": "by_key", "key_scope": []string{"all", "zone", "cell"}[r.Intn(3)],
			"repeat_window_ns": 1e9, "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0, "fifo_by_key": r.Intn(2) == 0}
		placed := map[string]any{"idempotency": "repeatable", "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0,
			"allowed_in": []any{1.0}, "kinds_only": []any{0.0, 1.0}}
		facts.set("classes", append(facts.list("classes"), keyed, placed))
		if r.Intn(2) == 0 {
			facts.set("invariants.further_ratio", 0.05).set("invariants.budget_free", 2.0).
				set("invariants.extra_window_ns", 2e9)
		}
		if r.Intn(3) == 0 {
			facts.set("balancers", 1.0).set("limits.cancel", false).set("limits.probes", false)
		}
		if r.Intn(3) == 0 {
			facts.set("telemetry", nil).set("invariants.order_pause_ns", 0.0).set("domain.cpu_of_kind", []any{})
		}
		facts.set("tenants", []any{map[string]any{"quota_per_s": 5.0}})
		newStage(t, facts, r.Intn(6)).chaos(r, 300)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (log string) {
		s := newStage(t, plainSettings(), 5)
		for i := range 300 {
			s.arrive(TypeID(i%3), Key(i%4), TableGroup(i%7))
			s.pass(15 * ms)
			log += fmt.Sprint(s.acts)
		}
		return log
	}
	first := play()
	require(t, play() == first, "two plays differ")
}

// Settings changed in a running controller hold from the next decision on, in both directions; what was taken in
// and what types have learned stay.
func TestReconfigurationAppliesAtOnceBothWays(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	out := s.arrive(1, 0, 1)
	meanWork := s.c.types[1].meanWork
	barred := plainSettings().set("limits.cancel", false)
	barred["classes"].([]any)[1].(map[string]any)["kinds_only"] = []any{1.0}
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(barred)})
	require(t, s.c.jobs[out].attempt != nil && s.c.types[1].meanWork == meanWork && !s.c.settings.cancelAllowed,
		"what was out or learned is lost")
	parked := s.arrive(1, 0, 1)
	require(t, len(s.enginesOf(parked)) == 0, "sent to an engine of a kind that the new settings bar")
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(plainSettings())})
	s.pass(resampleInterval)
	require(t, len(s.enginesOf(parked)) == 1 && s.c.settings.cancelAllowed, "the way back does not hold at once")
	require(t, len(s.enginesOf(out)) == 1, "what was out is sent twice")
	e := s.c.engines[1]
	memory := plainSettings().set("telemetry.fields", []any{"load_share", "x0"})
	for range 2 { // from counts of jobs to memory granted, and back
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(memory)})
		s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done,
			Load: []float64{0, (e.ownMemoryMB + 800) / e.memoryMB}})
		require(t, e.siblingThreads > 6 && e.siblingThreads < 10, "others %v of 8 by memory", e.siblingThreads)
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(plainSettings())})
		s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done, Load: []float64{float64(len(e.attempts))}})
		require(t, e.siblingThreads == 0, "others %v of 0 by count", e.siblingThreads)
	}
}
