package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
	"swiftreel/internal/limits"
)

func listOf(t *testing.T, whole string, hosts ...string) discovery.Event {
	t.Helper()
	text := `{"n":1,"members":{"whole":` + whole + `,"hosts":[`
	for i, h := range hosts {
		if i > 0 {
			text += ","
		}
		text += `{"host":"` + h + `","dial":"127.0.0.1:1","site":"west","class":"std","block":2,"health":"ready","share":4,"born_ms":5}`
	}
	ev, err := discovery.Parse([]byte(text + "]}}"))
	if err != nil {
		t.Fatal(err)
	}
	return ev
}

func TestEnginesAreNumberedAlikeInWhateverOrderTheyCome(t *testing.T) {
	n := newNames(choice.RawSettings{"localities": []any{"east", "west"}, "kinds": []any{"std"}})
	a, b, now := newRoster(), newRoster(), time.Now()
	first, _ := a.take(listOf(t, "true", "e1", "e2", "e3"), n, now)
	b.take(listOf(t, "true", "e3"), n, now)
	b.take(listOf(t, "false", "e2", "e1"), n, now)
	want := choice.EngineEntry{Engine: a.byName["e1"].id, Zone: 1, Cell: 2, State: choice.Ready, Size: 4, StartedAt: 5e6}
	if first[0] != want {
		t.Errorf("%+v, want %+v", first[0], want)
	}
	for name, l := range a.byName {
		if b.byName[name].id != l.id || a.byID[l.id] != l {
			t.Errorf("%s is %d and %d", name, l.id, b.byName[name].id)
		}
	}
	_, gone := a.take(listOf(t, "true", "e2"), n, now)
	if slices.Sort(gone); !slices.Equal(gone, []string{"e1", "e3"}) || a.byName["e1"].line.State != choice.Removed {
		t.Errorf("gone %v", gone)
	}
	a.take(listOf(t, "false", "e1"), n, now.Add(time.Minute))
	a.take(listOf(t, "false", "e2"), n, now.Add(goneKept+time.Minute))
	if len(a.byName) != 2 || len(a.byID) != 2 {
		t.Errorf("%d engines kept, of which one is long gone", len(a.byName))
	}
}

// Taken for the first zone of the settings, such an engine would get jobs that must not run there.
func TestAnEngineInAnUnknownPlaceIsInNoneOfThose(t *testing.T) {
	r := newRoster()
	lines, _ := r.take(listOf(t, "true", "e1"), newNames(choice.RawSettings{"localities": []any{"east"}, "kinds": []any{"small"}}), time.Now())
	if lines[0].Zone != noZone || lines[0].Kind != noKind {
		t.Errorf("%+v", lines[0])
	}
}

func TestAReportIsReadIntoTheOrderOfTheSettings(t *testing.T) {
	r := rules{fields: []string{"concurrent", "load_share", "x1"}}
	for text, want := range map[string][]float64{
		"concurrent:16.5;load_share:0.5;x1:0.25": {16.5, 0.5, 0.25},
		"x1:0.25;util:0.5;other:9;inflight:16.5": {16.5, 0.5, 0.25},
		"concurrent:16.5;load_share:0.5":         nil,
		"concurrent:x;load_share:0.5;x1:0.25":    nil,
		"":                                       nil,
	} {
		if got := r.load(text); !slices.Equal(got, want) {
			t.Errorf("%q: %v", text, got)
		}
	}
	r.fields = []string{"depth", "load_share", "x0"} // no count of jobs
	if got := r.load("util:0.5;x0:1.25;queue:3"); !slices.Equal(got, []float64{3, 0.5, 1.25}) {
		t.Errorf("memory granted: %v", got)
	}
	if got := bill(backend.Reply{WorkMS: 35, RoomMB: 76}); got != 35*4096+19 {
		t.Errorf("bill %d", got)
	}
	if got := bill(backend.Reply{WorkMS: 1e12, RoomMB: 1e9}); got != 1<<32-1 {
		t.Errorf("bill past its bounds: %d", got)
	}
}

func parts() *limits.Parts {
	p := new(limits.Parts)
	p.Apply(config.Limits{Cores: 1, MemoryMB: 32, Sockets: 64})
	return p
}

// asker is a job's other side.
type asker struct {
	said  chan string
	leave func(left func())
}

func (a asker) Done([][]byte)           { a.said <- "done" }
func (a asker) Throttled(time.Duration) { a.said <- "throttled" }
func (a asker) Failed(string)           { a.said <- "failed" }
func (a asker) OnLeave(left func())     { a.leave(left) }
func (a asker) Here() bool              { return true }

func TestAFloodEndsInThrottling(t *testing.T) {
	facts := choice.RawSettings{"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
		"limits": map[string]any{"max_open": 3.0}}
	g := New(facts, 1, parts(), false, nil)
	defer g.Close()
	a := asker{make(chan string, 10), func(func()) {}}
	for i := range 5 { // no engine: three are parked until it is late, two turned away
		g.Take(Ask{Type: []byte("lookup"), ID: []byte{byte(i)}, At: time.Now(), Left: time.Second, From: a})
	}
	g.mu.Lock()
	taken := len(g.jobs)
	g.mu.Unlock()
	if one, two := <-a.said, <-a.said; one != "throttled" || two != "throttled" || taken != 3 {
		t.Errorf("%s, %s, %d jobs taken", one, two, taken)
	}
	for range 3 {
		if said := <-a.said; said != "throttled" {
			t.Error(said)
		}
	}
	g.Take(Ask{Type: []byte("other"), At: time.Now(), Left: time.Second, From: a})
	if said := <-a.said; said != "failed" {
		t.Errorf("%s for an unknown type", said)
	}
}

func TestTheModuleIsToldLessTimeThanTheClientHas(t *testing.T) {
	g := New(choice.RawSettings{"classes": []any{map[string]any{"name": "lookup"}}}, 1, parts(), false, nil)
	defer g.Close()
	for left, most := range map[time.Duration]time.Duration{time.Second: time.Second - travels, 10 * time.Millisecond: 9 * time.Millisecond} {
		ev, err := g.arrival(Ask{Type: []byte("lookup"), At: time.Now(), Left: left})
		if got := time.Duration(ev.TimeLeft); err != nil || got > most || got < most-5*time.Second {
			t.Errorf("%v of %v told, %v", got, left, err)
		}
	}
}

// A client may leave in the moment in which the module sends its job: that dispatch is owed an outcome too, or its
// threads would count as out for ever.
func TestADispatchOrderedAsTheClientLeavesHasAnOutcome(t *testing.T) {
	facts := choice.RawSettings{"localities": []any{"west"}, "kinds": []any{"std"}, "domain": map[string]any{"cpu_of_kind": []any{16.0}},
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}}}
	g := New(facts, 1, parts(), false, nil)
	var parked *job
	a := asker{make(chan string, 10), func(left func()) {
		left()
		parked = g.jobs[1]
		g.List(listOf(t, "true", "e1"), true) // an engine comes: the job goes there
	}}
	g.Take(Ask{Type: []byte("lookup"), At: time.Now(), Left: time.Second, From: a})
	g.Close()
	if m, is := parked.in.next(); is || len(g.jobs) != 0 || len(a.said) != 0 {
		t.Errorf("not read: %+v; %d jobs, %d answers", m.order, len(g.jobs), len(a.said))
	}
}

// A flood of one protocol takes what nobody used of late, and leaves the other its part.
func TestAFloodOfOneProtocolLeavesTheOtherItsPlaces(t *testing.T) {
	facts := choice.RawSettings{"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
		"limits": map[string]any{"max_open": 40.0}}
	g := New(facts, 1, parts(), false, nil)
	defer g.Close()
	g.Endpoints(map[string]string{"e1": "http://127.0.0.1:1/"})
	a, n := asker{make(chan string, 200), func(func()) {}}, 0
	take := func(p backend.Protocol, times int) {
		for range times { // no engine: they are parked until it is late
			n++
			g.Take(Ask{Type: []byte("lookup"), ID: []byte(fmt.Sprint(n)), At: time.Now(), Left: 20 * time.Second, Protocol: p, From: a})
		}
	}
	before := counters.Value("turned_away")
	take(backend.SPARQL, 60)
	flood := 60 - int(counters.Value("turned_away")-before)
	before = counters.Value("turned_away")
	take(backend.Line, 5)
	if turned := counters.Value("turned_away") - before; flood < 20 || flood > 35 || turned > 0 {
		t.Errorf("a flood takes %d of 40, %d of 5 calls of the other protocol are turned away", flood, turned)
	}
	for id := range n { // all leave, which empties every table
		g.mu.Lock()
		j := g.jobs[choice.JobID(id+1)]
		g.mu.Unlock()
		if j != nil {
			j.in.put(message{left: true})
		}
	}
}
