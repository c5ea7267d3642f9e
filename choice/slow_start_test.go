package choice

import (
	"strings"
	"testing"
)

func TestDrainingEngineGetsNothingAndFlappingListRetainsSlowStartBudget(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	require(t, len(s.enginesOf(s.arrive(0, 0, 1))) == 0, "sent to a draining engine")
	s.now += 2 * second
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	e := s.c.engines[len(s.c.engines)-1]
	e.slowStartWork = append(e.slowStartWork, timedWork{s.now, 1})
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready}) // the failure: a list that flaps renewed the budget
	require(t, len(e.slowStartWork) > 0, "a list that flaps renews the budget")
}

// The failure: engines restarted while the list was out of reach, looked emptiest, and were pushed over.
func TestUnreportedRestartBeginsSlowStart(t *testing.T) {
	s := newStage(t, plainSettings(), 2)
	refused, empty := s.c.engines[0], s.c.engines[1]
	s.c.recordOutcome(refused, Unreachable, 0)
	require(t, s.c.slowStartFraction(empty) < 1, "it may have restarted too")
	s.handle(Event{Kind: ProbeCompleted, Engine: empty.Engine, Result: Done})
	require(t, s.c.slowStartFraction(empty) == 1, "it is heard of")
	s.handle(Event{Kind: ProbeCompleted, Engine: refused.Engine, Result: Done})
	require(t, s.c.slowStartFraction(refused) < 1, "it answers again")
	s.pass(outageDuration)
	s.c.fleet.contention = 1
	s.c.applyLoadReport(empty, []float64{2})
	require(t, s.c.slowStartFraction(empty) == 1, "two of eight jobs")
	s.c.applyLoadReport(empty, []float64{0})
	require(t, s.c.slowStartFraction(empty) < 1, "empty in a busy fleet")
	require(t, strings.Count(s.logText, "engine restart suspected") == 1, "%v", s.logText)
}

// The failure: by even parts an engine in slow start gets nothing from hundreds of controllers, by looser ones it
// falls over.
func TestSlowStartTurnsBoundAllControllersTogether(t *testing.T) {
	const n, steps = 100, 80
	var stages []*stage
	for i := range n {
		s := newStage(t, plainSettings().set("balancers", float64(n)).set("me", float64(i)), 1)
		s.now += 2 * second
		s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
		stages = append(stages, s)
	}
	work, sum := [steps]float64{}, 0.0
	for step := range steps {
		for _, s := range stages {
			work[step] += 0.1 * float64(len(s.enginesOf(s.arrive(0, 0, 1)))) // jobs of 0.1 s
			s.pass(100 * ms)
		}
		window := 0.0
		for _, w := range work[max(0, step-9) : step+1] {
			window += w
		}
		sum += work[step]
		require(t, window <= 2*0.4*8, "%v s of work within a second, step %d", window, step)
	}
	require(t, sum > 2, "all together sent only %v s of work", sum)
}

// The failure: an engine that had been cold was empty for our own restraint, and taken for just started for ever.
func TestEngineAfterSlowStartIsNoSuspectedRestart(t *testing.T) {
	s := newStage(t, plainSettings(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
	s.now += s.c.settings.slowStartWindow + second
	s.c.now, s.c.fleet.contention = s.now, 1
	s.c.applyLoadReport(s.c.engines[0], []float64{0})
	require(t, s.c.slowStartFraction(s.c.engines[0]) == 1, "cold again")
}

// A dial that failed without a refusal says nothing of a restart if an older connection answers after it. A newer one,
// or one of unknown age, may be that of an engine that has just started; so may any after a refusal.
func TestADialThatFailedIsNoRestartIfAnOlderConnectionAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		failed      []Result
		connectedAt func(failedAt Nanos) Nanos
		suspected   bool
	}{
		"older":                  {[]Result{DialFailed}, func(at Nanos) Nanos { return at - 1 }, false},
		"older than all of them": {[]Result{DialFailed, DialFailed}, func(at Nanos) Nanos { return at - 1 }, false},
		"newer":                  {[]Result{DialFailed}, func(at Nanos) Nanos { return at + 1 }, true},
		"between two dials":      {[]Result{DialFailed, DialFailed}, func(at Nanos) Nanos { return at + 1 }, true},
		"of unknown age":         {[]Result{DialFailed}, func(Nanos) Nanos { return 0 }, true},
		"refused":                {[]Result{Unreachable}, func(at Nanos) Nanos { return at - 1 }, true},
		"refused after a dial":   {[]Result{DialFailed, Unreachable}, func(at Nanos) Nanos { return at - 1 }, true},
		"dialled after refusal":  {[]Result{Unreachable, DialFailed}, func(at Nanos) Nanos { return at - 1 }, true},
	} {
		s := newStage(t, plainSettings(), 3)
		s.pass(20 * second)
		e := s.c.engines[1]
		failedAt := s.c.now
		for _, result := range c.failed {
			s.c.recordOutcome(e, result, 0)
			require(t, s.c.inSlowStart(e), "%s: it counts as warm before it is heard", name)
			s.c.now += second / 10
		}
		s.c.markSeen(e, c.connectedAt(failedAt))
		require(t, s.c.inSlowStart(e) == c.suspected, "%s: suspected %v", name, s.c.inSlowStart(e))
	}
}
