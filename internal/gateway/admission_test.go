package gateway

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
)

func TestAFloodEndsInThrottling(t *testing.T) {
	raw := choice.RawSettings{
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
		"limits":  map[string]any{"max_open": 3.0},
	}
	g := New(Options{Settings: raw, Seed: 1, Budget: testBudget()})
	defer g.Close()
	a := newFakeClient(10)
	for i := range 5 { // without engines, three jobs wait until it is too late and two are rejected
		g.Submit(Request{Type: []byte("lookup"), ID: []byte{byte(i)}, ArrivedAt: time.Now(), Timeout: time.Second, Client: a})
	}
	g.mu.Lock()
	admitted := len(g.jobs)
	g.mu.Unlock()
	if one, two := <-a.answers, <-a.answers; one != "throttled" || two != "throttled" || admitted != 3 {
		t.Errorf("answers %s and %s, %d jobs admitted", one, two, admitted)
	}
	for range 3 {
		if answer := <-a.answers; answer != "throttled" {
			t.Error(answer)
		}
	}
	g.Submit(Request{Type: []byte("other"), ArrivedAt: time.Now(), Timeout: time.Second, Client: a})
	if answer := <-a.answers; answer != "failed" {
		t.Errorf("answer %s for an unknown job type", answer)
	}
}

func TestTheModuleGetsLessTimeThanTheClientHas(t *testing.T) {
	g := New(Options{
		Settings: choice.RawSettings{"classes": []any{map[string]any{"name": "lookup"}}},
		Seed:     1,
		Budget:   testBudget(),
	})
	defer g.Close()
	for timeout, limit := range map[time.Duration]time.Duration{
		time.Second:           time.Second - transitTime,
		10 * time.Millisecond: 9 * time.Millisecond,
	} {
		arrivedAt := time.Now()
		ev, err := g.arrivalEvent(Request{Type: []byte("lookup"), ArrivedAt: arrivedAt, Timeout: timeout})
		if got := time.Duration(ev.TimeLeft); err != nil || got > limit || got < limit-time.Since(arrivedAt) {
			t.Errorf("the module gets %v of %v, error %v", got, timeout, err)
		}
	}
}

// A flood of one protocol may use the slots that were not used recently, but must leave the other protocol its share.
func TestAFloodOfOneProtocolLeavesTheOtherItsPlaces(t *testing.T) {
	raw := choice.RawSettings{
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
		"limits":  map[string]any{"max_open": 40.0},
	}
	g := New(Options{Settings: raw, Seed: 1, Budget: testBudget()})
	defer g.Close()
	g.SetSPARQLEndpoints(map[string]string{"e1": "http://127.0.0.1:1/"})
	a, n := newFakeClient(200), 0
	take := func(p backend.Protocol, times int) {
		for range times { // without engines, the jobs wait until it is too late
			n++
			g.Submit(Request{
				Type:      []byte("lookup"),
				ID:        []byte(fmt.Sprint(n)),
				ArrivedAt: time.Now(),
				Timeout:   20 * time.Second,
				Protocol:  p,
				Client:    a,
			})
		}
	}
	before := counters.Value("calls_over_capacity")
	take(backend.SPARQL, 60)
	flood := 60 - int(counters.Value("calls_over_capacity")-before)
	before = counters.Value("calls_over_capacity")
	take(backend.Line, 5)
	if turned := counters.Value("calls_over_capacity") - before; flood < 20 || flood > 35 || turned > 0 {
		t.Errorf("the flood gets %d of 40 slots, %d of 5 calls of the other protocol are rejected", flood, turned)
	}
	for id := range n { // all clients disconnect, so that Close finds no open jobs
		g.mu.Lock()
		j := g.jobs[choice.JobID(id+1)]
		g.mu.Unlock()
		if j != nil {
			j.mailbox.put(clientDisconnected{})
		}
	}
}

// The conversion of a request to an arrival event, and the errors for invalid requests.
func TestRequestsAreConvertedToArrivalEvents(t *testing.T) {
	g := New(Options{Settings: parseSettings(t, testSettings), Seed: 1, Budget: testBudget()})
	defer g.Close()
	const text = "INSERT INTO sales_17.orders SELECT * FROM staging.x"
	for _, c := range []struct {
		name, wantErr string
		request       Request
	}{
		{"an unknown type", "no such method", Request{Type: []byte("none"), Tenant: []byte("acme")}},
		{"an unknown tenant", "no such tenant", Request{Type: []byte("lookup"), Tenant: []byte("none")}},
		{"a job timeout of weeks", "a job timeout over 4s",
			Request{Type: []byte("lookup"), Tenant: []byte("acme"), Timeout: 5 * time.Second}},
		{"memory past any engine", "more memory than any engine has",
			Request{Type: []byte("lookup"), Tenant: []byte("acme"), EstimatedMemoryMB: 32001}},
		{"no group of tables", "the statement names no group of tables",
			Request{Type: []byte("import"), Tenant: []byte("acme"), Statement: []byte("SELECT 1")}},
		{"no group where none matters", "", Request{Type: []byte("mark"), Tenant: []byte("acme"),
			Statement: []byte("SELECT 1")}},
		{"usable", "", Request{Type: []byte("import"), Tenant: []byte("zeta"), Statement: []byte(text)}},
		{"another protocol tells its group", "", Request{Type: []byte("import"), Tenant: []byte("zeta"), TableGroup: 5,
			Protocol: backend.SPARQL}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.request.ArrivedAt = time.Now()
			_, err := g.arrivalEvent(c.request)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if got != c.wantErr {
				t.Errorf("error %q, want %q", got, c.wantErr)
			}
		})
	}
	arrivedAt := time.Now().Add(-time.Minute) // the call was unread for a while
	ev, err := g.arrivalEvent(Request{
		Type:              []byte("import"),
		Tenant:            []byte("zeta"),
		Key:               []byte("k1"),
		Statement:         []byte(text),
		ArrivedAt:         arrivedAt,
		Timeout:           time.Second,
		ClientRetry:       true,
		EstimatedWork:     time.Minute,
		EstimatedMemoryMB: 64,
	})
	if err != nil {
		t.Fatal(err)
	}
	ev.TimeLeft = 0
	if ev.Tables == 0 {
		t.Error("no group of tables")
	}
	ev.Tables = 0
	want := choice.Event{
		Kind:              choice.JobArrived,
		Type:              1,
		Tenant:            1,
		Key:               orderingKey([]byte("k1")),
		ArrivedAt:         g.clock.at(arrivedAt),
		Cost:              choice.Nanos(time.Minute),
		CostKnown:         true,
		IsRepeat:          true,
		IsWrite:           true,
		MemoryMB:          64,
		RequiredProtocols: requiredProtocols(backend.Line),
	}
	if !reflect.DeepEqual(ev, want) {
		t.Errorf("%+v, want %+v", ev, want)
	}
	ev, err = g.arrivalEvent(Request{
		Type:       []byte("import"),
		Tenant:     []byte("zeta"),
		TableGroup: 5,
		Protocol:   backend.SPARQL,
		ArrivedAt:  time.Now(),
	})
	if err != nil || ev.Tables != 5 || ev.RequiredProtocols == want.RequiredProtocols || ev.CostKnown || ev.Key != 0 {
		t.Errorf("%+v %v", ev, err)
	}
}

// A finished job releases its slot, also if two protocols share the slots.
func TestAFinishedJobLeavesItsSlot(t *testing.T) {
	const slots = 4
	raw := choice.RawSettings{
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
		"limits":  map[string]any{"max_open": float64(slots)},
	}
	g := New(Options{Settings: raw, Seed: 1, Budget: testBudget()})
	defer g.Close()
	g.SetSPARQLEndpoints(map[string]string{"e1": "http://127.0.0.1:1/"})
	client := newFakeClient(1)
	before := counters.Value("calls_over_capacity")
	for i := range 3 * slots {
		g.Submit(Request{
			Type:      []byte("lookup"),
			ID:        []byte{byte(i)},
			ArrivedAt: time.Now(),
			Timeout:   time.Millisecond, // too short for anything: throttled at once
			Protocol:  backend.SPARQL,
			Client:    client,
		})
		if answer := <-client.answers; answer != "throttled" {
			t.Fatal(answer)
		}
		eventually(t, "the job is not removed", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.jobs) == 0
		})
	}
	if rejected := counters.Value("calls_over_capacity") - before; rejected > 0 {
		t.Errorf("%d of %d were rejected for lack of slots", rejected, 3*slots)
	}
}
