package choice

import (
	"cmp"
	"math"
	"slices"
)

// engine is what this controller knows of an engine.
type engine struct {
	EngineEntry
	index    int // index in Controller.engines
	cores    float64
	memoryMB float64 // 0: unknown

	attempts     []*attempt // own attempts in flight
	ownThreads   float64    // of own attempts
	ownMemoryMB  float64    // of own attempts
	peerThreads  float64    // of peers' attempts, as reported or estimated
	loadKnownAt  Nanos      // when the engine or a peer last reported the peers' threads
	lastReportAt Nanos      // when the engine itself last reported its load
	lastSeenAt   Nanos      // when it last answered or reported progress

	concurrencyLimit float64 // of own threads; enforced under pressure
	underPressure    bool
	cooldownUntil    Nanos // no dispatch until then, after a Full result or a failed probe
	limitRaisedAt    Nanos
	limitHalvedAt    Nanos
	latencyRatio     float64 // recent slowdowns of its jobs over the best slowdown of their types
	failureRate      float64 // recent, from 0 to 1

	ejected             bool
	ejectedAt           Nanos
	ejectionTime        Nanos // minimum duration of this ejection; doubled by the next
	consecutiveFailures int
	probesPassed        int // consecutive successful probes since the ejection
	probePending        bool
	lastProbeAt         Nanos

	refusing            bool        // a dial failed or was refused, and it has not answered since
	dialFailedAt        Nanos       // first failed dial since it last answered; 0: none, or one was refused
	suspectedRestartAt  Nanos       // when it seems to have restarted; the endpoint list reports no restart
	slowStartDispatches []timedWork // dispatches during its slow start

	gossipedThreads float64 // own threads in the last message sent
	newSuccesses    int     // outcomes since that message
	newFailures     int     // outcomes since that message
	peerSuccesses   float64 // reported by peers, decaying exponentially
	peerFailures    float64 // reported by peers, decaying exponentially
	lockedTables    []byte  // hashes of the table groups that loads lock, by the last map with tables
	lockedTablesAt  Nanos   // when that map arrived
}

// timedWork is work with the time of its dispatch.
type timedWork struct {
	dispatchedAt Nanos
	work         float64 // ns of one thread
}

func (c *Controller) findEngine(id EngineID) (int, bool) {
	return slices.BinarySearchFunc(c.engines, id, func(e *engine, id EngineID) int {
		return cmp.Compare(e.Engine, id)
	})
}

// engineByID returns an engine, or nil if it is not known.
func (c *Controller) engineByID(id EngineID) *engine {
	i, known := c.findEngine(id)
	if !known {
		return nil
	}
	return c.engines[i]
}

// upsertEngine adds or updates an engine from an entry of an endpoint list. A new engine counts as restarted.
func (c *Controller) upsertEngine(entry EngineEntry) (e *engine, restarted bool) {
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

// markEnginesRemoved marks all engines as removed, before the entries of a complete list set their states.
func (c *Controller) markEnginesRemoved() {
	for _, e := range c.engines {
		e.State = Removed
	}
}

// indexEngines sets the index of each engine, and returns the cores of ready ones.
func (c *Controller) indexEngines() (readyCores float64) {
	for i, e := range c.engines {
		e.index = i
		if e.State == Ready {
			readyCores += e.cores
		}
	}
	return readyCores
}

// pruneEngines deletes slow-start work older than a time, and removed engines that have neither attempts nor
// such work left. An engine that leaves the list and returns must keep its slow-start budget.
func (c *Controller) pruneEngines(before Nanos) {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		e.slowStartDispatches = slices.DeleteFunc(e.slowStartDispatches, func(w timedWork) bool {
			return w.dispatchedAt < before
		})
		return e.State == Removed && len(e.attempts) == 0 && len(e.slowStartDispatches) == 0
	})
}

// countEjected counts the ready engines, and those of them that are ejected.
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

// warmCores returns the cores of an engine, or 0 during its slow start, when it gets little work.
func (c *Controller) warmCores(e *engine) float64 {
	return e.cores * math.Floor(c.slowStartFraction(e))
}
