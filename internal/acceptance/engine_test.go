package acceptance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"swiftreel/internal/engine"
	"swiftreel/internal/fake"
)

// dispatch is one that reached an engine.
type dispatch struct {
	id      string
	at      time.Time
	session *fake.Session
}

// recordingEngine records what reaches it. A dispatch takes workTime; holding, it is not answered before release.
type recordingEngine struct {
	*fake.Engine
	workTime time.Duration

	mu       sync.Mutex
	holding  bool
	received []dispatch
	open     map[string]*time.Timer // of dispatches neither answered nor aborted; nil while it holds them
}

func startEngine(t *testing.T, workTime time.Duration, holding bool) *recordingEngine {
	t.Helper()
	e := &recordingEngine{workTime: workTime, holding: holding, open: map[string]*time.Timer{}}
	var err error
	if e.Engine, err = fake.StartEngine("127.0.0.1:0", e.handle); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func (e *recordingEngine) handle(session *fake.Session, command engine.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.Name {
	case "stats", "alive":
		session.Answer(command.ID, "well", fmt.Sprintf("load=concurrent:%d", len(e.open)), "")
	case "fetch":
		e.begin(dispatch{id: command.ID, at: time.Now(), session: session})
	case "abort":
		if timer := e.open[command.ID]; timer != nil {
			timer.Stop()
		}
		delete(e.open, command.ID)
	case "more":
		session.Answer(command.ID, "failed", "", "")
	}
}

// begin records a dispatch and lets it run. The lock is held.
func (e *recordingEngine) begin(d dispatch) {
	e.received = append(e.received, d)
	e.open[d.id] = nil
	if !e.holding {
		e.open[d.id] = time.AfterFunc(e.workTime, func() { e.answer(d) })
	}
}

// answer answers a dispatch, unless it was aborted meanwhile.
func (e *recordingEngine) answer(d dispatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, open := e.open[d.id]; open {
		delete(e.open, d.id)
		d.session.Answer(d.id, "data", fmt.Sprintf("sheets=1,toil=%d,room=4", max(1, e.workTime.Milliseconds())), "a\tb\tc\n")
	}
}

// dispatches returns what has reached it, in order.
func (e *recordingEngine) dispatches() []dispatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// hold has it answer nothing more before release.
func (e *recordingEngine) hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holding = true
}

// release ends its holding and answers all that is open.
func (e *recordingEngine) release() {
	e.mu.Lock()
	e.holding = false
	var open []dispatch
	for _, d := range e.received {
		if _, is := e.open[d.id]; is {
			open = append(open, d)
		}
	}
	e.mu.Unlock()
	for _, d := range open {
		e.answer(d)
	}
}
