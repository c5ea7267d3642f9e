package choice

import (
	"cmp"
	"math"
	"slices"
)

// engine is the state of an engine.
type engine struct {
	EngineEntry
	index    int // in Controller.engines
	cores    float64
	memoryMB float64 // 0: not known

	attempts       []*attempt // ours, out
	ownThreads     float64    // of these
	ownMemoryMB    float64    // likewise
	siblingThreads float64    // as reported or guessed
	loadKnownAt    Nanos      // when siblings' threads were last reported, by the engine or by siblings
	lastReportAt   Nanos      // of the engine itself
	lastSeenAt     Nanos      // of its last answer or progress

	concurrencyLimit float64 // in threads of ours; binds under pressure
	underPressure    bool
	fullUntil        Nanos // nothing is sent to it until then
	limitRaisedAt    Nanos
	limitHalvedAt    Nanos
	latencyRatio     float64 // recent latency over the best of its types
	failureRate      float64 // recent, from 0 to 1

	ejected             bool
	ejectedAt           Nanos
	ejectionTime        Nanos // the next ejection lasts twice as long
	consecutiveFailures int
	probesPassed        int // in a row
	probePending        bool
	lastProbeAt         Nanos

	refusing           bool  // it refused the last connection, or may have
	dialFailedAt       Nanos // first dial that failed without a refusal since it was seen; 0: it refused, or none
	suspectedRestartAt Nanos // a restart that the list does not report
	slowStartWork      []timedWork

	gossipedThreads  float64 // ours, by our last message
	newSuccesses     int     // since then
	newFailures      int     // likewise
	siblingSuccesses float64 // that siblings reported, decaying
	siblingFailures  float64 // likewise
	lockedTables     []byte  // hashes of the groups that siblings' loads hold, by a map of lockedTablesAt
	lockedTablesAt   Nanos
}

// timedWork is work in ns that was dispatched at a time.
type timedWork struct {
	dispatchedAt Nanos
	work         float64
}

func (c *Controller) findEngine(id EngineID) (int, bool) {
	return slices.BinarySearchFunc(c.engines, id, func(e *engine, id EngineID) int {
		return cmp.Compare(e.Engine, id)
	})
}

// engineByID returns a known engine, or nil.
func (c *Controller) engineByID(id EngineID) *engine {
	i, known := c.findEngine(id)
	if !known {
		return nil
	}
	return c.engines[i]
}

// enterEngine applies an entry of a list. It reports whether its engine is new or restarted.
func (c *Controller) enterEngine(entry EngineEntry) (e *engine, restarted bool) {
	i, known := c.findEngine(entry.Engine)
	if !known {
		c.engines = slices.Insert(c.engines, i, &engine{})
	}
	e = c.engines[i]
	restarted = !known || e.StartedAt != entry.StartedAt
	e.EngineEntry = entry
	e.cores = c.settings.cores(entry.Kind)
	e.memoryMB = c.settings.memoryMB(entry.Kind)
	return e, restarted
}

// removeEngines marks all engines as removed, until a list contains them again.
func (c *Controller) removeEngines() {
	for _, e := range c.engines {
		e.State = Removed
	}
}

// indexEngines numbers engines in their order, and returns the cores of ready ones.
func (c *Controller) indexEngines() (readyCores float64) {
	for i, e := range c.engines {
		e.index = i
		if e.State == Ready {
			readyCores += e.cores
		}
	}
	return readyCores
}

// dropEngines deletes slow-start work older than a time, and removed engines without attempts or such work. An engine
// that leaves and returns keeps its slow-start budget.
func (c *Controller) dropEngines(before Nanos) {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		e.slowStartWork = slices.DeleteFunc(e.slowStartWork, func(w timedWork) bool { return w.dispatchedAt < before })
		return e.State == Removed && len(e.attempts) == 0 && len(e.slowStartWork) == 0
	})
}

// countEjected counts ready engines, and the ejected ones of them.
func (c *Controller) countEjected() (ejected, ready int) {
	for _, e := range c.engines {
		if e.State != Ready {
			continue
		}
		ready++
		if e.ejected {
			ejected++
		}
	}
	return ejected, ready
}

func (c *Controller) sendProbe(e *engine) {
	e.lastProbeAt = c.now
	e.probePending = true
	c.emit(Action{Kind: SendProbe, Engine: e.Engine})
}

// warmCores is the cores of an engine, or 0 during its slow start, when it is kept almost empty.
func (c *Controller) warmCores(e *engine) float64 {
	return e.cores * math.Floor(c.slowStartFraction(e))
}
