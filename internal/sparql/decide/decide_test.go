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

func TestFirstGuessesOrderTextsByWhatTheyTouch(t *testing.T) {
	g := NewGuesses(10)
	last := choice.Nanos(0)
	for _, text := range []string{`ASK { <a> <b> <c> }`, `SELECT * { <a> <b> ?c }`, `SELECT * { ?a <b> ?c }`, `SELECT * { ?a <b> ?c . ?c <d>+ ?e }`,
		`SELECT * { ?a ?b ?c }`, `SELECT (COUNT(*) AS ?n) { GRAPH ?g { ?a ?b ?c . ?c ?d ?e } } ORDER BY ?n`} {
		work, known := g.Of(parsed(t, text))
		if known || work <= last {
			t.Errorf("%s: %d, the one before %d", text, work, last)
		}
		last = work
	}
}

func TestAShapeIsLearntAndFollowedAsItChanges(t *testing.T) {
	g := NewGuesses(3)
	a, b := parsed(t, `SELECT * { ?a <p> "x" }`), parsed(t, `SELECT * { ?other <p> 'y' }`)
	for range 5 {
		g.Learn(a, 2*sec)
	}
	if work, known := g.Of(b); !known || work < sec || work > 3*sec {
		t.Errorf("the same shape: %d, known %v", work, known)
	}
	for range 200 { // memories grow, and it becomes fast
		g.Learn(a, sec/100)
	}
	if work, _ := g.Of(b); work > sec/50 {
		t.Errorf("it became fast, and is guessed at %d", work)
	}
	for _, text := range []string{`ASK { <a> ?b 1 }`, `ASK { <b> ?c 1 }`, `ASK { <c> ?d 1 }`, `ASK { <d> ?d 1 }`} {
		g.Learn(parsed(t, text), sec)
		g.Learn(parsed(t, text), 0) // nothing told
	}
	if _, known := g.Of(a); known || g.Shapes() != 3 {
		t.Errorf("%d shapes are kept", g.Shapes())
	}
	if work, known := g.Of(parsed(t, `ASK { <e> ?e 1 }`)); known || work < 10*leastWork {
		t.Errorf("first guesses did not learn how far they are off: %d", work)
	}
}

func TestAMarkRunsOnce(t *testing.T) {
	m := NewMarks(2, 10*sec)
	a, b, c := Mark{"acme", "1"}, Mark{"bolt", "1"}, Mark{"acme", "2"}
	for i, want := range []struct {
		got, want Verdict
	}{
		{m.Come(0, a, 7), New}, {m.Come(0, a, 7), InHand}, {m.Come(0, a, 8), Differs},
		{m.Come(0, b, 7), New}, // another tenant's
		{m.Come(0, c, 7), NoRoom},
	} {
		if want.got != want.want {
			t.Fatalf("%d: %d, want %d", i, want.got, want.want)
		}
	}
	m.End(sec, a, NeverRan)
	if m.Come(sec, a, 7) != New { // nothing ran: it may
		t.Error("what never ran is not run")
	}
	m.End(sec, a, WasDone)
	m.End(sec, a, NeverRan) // a late word changes nothing
	m.End(2*sec, b, MayHaveRun)
	if m.Come(5*sec, a, 7) != Over || m.Come(5*sec, b, 7) != Unsure || m.Come(5*sec, a, 9) != Differs {
		t.Error("within the window")
	}
	if m.Come(11*sec, a, 7) != New || m.Come(11*sec, b, 7) != Unsure || m.Come(12*sec, b, 7) != New {
		t.Error("at the edge of the window")
	}
}

// However marks come and end, none runs twice unless it never ran, or its window was over.
func TestMarksInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	m, now := NewMarks(6, 5*sec), choice.Nanos(0)
	running, may := map[Mark]bool{}, map[Mark]choice.Nanos{} // may: ran, or may have, until its window ends
	for range 20000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		mark := Mark{"t", string(rune('a' + r.IntN(9)))}
		if r.IntN(2) == 0 {
			if v := m.Come(now, mark, 1); v == New {
				if running[mark] || may[mark] > now {
					t.Fatalf("%v runs twice", mark)
				}
				running[mark] = true
			} else if v == InHand != running[mark] && v != NoRoom {
				t.Fatalf("%v: %d, running %v", mark, v, running[mark])
			}
		} else if running[mark] {
			how := Ends(r.IntN(3))
			m.End(now, mark, how)
			if delete(running, mark); how != NeverRan {
				may[mark] = now + 5*sec
			}
		}
		if m.Kept() > 6 {
			t.Fatalf("%d marks are kept", m.Kept())
		}
	}
}

func TestADrainIsHeardFromEitherSide(t *testing.T) {
	d := NewDrain(20 * sec)
	line := func(s choice.EngineState, started choice.Nanos) []choice.EngineEntry {
		return []choice.EngineEntry{{Engine: 1, State: s, StartedAt: started}}
	}
	state := func(now choice.Nanos, w Word) choice.EngineState {
		l, _ := d.Said(now, 1, w)
		return l.State
	}
	if _, changed := d.Said(0, 9, Drains); changed {
		t.Error("an engine that nobody knows changes something")
	}
	d.Listed(0, line(choice.Ready, 5))
	if l, changed := d.Said(sec, 1, Drains); l.State != choice.Draining || !changed {
		t.Error("its own word does not count")
	}
	if _, changed := d.Said(2*sec, 1, Drains); changed {
		t.Error("said twice it changes twice")
	}
	if d.Listed(3*sec, line(choice.Ready, 5))[0].State != choice.Draining {
		t.Error("a late list stands above its own word")
	}
	if d.Listed(4*sec, line(choice.Ready, 99))[0].State != choice.Ready {
		t.Error("a new start drains as the old one did")
	}
	if state(5*sec, Closes); state(5*sec, Closes) != choice.Ready || state(5*sec, Closes) != choice.Draining {
		t.Error("three closes in a row are a drain, two are not")
	}
	if state(6*sec, Serves) != choice.Ready {
		t.Error("it serves again and says so")
	}
	state(7*sec, Drains)
	if lines := d.Pass(26*sec, []choice.EngineID{1}); len(lines) != 0 {
		t.Error("stale too soon")
	}
	if lines := d.Pass(27*sec, []choice.EngineID{1}); len(lines) != 1 || lines[0].State != choice.Ready {
		t.Error("a word that nobody repeats counts for ever")
	}
	if d.Listed(28*sec, line(choice.Draining, 99)); state(28*sec, Serves) != choice.Draining {
		t.Error("the list's word does not count")
	}
	if d.Listed(29*sec, line(choice.Removed, 99)); len(d.engines) != 0 {
		t.Error("a gone engine is kept")
	}
}

func TestABurstLeavesTheOtherProtocolItsPlaces(t *testing.T) {
	g, now := NewGuard(2), choice.Nanos(0)
	const most = 100
	for range 20 { // what the first uses as a rule
		if !g.Take(now, 0, most) {
			t.Fatal("empty, and full")
		}
	}
	for range 20 {
		g.Give(0)
	}
	flood := 0
	for g.Take(now, 1, most) {
		flood++
	}
	if flood < 60 || flood > 70 {
		t.Errorf("a flood takes %d of %d", flood, most)
	}
	for i := range 30 {
		if !g.Take(now, 0, most) {
			t.Fatalf("%d jobs of the other, then none", i)
		}
	}
	for range 30 {
		g.Give(0)
	}
	now += 600 * sec // nobody used it for long: a flood may take nearly all
	for g.Take(now, 1, most) {
		flood++
	}
	if flood < 88 || flood > 92 {
		t.Errorf("alone for long it takes %d of %d", flood, most)
	}
	if !g.Take(now, 0, most) {
		t.Error("and nothing is left for one more")
	}
}

func TestTheGuardNeverPassesItsBound(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 9))
	g, now, held := NewGuard(3), choice.Nanos(0), [3]int{}
	for range 50000 {
		now += choice.Nanos(r.Int64N(int64(sec)))
		p, most := r.IntN(3), 30
		if r.IntN(100) < 55 {
			if g.Take(now, p, most) {
				held[p]++
			} else if held[p] < most/3 && held[0]+held[1]+held[2] < most {
				t.Fatalf("protocol %d has %v of %d and gets none", p, held, most)
			}
		} else if held[p] > 0 {
			g.Give(p)
			held[p]--
		}
		if sum := held[0] + held[1] + held[2]; sum > most {
			t.Fatalf("%d of %d", sum, most)
		}
	}
}
