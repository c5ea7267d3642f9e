package gateway

import (
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// A call in the module's terms, and why one is unusable.
func TestACallInTheModulesTerms(t *testing.T) {
	g := New(factsOf(t, ruleFacts), 1, parts(), false, nil)
	defer g.Close()
	const text = "INSERT INTO sales_17.orders SELECT * FROM staging.x"
	for _, c := range []struct {
		name, fault string
		ask         Ask
	}{
		{"an unknown type", "no such method", Ask{Type: []byte("none"), Tenant: []byte("acme")}},
		{"an unknown tenant", "no such tenant", Ask{Type: []byte("lookup"), Tenant: []byte("none")}},
		{"a job timeout of weeks", "a job timeout over 4s", Ask{Type: []byte("lookup"), Tenant: []byte("acme"), Left: 5 * time.Second}},
		{"memory past any engine", "more memory than any engine has", Ask{Type: []byte("lookup"), Tenant: []byte("acme"), MemoryMB: 32001}},
		{"no group of tables", "the statement names no group of tables", Ask{Type: []byte("import"), Tenant: []byte("acme"), Statement: []byte("SELECT 1")}},
		{"no group where none matters", "", Ask{Type: []byte("mark"), Tenant: []byte("acme"), Statement: []byte("SELECT 1")}},
		{"usable", "", Ask{Type: []byte("import"), Tenant: []byte("zeta"), Statement: []byte(text)}},
		{"another protocol tells its group", "", Ask{Type: []byte("import"), Tenant: []byte("zeta"), Group: 5, Protocol: backend.SPARQL}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.ask.At = time.Now()
			_, err := g.arrival(c.ask)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if got != c.fault {
				t.Errorf("refused as %q, want %q", got, c.fault)
			}
		})
	}
	ev, err := g.arrival(Ask{Type: []byte("import"), Tenant: []byte("zeta"), Key: []byte("k1"), Statement: []byte(text), At: time.Now(),
		Left: time.Second, Repeat: true, Work: time.Minute, MemoryMB: 64})
	if err != nil {
		t.Fatal(err)
	}
	ev.TimeLeft = 0
	if ev.Tables == 0 {
		t.Error("no group of tables")
	}
	ev.Tables = 0
	want := choice.Event{Kind: choice.JobArrived, Type: 1, Tenant: 1, Key: keyOf([]byte("k1")), Cost: choice.Nanos(time.Minute), CostKnown: true,
		IsRepeat: true, IsWrite: true, MemoryMB: 64, RequiredProtocols: needs(backend.Line)}
	if got, wanted := ev, want; got.Kind != wanted.Kind || got.Type != wanted.Type || got.Tenant != wanted.Tenant || got.Key != wanted.Key ||
		got.Cost != wanted.Cost || !got.CostKnown || !got.IsRepeat || !got.IsWrite || got.MemoryMB != wanted.MemoryMB || got.RequiredProtocols != wanted.RequiredProtocols {
		t.Errorf("%+v, want %+v", got, wanted)
	}
	if ev, err = g.arrival(Ask{Type: []byte("import"), Tenant: []byte("zeta"), Group: 5, Protocol: backend.SPARQL, At: time.Now()}); err != nil ||
		ev.Tables != 5 || ev.RequiredProtocols == want.RequiredProtocols || ev.CostKnown || ev.Key != 0 {
		t.Errorf("%+v %v", ev, err)
	}
}
