package decide

import (
	"math/rand/v2"
	"testing"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

const sec = choice.Nanos(1e9)

func mustParse(t *testing.T, text string) *syntax.Statement {
	t.Helper()
	s, err := syntax.Parse(text, false)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestStaticEstimatesOrderTextsByWhatTheyTouch(t *testing.T) {
	estimator := NewCostEstimator(10)
	last := choice.Nanos(0)
	for _, text := range []string{
		`ASK { <a> <b> <c> }`, `SELECT * { <a> <b> ?c }`, `SELECT * { ?a <b> ?c }`, `SELECT * { ?a <b> ?c . ?c <d>+ ?e }`,
		`SELECT * { ?a ?b ?c }`, `SELECT (COUNT(*) AS ?n) { GRAPH ?g { ?a ?b ?c . ?c ?d ?e } } ORDER BY ?n`} {
		work, known := estimator.Estimate(mustParse(t, text))
		if known || work <= last {
			t.Errorf("%s: %d, the one before %d", text, work, last)
		}
		last = work
	}
}

func TestAFingerprintIsLearntAndFollowedAsItChanges(t *testing.T) {
	estimator := NewCostEstimator(3)
	a, b := mustParse(t, `SELECT * { ?a <p> "x" }`), mustParse(t, `SELECT * { ?other <p> 'y' }`)
	for range 5 {
		estimator.Observe(a, 2*sec)
	}
	if work, known := estimator.Estimate(b); !known || work < sec || work > 3*sec {
		t.Errorf("same fingerprint: estimate %d, known %v", work, known)
	}
	for range 200 { // the statement becomes fast
		estimator.Observe(a, sec/100)
	}
	if work, _ := estimator.Estimate(b); work > sec/50 {
		t.Errorf("estimate did not follow the shorter work: %d", work)
	}
	for _, text := range []string{`ASK { <a> ?b 1 }`, `ASK { <b> ?c 1 }`, `ASK { <c> ?d 1 }`, `ASK { <d> ?d 1 }`} {
		estimator.Observe(mustParse(t, text), sec)
		estimator.Observe(mustParse(t, text), 0) // unknown work
	}
	if _, known := estimator.Estimate(a); known || estimator.Len() != 3 {
		t.Errorf("least recently used fingerprint not evicted: %d stored, want 3", estimator.Len())
	}
	if work, known := estimator.Estimate(mustParse(t, `ASK { <e> ?e 1 }`)); known || work < 10*minWork {
		t.Errorf("static estimate was not corrected by the learned bias: %d", work)
	}
}

func TestAKeyRunsOnce(t *testing.T) {
	table := NewKeyTable(2, 10*sec)
	a, b, c := IdempotencyKey{"acme", "1"}, IdempotencyKey{"bolt", "1"}, IdempotencyKey{"acme", "2"}
	for i, want := range []struct {
		got, want KeyVerdict
	}{
		{table.Begin(0, a, 7), KeyNew}, {table.Begin(0, a, 7), KeyInProgress}, {table.Begin(0, a, 8), KeyMismatch},
		{table.Begin(0, b, 7), KeyNew}, // the same value of another tenant is another key
		{table.Begin(0, c, 7), KeyTableFull},
	} {
		if want.got != want.want {
			t.Fatalf("%d: %d, want %d", i, want.got, want.want)
		}
	}
	table.End(sec, a, UpdateNeverRan)
	if table.Begin(sec, a, 7) != KeyNew {
		t.Error("an update that never ran is not run when repeated")
	}
	table.End(sec, a, UpdateDone)
	table.End(sec, a, UpdateNeverRan) // a second end has no effect
	table.End(2*sec, b, UpdateMayHaveRun)
	if table.Begin(5*sec, a, 7) != KeyCompleted || table.Begin(5*sec, b, 7) != KeyOutcomeUnknown ||
		table.Begin(5*sec, a, 9) != KeyMismatch {
		t.Error("wrong verdict within the window")
	}
	if table.Begin(11*sec, a, 7) != KeyNew || table.Begin(11*sec, b, 7) != KeyOutcomeUnknown ||
		table.Begin(12*sec, b, 7) != KeyNew {
		t.Error("wrong verdict at the end of the window")
	}
}

// In any order of requests and ends, an update runs a second time only if it never ran, or if its window has ended.
func TestKeysInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	table, now := NewKeyTable(6, 5*sec), choice.Nanos(0)
	running := map[IdempotencyKey]bool{}
	blockedUntil := map[IdempotencyKey]choice.Nanos{} // the end of the window of an update that ran, or may have run
	for range 20000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		key := IdempotencyKey{"t", string(rune('a' + r.IntN(9)))}
		if r.IntN(2) == 0 {
			if v := table.Begin(now, key, 1); v == KeyNew {
				if running[key] || blockedUntil[key] > now {
					t.Fatalf("%v runs twice", key)
				}
				running[key] = true
			} else if v == KeyInProgress != running[key] && v != KeyTableFull {
				t.Fatalf("%v: %d, running %v", key, v, running[key])
			}
		} else if running[key] {
			outcome := UpdateOutcome(r.IntN(3))
			table.End(now, key, outcome)
			if delete(running, key); outcome != UpdateNeverRan {
				blockedUntil[key] = now + 5*sec
			}
		}
		if table.Len() > 6 {
			t.Fatalf("%d keys stored, want at most 6", table.Len())
		}
	}
}

func TestADrainIsSeenFromEitherSide(t *testing.T) {
	tracker := NewDrainTracker(20 * sec)
	list := func(s choice.EngineState, started choice.Nanos) []choice.EngineEntry {
		return []choice.EngineEntry{{Engine: 1, State: s, StartedAt: started}}
	}
	stateAfter := func(now choice.Nanos, signal Signal) choice.EngineState {
		l, _ := tracker.ApplySignal(now, 1, signal)
		return l.State
	}
	if _, changed := tracker.ApplySignal(0, 9, SignalDraining); changed {
		t.Error("a signal of an unlisted engine changed a state")
	}
	tracker.ApplyList(0, list(choice.Ready, 5))
	if l, changed := tracker.ApplySignal(sec, 1, SignalDraining); l.State != choice.Draining || !changed {
		t.Error("the engine's own drain signal was ignored")
	}
	if _, changed := tracker.ApplySignal(2*sec, 1, SignalDraining); changed {
		t.Error("a repeated drain signal was reported as a change")
	}
	if tracker.ApplyList(3*sec, list(choice.Ready, 5))[0].State != choice.Draining {
		t.Error("an outdated list overrode the engine's own drain signal")
	}
	if tracker.ApplyList(4*sec, list(choice.Ready, 99))[0].State != choice.Ready {
		t.Error("a restarted engine inherited the drain of its previous process")
	}
	stateAfter(5*sec, SignalClosing)
	if stateAfter(5*sec, SignalClosing) != choice.Ready ||
		stateAfter(5*sec, SignalClosing) != choice.Draining {
		t.Error("three consecutive closes must count as a drain, two must not")
	}
	if stateAfter(6*sec, SignalServing) != choice.Ready {
		t.Error("a serving signal did not end the drain")
	}
	stateAfter(7*sec, SignalDraining)
	if lines := tracker.ExpireSignals(26*sec, []choice.EngineID{1}); len(lines) != 0 {
		t.Error("the drain signal expired before its lifetime")
	}
	if lines := tracker.ExpireSignals(27*sec, []choice.EngineID{1}); len(lines) != 1 || lines[0].State != choice.Ready {
		t.Error("an unrepeated drain signal did not expire")
	}
	if tracker.ApplyList(28*sec, list(choice.Draining, 99)); stateAfter(28*sec, SignalServing) != choice.Draining {
		t.Error("the listed drain was ignored")
	}
	if tracker.ApplyList(29*sec, list(choice.Removed, 99)); len(tracker.engines) != 0 {
		t.Error("a removed engine is still tracked")
	}
}

func TestBurstLeavesReservedSlotsToOtherProtocols(t *testing.T) {
	slots, now := NewSlots(2), choice.Nanos(0)
	const capacity = 100
	for range 20 { // the usual load of protocol 0
		if !slots.Acquire(now, 0, capacity) {
			t.Fatal("no slot although most are free")
		}
	}
	for range 20 {
		slots.Release(0)
	}
	burst := 0
	for slots.Acquire(now, 1, capacity) {
		burst++
	}
	if burst < 60 || burst > 70 {
		t.Errorf("a burst of protocol 1 takes %d of %d slots", burst, capacity)
	}
	for i := range 30 {
		if !slots.Acquire(now, 0, capacity) {
			t.Fatalf("protocol 0 got only %d of its reserved slots", i)
		}
	}
	for range 30 {
		slots.Release(0)
	}
	now += 600 * sec // the peak of protocol 0 has decayed: a burst may take nearly all slots
	for slots.Acquire(now, 1, capacity) {
		burst++
	}
	if burst < 88 || burst > 92 {
		t.Errorf("after a long idle time of protocol 0, a burst takes %d of %d slots", burst, capacity)
	}
	if !slots.Acquire(now, 0, capacity) {
		t.Error("the minimum headroom of protocol 0 was not reserved")
	}
}

func TestSlotsNeverPassTheirBound(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 9))
	slots, now, held := NewSlots(3), choice.Nanos(0), [3]int{}
	for range 50000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		p, capacity := r.IntN(3), 30
		if r.IntN(100) < 55 {
			if slots.Acquire(now, p, capacity) {
				held[p]++
			} else if held[p] < capacity/3 && held[0]+held[1]+held[2] < capacity {
				t.Fatalf("protocol %d was refused a slot within its even share: held %v of %d", p, held, capacity)
			}
		} else if held[p] > 0 {
			slots.Release(p)
			held[p]--
		}
		if sum := held[0] + held[1] + held[2]; sum > capacity {
			t.Fatalf("%d slots held, capacity %d", sum, capacity)
		}
	}
}
