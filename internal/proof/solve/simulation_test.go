package main

import (
	"slices"
	"testing"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

func TestClockRunsEventsInOrder(t *testing.T) {
	clock := &virtualClock{now: virtualStart}
	var got []string
	add := func(delay choice.Nanos, name string) { clock.after(delay, func() { got = append(got, name) }) }
	add(20, "later")
	add(10, "first of two")
	add(10, "second of two")
	add(100, "too late")
	clock.runUntil(virtualStart + 20)
	if want := []string{"first of two", "second of two", "later"}; !slices.Equal(got, want) {
		t.Errorf("events: %q, want %q", got, want)
	}
	if clock.now != virtualStart+20 {
		t.Errorf("the clock stands %d after the start, want 20", clock.now-virtualStart)
	}
}

func TestServerSharesItsCores(t *testing.T) {
	const work = 1e6 // nanoseconds of thread time
	for name, test := range map[string]struct {
		threads []float64 // threads of jobs that start at the same time with equal work
		want    []choice.Nanos
	}{
		"one thread":                  {[]float64{1}, []choice.Nanos{work}},
		"two threads of one job":      {[]float64{2}, []choice.Nanos{work / 2}},
		"all cores busy":              {[]float64{1, 1}, []choice.Nanos{work, work}},
		"twice as many as cores":      {[]float64{2, 2}, []choice.Nanos{work, work}},
		"the last has cores to spare": {[]float64{3, 1}, []choice.Nanos{666_667, 1_333_333}},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &virtualClock{now: virtualStart}
			server := &simulatedServer{clock: clock, cores: 2, settledAt: clock.now}
			var got []choice.Nanos
			onDone := func() { got = append(got, clock.now-virtualStart) }
			for _, threads := range test.threads {
				server.start(&execution{workLeft: work, threads: threads, onDone: onDone})
			}
			clock.runUntil(virtualStart + 10*work)
			if len(got) != len(test.want) {
				t.Fatalf("%d of %d jobs are done", len(got), len(test.want))
			}
			for i, want := range test.want {
				if got[i] < want || got[i] > want+5 {
					t.Errorf("job %d is done after %d ns, want %d", i, got[i], want)
				}
			}
		})
	}
}

func TestSimulationFollowsItsSeed(t *testing.T) {
	fleet := twoZoneFleet(800)
	first := simulate(fleet, nil, 1)
	if again := simulate(fleet, nil, 1); again != first {
		t.Errorf("the same seed gave %+v, then %+v", first, again)
	}
	if other := simulate(fleet, nil, 2); other == first {
		t.Errorf("two seeds both gave %+v", first)
	}
	if first.violations > 0 || first.arrived == 0 || first.onTime == 0 {
		t.Errorf("outcomes: %+v", first)
	}
}

func TestCapacityGrowsEvenly(t *testing.T) {
	for name, test := range map[string]struct {
		engine solve.Engine
		atMS   int64
		want   int64
	}{
		"ready":          {solve.Engine{State: solve.Ready}, 0, fullCapacity},
		"draining":       {solve.Engine{State: solve.Draining}, 0, 0},
		"just started":   {solve.Engine{State: solve.Started, CapacityPerMille: 400, WarmInMS: 1000}, 0, 400_000},
		"half warm":      {solve.Engine{State: solve.Started, CapacityPerMille: 400, WarmInMS: 1000}, 500, 700_000},
		"warm":           {solve.Engine{State: solve.Started, CapacityPerMille: 400, WarmInMS: 1000}, 1000, fullCapacity},
		"of no capacity": {solve.Engine{State: solve.Started, WarmInMS: 1000}, 250, 250_000},
	} {
		t.Run(name, func(t *testing.T) {
			if got := capacityAt(test.engine, test.atMS); got != test.want {
				t.Errorf("capacity %d, want %d", got, test.want)
			}
		})
	}
}

func TestSummaryOfDurations(t *testing.T) {
	var durations []time.Duration
	for i := range 101 {
		durations = append(durations, time.Duration(100-i)*time.Millisecond)
	}
	want := "median 50ms, p90 90ms, p99 99ms, most 100ms"
	if got := summarize(durations); got != want {
		t.Errorf("summary: %q, want %q", got, want)
	}
	if durations[0] != 100*time.Millisecond {
		t.Error("the durations were sorted in place")
	}
}
