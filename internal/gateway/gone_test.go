package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
)

// lineOf stands in for engines: it counts what is started there, and nothing of it ever ends by itself.
type lineOf struct {
	backend.Engines
	started *atomic.Int64
}

func (l lineOf) Start(backend.Host, backend.Request, func(backend.Reply)) backend.Dispatch {
	l.started.Add(1)
	return forgotten{}
}
func (l lineOf) Out(string) (int, int) { return 0, 0 }
func (l lineOf) CloseIdle(string)      {}
func (l lineOf) Free([][]byte)         {}
func (l lineOf) Close()                {}

type forgotten struct{}

func (forgotten) GiveUp(done func()) bool { done(); return true }
func (forgotten) Renice(uint8)            {}

// leaver is a client whose going shows on its connection before its reader comes to it.
type leaver struct {
	asker
	gone *atomic.Bool
}

func (l leaver) Here() bool { return !l.gone.Load() }

// A job waits for an engine; its client has gone, and the reader has not come to that yet, as it lies behind much that is
// unread. When an engine comes, nothing is sent there, and the module forgets the job.
func TestNothingIsSentForAClientThatIsNoLongerThere(t *testing.T) {
	facts := choice.RawSettings{"localities": []any{"west"}, "kinds": []any{"std"}, "domain": map[string]any{"cpu_of_kind": []any{16.0}},
		"classes": []any{map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 20e9}},
		"limits":  map[string]any{"cancel": true}}
	var started atomic.Int64
	g := New(facts, 1, parts(), false, map[backend.Protocol]backend.Make{backend.Line: func(backend.Bounds) backend.Engines { return lineOf{started: &started} }})
	defer g.Close()
	gone := leaver{asker{make(chan string, 10), func(func()) {}}, new(atomic.Bool)}
	here := leaver{asker{make(chan string, 10), func(func()) {}}, new(atomic.Bool)}
	take := func(id byte, from Asker) {
		g.Take(Ask{Type: []byte("lookup"), ID: []byte{id}, At: time.Now(), Left: 20 * time.Second, From: from})
	}
	take(1, gone)
	take(2, here)
	gone.gone.Store(true)
	g.List(listOf(t, "true", "e1"), true)
	until(t, "the other's job is not sent, or that of the one who has gone stays", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return started.Load() > 0 && g.jobs[1] == nil
	})
	if n := started.Load(); n != 1 || len(gone.said) > 0 {
		t.Errorf("%d dispatches, %d answers", n, len(gone.said))
	}
	here.gone.Store(true)
	g.mu.Lock()
	j := g.jobs[2]
	g.mu.Unlock()
	j.in.put(message{left: true})
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for stop := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal(what)
		}
	}
}
