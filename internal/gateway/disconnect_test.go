package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// A client may disconnect while the module dispatches its job. That dispatch must get an outcome too, or the module
// counts its threads as in use forever.
func TestADispatchOrderedAsTheClientLeavesHasAnOutcome(t *testing.T) {
	raw := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
	}
	g := New(Options{Settings: raw, Seed: 1, Budget: testBudget()})
	var submitted *job
	a := fakeClient{make(chan string, 10), func(left func()) {
		left()
		submitted = g.jobs[1]
		g.UpdateEngines(engineList(t, "true", "e1"), true) // the module dispatches the job to the new engine
	}}
	g.Submit(Request{Type: []byte("lookup"), ArrivedAt: time.Now(), Timeout: time.Second, Client: a})
	g.Close()
	if m, is := submitted.mailbox.next(); is || len(g.jobs) != 0 || len(a.answers) != 0 {
		t.Errorf("unread message %+v, %d jobs, %d answers", m, len(g.jobs), len(a.answers))
	}
}

// The client of a waiting job has disconnected, but the disconnect is still behind unread input. When an engine becomes
// available, the job must not be sent, and the module must drop it.
func TestNothingIsSentForAClientThatIsNoLongerThere(t *testing.T) {
	raw := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9}},
		"limits":     map[string]any{"cancel": true},
	}
	var started atomic.Int64
	g := New(Options{Settings: raw, Seed: 1, Budget: testBudget(), Protocols: map[backend.Protocol]backend.Factory{
		backend.Line: func(backend.Limits) backend.Engines { return silentEngines{started: &started} }}})
	defer g.Close()
	disconnected := newDisconnectingClient()
	here := newDisconnectingClient()
	take := func(id byte, from Client) {
		g.Submit(
			Request{Type: []byte("lookup"), ID: []byte{id}, ArrivedAt: time.Now(), Timeout: 20 * time.Second, Client: from},
		)
	}
	take(1, disconnected)
	take(2, here)
	disconnected.disconnected.Store(true)
	g.UpdateEngines(engineList(t, "true", "e1"), true)
	eventually(t, "the other client's job is not sent, or the disconnected client's job is not removed", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return started.Load() > 0 && g.jobs[1] == nil
	})
	if n := started.Load(); n != 1 || len(disconnected.answers) > 0 {
		t.Errorf("%d dispatches, %d answers", n, len(disconnected.answers))
	}
	here.disconnected.Store(true)
	g.mu.Lock()
	j := g.jobs[2]
	g.mu.Unlock()
	j.mailbox.put(clientDisconnected{})
}
