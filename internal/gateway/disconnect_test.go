package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// A client may leave in the moment in which the module sends its job: that dispatch is owed an outcome too, or its
// threads would count as out for ever.
func TestADispatchOrderedAsTheClientLeavesHasAnOutcome(t *testing.T) {
	facts := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 5e8}},
	}
	g := New(Options{Settings: facts, Seed: 1, Budget: testBudget()})
	var parked *job
	a := fakeClient{make(chan string, 10), func(left func()) {
		left()
		parked = g.jobs[1]
		g.UpdateEngines(engineList(t, "true", "e1"), true) // an engine comes: the job goes there
	}}
	g.Submit(Request{Type: []byte("lookup"), ArrivedAt: time.Now(), Timeout: time.Second, Client: a})
	g.Close()
	if m, is := parked.mailbox.next(); is || len(g.jobs) != 0 || len(a.answers) != 0 {
		t.Errorf("not read: %+v; %d jobs, %d answers", m, len(g.jobs), len(a.answers))
	}
}

// A job waits for an engine; its client has gone, and the reader has not come to that yet, as it lies behind much that
// is unread. When an engine comes, nothing is sent there, and the module forgets the job.
func TestNothingIsSentForAClientThatIsNoLongerThere(t *testing.T) {
	facts := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9}},
		"limits":     map[string]any{"cancel": true},
	}
	var started atomic.Int64
	g := New(Options{Settings: facts, Seed: 1, Budget: testBudget(), Protocols: map[backend.Protocol]backend.Factory{
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
	eventually(t, "the other's job is not sent, or that of the one who has gone stays", func() bool {
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
