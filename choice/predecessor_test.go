package choice

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// During a handover two processes serve one controller: the older finishes its jobs, the newer admits new ones. The
// rules apply to both together.

const successorStart = Nanos(1e15)

func successorSettings() RawSettings {
	return RawSettings{
		"balancers": 1.0,
		"me":        0.0,
		"classes": []any{
			map[string]any{"name": "lookup", "idempotency": "repeatable", "aim_ns": 1e9, "gain": 1.0},
			map[string]any{"name": "import", "idempotency": "once", "aim_ns": 1e9, "gain": 1.0, "fifo_by_key": true},
		},
		"limits": map[string]any{"most_tries": 9.0, "cancel": true},
		"domain": map[string]any{"class_threads": []any{1.0, 1.0}, "cpu_of_kind": []any{16.0}},
		"invariants": map[string]any{"order_pause_ns": 1e8, "fall_ns": 1e9, "warm_within_ns": 1e10, "fall_multiple": 4.0,
			"start_capacity": 0.3, "extra_window_ns": 5e9, "budget_free": 3.0, "further_ratio": 0.0},
	}
}

// newSuccessor returns a controller that just started, with one engine, and a running predecessor or none.
func newSuccessor(predecessor bool, engineStartedAt Nanos) *Controller {
	c := &Controller{}
	c.Decide(successorStart, Event{Kind: Started, Seed: 1, Settings: ParseSettings(successorSettings())})
	if predecessor {
		c.Decide(successorStart, Event{Kind: PredecessorChanged, PredecessorRunning: true})
	}
	entry := EngineEntry{Engine: 1, State: Ready, StartedAt: engineStartedAt}
	c.Decide(successorStart, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{entry}})
	return c
}

// dispatchesAt returns the number of dispatches that an event causes at a time after the start.
func dispatchesAt(c *Controller, after Nanos, ev Event) (dispatches int) {
	for _, a := range c.Decide(successorStart+after, ev) {
		if a.Kind == Dispatch {
			dispatches++
		}
	}
	return dispatches
}

func sweepAt(c *Controller, after Nanos) (dispatches int) {
	return dispatchesAt(c, after, Event{Kind: TimerFired, TimerID: c.timerID})
}

func TestPredecessorCountsInRules(t *testing.T) {
	predecessorEnded := Event{Kind: PredecessorChanged}
	keyed := Event{Kind: JobArrived, Job: 1, Type: 1, Key: 7, TimeLeft: 60e9, Cost: 1e7, CostKnown: true}
	lookup := Event{Kind: JobArrived, Job: 1, TimeLeft: 60e9, Cost: 1e7, CostKnown: true}

	t.Run("rule 5: an ordering key pauses after the end of a predecessor that was not linked", func(t *testing.T) {
		if c := newSuccessor(false, 0); dispatchesAt(c, 1e7, keyed) != 1 {
			t.Error("a key pauses without a predecessor")
		}
		c := newSuccessor(true, 0)
		if dispatchesAt(c, 1e7, keyed) != 0 || sweepAt(c, 5e8) != 0 {
			t.Error("a job of a key is dispatched while the predecessor may serve the key")
		}
		if c.jobs[keyed.Job] != nil {
			t.Error("a job of a key is kept, though the predecessor may run later ones first")
		}
		c.Decide(successorStart+6e8, predecessorEnded)
		if dispatchesAt(c, 6e8+1e7, keyed) != 0 || sweepAt(c, 6e8+5e7) != 0 {
			t.Error("a job of a key is dispatched during the pause")
		}
		if sweepAt(c, 6e8+11e7) != 1 {
			t.Error("no job of the key is dispatched after the pause")
		}
	})

	t.Run("rule 4: the predecessor's dispatches to an engine in slow start are unknown for a window", func(t *testing.T) {
		c := newSuccessor(true, successorStart)
		c.Decide(successorStart+2e9, predecessorEnded)
		if dispatchesAt(c, 25e8, lookup) != 0 {
			t.Error("an engine in slow start gets a job within a window after the predecessor's end")
		}
		if sweepAt(c, 31e8) != 1 {
			t.Error("an engine in slow start gets no job after the window")
		}
		if c = newSuccessor(false, successorStart); dispatchesAt(c, 12e8, lookup) != 1 {
			t.Error("without a predecessor an engine in slow start gets no job")
		}
	})

	t.Run("rule 7: the predecessor may have used the free retries of the window", func(t *testing.T) {
		c := newSuccessor(true, 0)
		if c.Decide(successorStart+1e9, predecessorEnded); c.retryBudgetAllows() {
			t.Error("the free retries are allowed twice")
		}
		if c.now = successorStart + 61e8; !c.retryBudgetAllows() {
			t.Error("the free retries are not allowed after the window")
		}
	})
}

// A successor restores what its predecessor learned, and ignores implausible values.
func TestStateTransfer(t *testing.T) {
	raw := RawSettings{"classes": []any{map[string]any{"name": "lookup", "aim_ns": 1e9},
		map[string]any{"name": "report", "aim_ns": 4e9}}}
	newController := func() *Controller {
		c := &Controller{}
		c.Decide(1e15, Event{Kind: Started, Seed: 1, Settings: ParseSettings(raw)})
		return c
	}
	old := newController()
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
	received[1].slowdown = math.Inf(1) // corrupted in transit
	c := newController()
	initial := c.types[1].TypeStats
	c.Decide(1e15+1, Event{Kind: StateTransferred, TypeStats: append(received, received...)})
	if c.types[0].TypeStats != old.types[0].TypeStats || c.types[1].TypeStats != initial {
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
			t.Errorf("%s is accepted", bad)
		}
	}
	for _, stats := range []TypeStats{{}, {meanWork: -1, bestSlowdown: 1, slowdown: 1},
		{meanWork: 1, bestSlowdown: 1, slowdown: 1, costBias: 99}, {meanWork: math.NaN(), bestSlowdown: 1, slowdown: 1}} {
		if stats.plausible() {
			t.Errorf("%+v counts as plausible", stats)
		}
	}
}
