package choice

import (
	"strings"
	"testing"
)

func TestDrainingEngineGetsNothingAndFlappingListRetainsSlowStartBudget(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Draining})
	require(t, len(s.enginesOf(s.arrive(0, 0, 1))) == 0, "dispatched to a draining engine")
	s.now += 2 * second
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	e := s.c.engines[len(s.c.engines)-1]
	e.slowStartDispatches = append(e.slowStartDispatches, timedWork{s.now, 1})
	s.list(ListDelta, EngineEntry{Engine: 101, State: Ready}) // a flapping list must not reset the slow-start budget
	require(t, len(e.slowStartDispatches) > 0, "a flapping list reset the slow-start budget")
}

// Guards against overloading engines that restart while the list is unreachable and then look idle.
func TestUnreportedRestartBeginsSlowStart(t *testing.T) {
	s := newSimulation(t, testSettings(), 2)
	refused, empty := s.c.engines[0], s.c.engines[1]
	s.c.recordOutcome(refused, ConnectionRefused, 0)
	require(t, s.c.slowStartFraction(empty) < 1, "an engine not seen since the outage began is not in slow start")
	s.handle(Event{Kind: ProbeCompleted, Engine: empty.Engine, Result: Done})
	require(t, s.c.slowStartFraction(empty) == 1, "an engine that answered a probe is still in slow start")
	s.handle(Event{Kind: ProbeCompleted, Engine: refused.Engine, Result: Done})
	require(t, s.c.slowStartFraction(refused) < 1, "an engine that refused and answers again is not in slow start")
	s.advance(outageTimeout)
	s.c.fleet.contention = 1
	s.c.applyLoadReport(empty, []float64{2})
	require(t, s.c.slowStartFraction(empty) == 1, "two of eight expected jobs suggest a restart")
	s.c.applyLoadReport(empty, []float64{0})
	require(t, s.c.slowStartFraction(empty) < 1, "an idle engine in a busy fleet does not suggest a restart")
	require(t, strings.Count(s.logText, "engine restart suspected") == 1, "%v", s.logText)
}

// Guards against dividing the slow-start budget among hundreds of controllers without turns: with even parts the engine
// gets no jobs, with larger ones it is overloaded.
func TestSlowStartTurnsBoundAllControllersTogether(t *testing.T) {
	const n, steps = 100, 80
	var simulations []*simulation
	for i := range n {
		s := newSimulation(t, testSettings().set("balancers", float64(n)).set("me", float64(i)), 1)
		s.now += 2 * second
		s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
		simulations = append(simulations, s)
	}
	work, sum := [steps]float64{}, 0.0
	for step := range steps {
		for _, s := range simulations {
			work[step] += 0.1 * float64(len(s.enginesOf(s.arrive(0, 0, 1)))) // each job is 0.1 s of work
			s.advance(100 * ms)
		}
		window := 0.0
		for _, w := range work[max(0, step-9) : step+1] {
			window += w
		}
		sum += work[step]
		require(t, window <= 2*0.4*8, "%v s of work within a second, step %d", window, step)
	}
	require(t, sum > 2, "all controllers together sent only %v s of work", sum)
}

// Guards against an endless slow start: an engine kept idle by its slow start looks as if it restarted again.
func TestEngineAfterSlowStartIsNoSuspectedRestart(t *testing.T) {
	s := newSimulation(t, testSettings(), 1)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now})
	s.now += s.c.settings.slowStartWindow + second
	s.c.now, s.c.fleet.contention = s.now, 1
	s.c.applyLoadReport(s.c.engines[0], []float64{0})
	require(t, s.c.slowStartFraction(s.c.engines[0]) == 1, "in slow start again")
}

// A dial that failed without a refusal is no sign of a restart if the engine later answers over an older connection. It
// may have restarted if the connection is newer or of unknown age, or after a refusal.
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
		"refused":                {[]Result{ConnectionRefused}, func(at Nanos) Nanos { return at - 1 }, true},
		"refused after a dial":   {[]Result{DialFailed, ConnectionRefused}, func(at Nanos) Nanos { return at - 1 }, true},
		"dialled after refusal":  {[]Result{ConnectionRefused, DialFailed}, func(at Nanos) Nanos { return at - 1 }, true},
	} {
		s := newSimulation(t, testSettings(), 3)
		s.advance(20 * second)
		e := s.c.engines[1]
		failedAt := s.c.now
		for _, result := range c.failed {
			s.c.recordOutcome(e, result, 0)
			require(t, s.c.inSlowStart(e), "%s: not in slow start before it answers", name)
			s.c.now += second / 10
		}
		s.c.markSeen(e, c.connectedAt(failedAt))
		require(t, s.c.inSlowStart(e) == c.suspected, "%s: suspected %v", name, s.c.inSlowStart(e))
	}
}
