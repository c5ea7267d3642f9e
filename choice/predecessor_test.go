package choice

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// Two processes of one controller: the older serves what it owes, the newer takes what comes. To the rules they are
// one.

func TestPredecessorCountsInRules(t *testing.T) {
	facts := func() RawSettings {
		return RawSettings{"balancers": 1.0, "me": 0.0, "classes": []any{
			map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 1e9, "gain": 1.0},
			map[string]any{"name": "import", "idempotency": "once", "aim_ns": 1e9, "gain": 1.0, "fifo_by_key": true}},
			"limits": map[string]any{"most_tries": 9.0, "cancel": true}, "domain": map[string]any{"class_threads": []any{1.0,
				1.0}, "cpu_of_kind": []any{16.0}},
			"invariants": map[string]any{"order_pause_ns": 1e8, "fall_ns": 1e9, "warm_within_ns": 1e10, "fall_multiple": 4.0,
				"start_capacity":  0.3,
				"extra_window_ns": 5e9, "budget_free": 3.0, "further_ratio": 0.0}}
	}
	const start = Nanos(1e15)
	dispatches := func(acts []Action) (n int) {
		for _, a := range acts {
			if a.Kind == Dispatch {
				n++
			}
		}
		return n
	}
	begin := func(predecessor bool, startedAt Nanos) *Controller {
		c := &Controller{}
		c.Decide(start, Event{Kind: Started, Seed: 1, Settings: facts()})
		if predecessor {
			c.Decide(start, Event{Kind: PredecessorChanged, PredecessorRunning: true})
		}
		c.Decide(start, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: 1, State: Ready,
			StartedAt: startedAt}}})
		return c
	}
	keyed := func(c *Controller, at Nanos) int {
		return dispatches(c.Decide(at, Event{Kind: JobArrived, Job: 1, Type: 1, Key: 7, TimeLeft: 60e9, Cost: 1e7,
			CostKnown: true}))
	}
	sweep := func(c *Controller, at Nanos) int {
		return dispatches(c.Decide(at, Event{Kind: TimerFired, TimerID: c.timerID}))
	}

	// Rule 5: a key rests from the elder's end on.
	if c := begin(false, 0); keyed(c, start+1e7) != 1 {
		t.Error("without an elder a key waits")
	}
	c := begin(true, 0)
	if keyed(c, start+1e7) != 0 || sweep(c, start+5e8) != 0 {
		t.Error("a key goes on while an elder may serve it")
	}
	c.Decide(start+6e8, Event{Kind: PredecessorChanged})
	if sweep(c, start+6e8+5e7) != 0 {
		t.Error("a key goes on before it has rested")
	}
	if sweep(c, start+6e8+11e7) != 1 {
		t.Error("a key never goes on")
	}

	// Rule 4: what the elder sent to a cold engine is not known before a window after its end.
	lookup := func(c *Controller, job JobID, at Nanos) int {
		return dispatches(c.Decide(at, Event{Kind: JobArrived, Job: job, TimeLeft: 60e9, Cost: 1e7, CostKnown: true}))
	}
	c = begin(true, start)
	c.Decide(start+2e9, Event{Kind: PredecessorChanged})
	if lookup(c, 1, start+25e8) != 0 {
		t.Error("a cold engine is sent a job within a window after the elder's end")
	}
	if sweep(c, start+31e8) != 1 {
		t.Error("it is never sent one")
	}
	if c = begin(false, start); lookup(c, 1, start+12e8) != 1 {
		t.Error("without an elder a cold engine is never sent a job")
	}

	// Rule 7: the free part of the budget may be the elder's for a window.
	c = begin(true, 0)
	if c.Decide(start+1e9, Event{Kind: PredecessorChanged}); c.retryBudgetAllows() {
		t.Error("the free part is used twice")
	}
	if c.now = start + 61e8; !c.retryBudgetAllows() {
		t.Error("the budget never comes back")
	}
}

// What an older process has learned goes over; what it cannot have learned does not.
func TestStateTransfer(t *testing.T) {
	facts := RawSettings{"classes": []any{map[string]any{"name": "lookup", "aim_ns": 1e9},
		map[string]any{"name": "report", "aim_ns": 4e9}}}
	begin := func() *Controller {
		c := &Controller{}
		c.Decide(1e15, Event{Kind: Started, Seed: 1, Settings: facts})
		return c
	}
	old := begin()
	old.types[0].TypeStats = TypeStats{meanWork: 5e6, workCount: 50, costBias: -1.2, costCount: 900, memoryBias: 0.4,
		memoryDeviation: 0.2, memoryCount: 700, bestSlowdown: 1.4, slowdown: 1.9}
	text, err := json.Marshal(old.TypeStats())
	if err != nil {
		t.Fatal(err)
	}
	var received []TypeStats
	if err := json.Unmarshal(text, &received); err != nil {
		t.Fatal(err)
	}
	received[1].slowdown = math.Inf(1) // torn on the way
	c := begin()
	fresh := c.types[1].TypeStats
	c.Decide(1e15+1, Event{Kind: StateTransferred, TypeStats: append(received, received...)})
	if c.types[0].TypeStats != old.types[0].TypeStats || c.types[1].TypeStats != fresh {
		t.Errorf("%+v %+v", c.types[0].TypeStats, c.types[1].TypeStats)
	}
	c.Decide(1e15+2, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: 1, State: Ready},
		{Engine: 2, State: Ready}, {Engine: 3, State: Ready}, {Engine: 4, State: Ready}}})
	c.Decide(1e15+3, Event{Kind: StateTransferred, EngineHealth: []EngineHealth{{1, 2.5, 0.4, true},
		{2, 1.5, 0.1, false}, {3, math.NaN(), 0, true}, {9, 1, 0, true}}})
	if got := fmt.Sprint(c.EngineHealth()); got != "[{1 2.5 0.4 true} {2 1.5 0.1 false} {3 1 0 false} {4 1 0 false}]" {
		t.Errorf("%s", got)
	}
	for _, bad := range []string{`[[1,2,3]]`, `[["x"]]`, `{}`} {
		if json.Unmarshal([]byte(bad), &received) == nil {
			t.Errorf("%s is read", bad)
		}
	}
	for _, m := range []TypeStats{{}, {meanWork: -1, bestSlowdown: 1, slowdown: 1},
		{meanWork: 1, bestSlowdown: 1, slowdown: 1, costBias: 99}, {meanWork: math.NaN(), bestSlowdown: 1, slowdown: 1}} {
		if m.plausible() {
			t.Errorf("%+v is sound", m)
		}
	}
}
