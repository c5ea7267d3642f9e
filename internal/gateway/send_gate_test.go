package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// startedRequests is a fake of backend.Engines that passes started requests to the test and never sends them.
type startedRequests struct {
	silentEngines
	requests chan backend.Request
}

func (e startedRequests) Start(_ backend.Host, r backend.Request, _ func(backend.Reply)) backend.Dispatch {
	e.requests <- r
	return silentDispatch{}
}

// The permission to send depends on the time left, the client and the engine at the time of the call to Permit, not at
// the time of the dispatch.
func TestPermissionToSendIsThatOfTheMoment(t *testing.T) {
	const timeout = 20 * time.Second
	raw := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9}},
		"limits":     map[string]any{"cancel": true, "dial_timeout_ns": 20e9},
	}
	for name, tc := range map[string]struct {
		change  func(*Gateway, disconnectingClient)
		granted bool
	}{
		"nothing":     {func(*Gateway, disconnectingClient) {}, true},
		"client left": {func(_ *Gateway, c disconnectingClient) { c.disconnected.Store(true) }, false},
		"another address": {func(g *Gateway, _ disconnectingClient) {
			moved := engineList(t, "false", "e1")
			moved.Change.Engines[0].Address = "127.0.0.1:2"
			g.UpdateEngines(moved, false)
		}, false},
		"drains": {func(g *Gateway, _ disconnectingClient) {
			draining := engineList(t, "false", "e1")
			draining.Change.Engines[0].Health = "draining"
			g.UpdateEngines(draining, false)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			engines := startedRequests{requests: make(chan backend.Request, 1)}
			g := New(Options{Settings: raw, Seed: 1, Budget: testBudget(), Protocols: map[backend.Protocol]backend.Factory{
				backend.Line: func(backend.Limits) backend.Engines { return engines }}})
			defer g.Close()
			g.UpdateEngines(engineList(t, "true", "e1"), true)
			client := newDisconnectingClient()
			arrivedAt := time.Now()
			g.Submit(Request{Type: []byte("lookup"), ID: []byte("c"), ArrivedAt: arrivedAt, Timeout: timeout, Client: client})
			request := <-engines.requests
			tc.change(g, client)
			eventually(t, "the clock does not advance", func() bool { return time.Since(arrivedAt) > 20*time.Millisecond })
			left := timeout - time.Since(arrivedAt)
			permission := request.Gate.Permit()
			if permission.Granted != tc.granted {
				t.Errorf("granted: %v", permission.Granted)
			}
			if given := time.Duration(permission.TimeoutMS) * time.Millisecond; given > left {
				t.Errorf("the engine gets %v, but %v is left", given, left)
			}
			g.mu.Lock()
			j := g.jobs[1]
			g.mu.Unlock()
			j.mailbox.put(clientDisconnected{})
		})
	}
}

// knownList is an EngineListAge with a fixed age until it is awaited, and with age 0 afterwards.
type knownList struct {
	age     time.Duration
	awaited atomic.Bool
}

func (l *knownList) CurrentAt(time.Duration) time.Time {
	if l.awaited.Load() {
		return time.Now()
	}
	return time.Now().Add(-l.age)
}

func (l *knownList) AwaitCurrent(maxAge, limit time.Duration) time.Time {
	if limit > 0 {
		l.awaited.Store(true)
	}
	return l.CurrentAt(maxAge)
}

// Unread updates of the endpoint list may say that the engine is draining. A send waits for the list to be read, and is
// refused if the list is older than the drain grace.
func TestASendWaitsForTheEndpointListToBeRead(t *testing.T) {
	raw := choice.RawSettings{
		"localities": []any{"west"},
		"kinds":      []any{"std"},
		"domain":     map[string]any{"cpu_of_kind": []any{16.0}},
		"classes":    []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9}},
		"limits":     map[string]any{"cancel": true, "dial_timeout_ns": 20e9},
		"invariants": map[string]any{"drain_grace_ns": 20e9},
	}
	for name, c := range map[string]struct {
		age     time.Duration
		awaits  bool
		granted bool
	}{
		"read":                  {0, false, true},
		"within the grace":      {10 * time.Second, false, true},
		"older":                 {21 * time.Second, false, false},
		"older, and waited for": {21 * time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			engines := startedRequests{requests: make(chan backend.Request, 1)}
			g := New(Options{Settings: raw, Seed: 1, Budget: testBudget(), Protocols: map[backend.Protocol]backend.Factory{
				backend.Line: func(backend.Limits) backend.Engines { return engines }}})
			defer g.Close()
			g.SetListAge(&knownList{age: c.age})
			g.UpdateEngines(engineList(t, "true", "e1"), true)
			g.Submit(Request{Type: []byte("lookup"), ID: []byte("c"), ArrivedAt: time.Now(), Timeout: 20 * time.Second,
				Client: newDisconnectingClient()})
			request := <-engines.requests
			if c.awaits {
				request.Gate.AwaitPendingInput()
			}
			if permission := request.Gate.Permit(); permission.Granted != c.granted {
				t.Errorf("granted: %v", permission.Granted)
			}
			g.mu.Lock()
			j := g.jobs[1]
			g.mu.Unlock()
			j.mailbox.put(clientDisconnected{})
		})
	}
}
