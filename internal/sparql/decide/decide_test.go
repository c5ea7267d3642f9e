package decide

import (
	"math/rand/v2"
	"testing"

	"swiftreel/choice"
	"swiftreel/internal/sparql/syntax"
)

const sec = choice.Nanos(1e9)

func parsed(t *testing.T, text string) *syntax.Statement {
	t.Helper()
	s, err := syntax.Parse(text, false)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestStaticEstimatesOrderTextsByWhatTheyTouch(t *testing.T) {
	g := NewCostEstimator(10)
	last := choice.Nanos(0)
	for _, text := range []string{
		`ASK { <a> <b> <c> }`, `SELECT * { <a> <b> ?c }`, `SELECT * { ?a <b> ?c }`, `SELECT * { ?a <b> ?c . ?c <d>+ ?e }`,
		`SELECT * { ?a ?b ?c }`, `SELECT (COUNT(*) AS ?n) { GRAPH ?g { ?a ?b ?c . ?c ?d ?e } } ORDER BY ?n`} {
		work, known := g.Estimate(parsed(t, text))
		if known || work <= last {
			t.Errorf("%s: %d, the one before %d", text, work, last)
		}
		last = work
	}
}

func TestAFingerprintIsLearntAndFollowedAsItChanges(t *testing.T) {
	g := NewCostEstimator(3)
	a, b := parsed(t, `SELECT * { ?a <p> "x" }`), parsed(t, `SELECT * { ?other <p> 'y' }`)
	for range 5 {
		g.Observe(a, 2*sec)
	}
	if work, known := g.Estimate(b); !known || work < sec || work > 3*sec {
		t.Errorf("the same shape: %d, known %v", work, known)
	}
	for range 200 { // memories grow, and it becomes fast
		g.Observe(a, sec/100)
	}
	if work, _ := g.Estimate(b); work > sec/50 {
		t.Errorf("it became fast, and is estimated at %d", work)
	}
	for _, text := range []string{`ASK { <a> ?b 1 }`, `ASK { <b> ?c 1 }`, `ASK { <c> ?d 1 }`, `ASK { <d> ?d 1 }`} {
		g.Observe(parsed(t, text), sec)
		g.Observe(parsed(t, text), 0) // nothing told
	}
	if _, known := g.Estimate(a); known || g.Len() != 3 {
		t.Errorf("%d shapes are kept", g.Len())
	}
	if work, known := g.Estimate(parsed(t, `ASK { <e> ?e 1 }`)); known || work < 10*minWork {
		t.Errorf("first estimates did not learn how far they are off: %d", work)
	}
}

func TestAKeyRunsOnce(t *testing.T) {
	m := NewKeyTable(2, 10*sec)
	a, b, c := IdempotencyKey{"acme", "1"}, IdempotencyKey{"bolt", "1"}, IdempotencyKey{"acme", "2"}
	for i, want := range []struct {
		got, want KeyVerdict
	}{
		{m.Begin(0, a, 7), KeyNew}, {m.Begin(0, a, 7), KeyInProgress}, {m.Begin(0, a, 8), KeyMismatch},
		{m.Begin(0, b, 7), KeyNew}, // another tenant's
		{m.Begin(0, c, 7), KeyTableFull},
	} {
		if want.got != want.want {
			t.Fatalf("%d: %d, want %d", i, want.got, want.want)
		}
	}
	m.End(sec, a, UpdateNeverRan)
	if m.Begin(sec, a, 7) != KeyNew { // nothing ran: it may
		t.Error("what never ran is not run")
	}
	m.End(sec, a, UpdateDone)
	m.End(sec, a, UpdateNeverRan) // a late end changes nothing
	m.End(2*sec, b, UpdateMayHaveRun)
	if m.Begin(5*sec, a, 7) != KeyCompleted || m.Begin(5*sec, b, 7) != KeyOutcomeUnknown ||
		m.Begin(5*sec, a, 9) != KeyMismatch {
		t.Error("within the window")
	}
	if m.Begin(11*sec, a, 7) != KeyNew || m.Begin(11*sec, b, 7) != KeyOutcomeUnknown || m.Begin(12*sec, b, 7) != KeyNew {
		t.Error("at the edge of the window")
	}
}

// However keys come and end, none runs twice unless it never ran, or its window was over.
func TestKeysInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	m, now := NewKeyTable(6, 5*sec), choice.Nanos(0)
	running := map[IdempotencyKey]bool{}
	may := map[IdempotencyKey]choice.Nanos{} // ran, or may have, until its window ends
	for range 20000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		key := IdempotencyKey{"t", string(rune('a' + r.IntN(9)))}
		if r.IntN(2) == 0 {
			if v := m.Begin(now, key, 1); v == KeyNew {
				if running[key] || may[key] > now {
					t.Fatalf("%v runs twice", key)
				}
				running[key] = true
			} else if v == KeyInProgress != running[key] && v != KeyTableFull {
				t.Fatalf("%v: %d, running %v", key, v, running[key])
			}
		} else if running[key] {
			outcome := UpdateOutcome(r.IntN(3))
			m.End(now, key, outcome)
			if delete(running, key); outcome != UpdateNeverRan {
				may[key] = now + 5*sec
			}
		}
		if m.Len() > 6 {
			t.Fatalf("%d keys are kept", m.Len())
		}
	}
}

func TestADrainIsSeenFromEitherSide(t *testing.T) {
	d := NewDrainTracker(20 * sec)
	line := func(s choice.EngineState, started choice.Nanos) []choice.EngineEntry {
		return []choice.EngineEntry{{Engine: 1, State: s, StartedAt: started}}
	}
	state := func(now choice.Nanos, signal Signal) choice.EngineState {
		l, _ := d.ApplySignal(now, 1, signal)
		return l.State
	}
	if _, changed := d.ApplySignal(0, 9, SignalDraining); changed {
		t.Error("an engine that nobody knows changes something")
	}
	d.ApplyList(0, line(choice.Ready, 5))
	if l, changed := d.ApplySignal(sec, 1, SignalDraining); l.State != choice.Draining || !changed {
		t.Error("its own word does not count")
	}
	if _, changed := d.ApplySignal(2*sec, 1, SignalDraining); changed {
		t.Error("said twice it changes twice")
	}
	if d.ApplyList(3*sec, line(choice.Ready, 5))[0].State != choice.Draining {
		t.Error("a late list stands above its own word")
	}
	if d.ApplyList(4*sec, line(choice.Ready, 99))[0].State != choice.Ready {
		t.Error("a new start drains as the old one did")
	}
	state(5*sec, SignalClosing)
	if state(5*sec, SignalClosing) != choice.Ready ||
		state(5*sec, SignalClosing) != choice.Draining {
		t.Error("three closes in a row are a drain, two are not")
	}
	if state(6*sec, SignalServing) != choice.Ready {
		t.Error("it serves again and says so")
	}
	state(7*sec, SignalDraining)
	if lines := d.ExpireSignals(26*sec, []choice.EngineID{1}); len(lines) != 0 {
		t.Error("stale too soon")
	}
	if lines := d.ExpireSignals(27*sec, []choice.EngineID{1}); len(lines) != 1 || lines[0].State != choice.Ready {
		t.Error("a word that nobody repeats counts for ever")
	}
	if d.ApplyList(28*sec, line(choice.Draining, 99)); state(28*sec, SignalServing) != choice.Draining {
		t.Error("the list's word does not count")
	}
	if d.ApplyList(29*sec, line(choice.Removed, 99)); len(d.engines) != 0 {
		t.Error("a gone engine is kept")
	}
}

func TestABurstLeavesTheOtherProtocolItsPlaces(t *testing.T) {
	g, now := NewSlots(2), choice.Nanos(0)
	const capacity = 100
	for range 20 { // what the first uses as a rule
		if !g.Acquire(now, 0, capacity) {
			t.Fatal("empty, and full")
		}
	}
	for range 20 {
		g.Release(0)
	}
	flood := 0
	for g.Acquire(now, 1, capacity) {
		flood++
	}
	if flood < 60 || flood > 70 {
		t.Errorf("a flood takes %d of %d", flood, capacity)
	}
	for i := range 30 {
		if !g.Acquire(now, 0, capacity) {
			t.Fatalf("%d jobs of the other, then none", i)
		}
	}
	for range 30 {
		g.Release(0)
	}
	now += 600 * sec // nobody used it for long: a flood may take nearly all
	for g.Acquire(now, 1, capacity) {
		flood++
	}
	if flood < 88 || flood > 92 {
		t.Errorf("alone for long it takes %d of %d", flood, capacity)
	}
	if !g.Acquire(now, 0, capacity) {
		t.Error("and nothing is left for one more")
	}
}

func TestSlotsNeverPassTheirBound(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 9))
	g, now, held := NewSlots(3), choice.Nanos(0), [3]int{}
	for range 50000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		p, capacity := r.IntN(3), 30
		if r.IntN(100) < 55 {
			if g.Acquire(now, p, capacity) {
				held[p]++
			} else if held[p] < capacity/3 && held[0]+held[1]+held[2] < capacity {
				t.Fatalf("protocol %d has %v of %d and gets none", p, held, capacity)
			}
		} else if held[p] > 0 {
			g.Release(p)
			held[p]--
		}
		if sum := held[0] + held[1] + held[2]; sum > capacity {
			t.Fatalf("%d of %d", sum, capacity)
		}
	}
}
