package choice

import (
	"fmt"
	"math/rand"
	"testing"
)

// FuzzRules runs random simulations with varied settings; the simulation checks the rules after every action.
func FuzzRules(f *testing.F) {
	for seed := range int64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		r := rand.New(rand.NewSource(seed))
		raw := testSettings()
		keyed := map[string]any{"idempotency": "by_key", "key_scope": []string{"all", "zone", "cell"}[r.Intn(3)],
			"repeat_window_ns": 1e9, "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0, "fifo_by_key": r.Intn(2) == 0}
		placed := map[string]any{"idempotency": "repeatable", "aim_ns": 1e9, "give_up_ns": 3e9, "gain": 2.0,
			"allowed_in": []any{1.0}, "kinds_only": []any{0.0, 1.0}}
		raw.set("classes", append(raw.list("classes"), keyed, placed))
		if r.Intn(2) == 0 {
			raw.set("invariants.further_ratio", 0.05).set("invariants.budget_free", 2.0).
				set("invariants.extra_window_ns", 2e9)
		}
		if r.Intn(3) == 0 {
			raw.set("balancers", 1.0).set("limits.cancel", false).set("limits.probes", false)
		}
		if r.Intn(3) == 0 {
			raw.set("telemetry", nil).set("invariants.order_pause_ns", 0.0).set("domain.cpu_of_kind", []any{})
		}
		raw.set("tenants", []any{map[string]any{"quota_per_s": 5.0}})
		newSimulation(t, raw, r.Intn(6)).chaos(r, 300)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (log string) {
		s := newSimulation(t, testSettings(), 5)
		for i := range 300 {
			s.arrive(TypeID(i%3), Key(i%4), TableGroup(i%7))
			s.advance(15 * ms)
			log += fmt.Sprint(s.actions)
		}
		return log
	}
	first := play()
	require(t, play() == first, "two runs with the same events differ")
}

// Changed settings apply from the next decision on, also when they are changed back. Admitted jobs and learned
// statistics are kept.
func TestReconfigurationAppliesAtOnceBothWays(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	inFlight := s.arrive(1, 0, 1)
	meanWork := s.c.types[1].meanWork
	restricted := testSettings().set("limits.cancel", false)
	restricted["classes"].([]any)[1].(map[string]any)["kinds_only"] = []any{1.0}
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(restricted)})
	require(t, s.c.jobs[inFlight].attempt != nil && s.c.types[1].meanWork == meanWork && !s.c.settings.cancelAllowed,
		"an attempt or a learned statistic is lost, or the new settings do not apply")
	parked := s.arrive(1, 0, 1)
	require(t, len(s.enginesOf(parked)) == 0, "dispatched to an engine of a kind that the new settings forbid")
	s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(testSettings())})
	s.advance(resampleInterval)
	require(t, len(s.enginesOf(parked)) == 1 && s.c.settings.cancelAllowed, "the restored settings do not apply at once")
	require(t, len(s.enginesOf(inFlight)) == 1, "a job in flight is dispatched again")
	e := s.c.engines[1]
	memory := testSettings().set("telemetry.fields", []any{"load_share", "x0"})
	for range 2 { // from job counts to granted memory and back
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(memory)})
		s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done,
			Load: []float64{0, (e.ownMemoryMB + 800) / e.memoryMB}})
		require(t, e.peerThreads > 6 && e.peerThreads < 10, "peer threads %v by granted memory, want 8",
			e.peerThreads)
		s.handle(Event{Kind: Reconfigured, Settings: ParseSettings(testSettings())})
		s.handle(Event{Kind: ProbeCompleted, Engine: e.Engine, Result: Done, Load: []float64{float64(len(e.attempts))}})
		require(t, e.peerThreads == 0, "peer threads %v by job count, want 0", e.peerThreads)
	}
}
