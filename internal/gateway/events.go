package gateway

import (
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
)

// notify reports an event to the module and carries out what it decides.
func (g *Gateway) notify(event choice.Event) {
	g.mu.Lock()
	actions := g.decide(event)
	g.mu.Unlock()
	g.perform(actions)
}

// decide reports an event to the module, hands the actions that concern a job to its mailbox and returns the others,
// which the caller performs once it has released the lock. The caller holds the lock.
func (g *Gateway) decide(event choice.Event) []choice.Action {
	if event.Kind == choice.Started {
		return g.decideOne(event)
	}
	return append(g.followClock(), g.decideOne(event)...)
}

// followClock notifies the module of a step of the wall clock, if there was one since it was last called. It returns
// the actions to perform. The caller holds the lock.
func (g *Gateway) followClock() []choice.Action {
	if !g.clock.observeStep(g.clock.now()) {
		return nil
	}
	counters.Increment("clock_steps")
	slog.Warn("clock_stepped", "offset_ms", time.Duration(g.clock.offset).Milliseconds())
	return g.decideOne(choice.Event{Kind: choice.ClockStepped, ClockOffset: g.clock.offset})
}

// decideOne does what decide does, and does not look at the wall clock.
func (g *Gateway) decideOne(event choice.Event) []choice.Action {
	now := time.Now()
	g.lastTime = max(g.lastTime, g.clock.at(now))
	g.trace.event(g.lastTime, event)
	var others []choice.Action // copied: the module reuses the memory of the list that it returns
	for _, action := range g.module.Decide(g.lastTime, event) {
		g.trace.action(g.lastTime, action)
		if concernsJob(action.Kind) {
			g.deliver(moduleOrder{action: action, orderedAt: now})
		} else {
			others = append(others, action)
		}
	}
	return others
}

func concernsJob(kind choice.ActionKind) bool {
	switch kind {
	case choice.Dispatch, choice.Throttle, choice.CancelPermanently, choice.CancelAttempt, choice.SetDispatchOptions:
		return true
	default:
		return false
	}
}

// deliver puts an order of the module into the mailbox of its job. The caller holds the lock.
func (g *Gateway) deliver(order moduleOrder) {
	j := g.jobs[order.action.Job]
	invariant.Check(j != nil, "action_for_no_job")
	if j != nil {
		j.mailbox.put(order)
	}
}

// perform carries out actions that concern no job. The caller does not hold the lock.
func (g *Gateway) perform(actions []choice.Action) {
	for _, action := range actions {
		g.performOne(action)
	}
}

func (g *Gateway) performOne(action choice.Action) {
	switch action.Kind {
	case choice.SetTimer:
		time.AfterFunc(time.Duration(action.Duration), func() { g.timerDue(action.TimerID) })
	case choice.SendProbe:
		g.probe(action.Engine)
	case choice.CloseIdle:
		if host, known := g.host(action.Engine, backend.Line); known {
			g.engines.CloseIdle(host.Name)
		}
	case choice.WatchEngines: // the endpoint list is always watched: no change was missed
		g.notify(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta})
	case choice.ListEngines:
		g.listAllEngines()
	case choice.Log:
		g.logModule(action.Text)
	case choice.Fault:
		counters.Increment("module_faults")
		slog.Error("module_fault", "text", action.Text)
	case choice.SendGossip: // there is no channel between controllers
		counters.Increment("peer_messages_dropped")
	}
}

// logModule logs a line of the module, unless there were too many in this second.
func (g *Gateway) logModule(text string) {
	if g.moduleLog.Allow(time.Now()) {
		slog.Info("module", "text", text)
	}
}

func (g *Gateway) timerDue(id choice.TimerID) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if !closed {
		g.notify(choice.Event{Kind: choice.TimerFired, TimerID: id})
	}
}

// host returns where an engine is reached by a protocol; false if no list names the engine.
func (g *Gateway) host(id choice.EngineID, protocol backend.Protocol) (backend.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.table.byID[id]
	if entry == nil {
		return backend.Host{}, false
	}
	return g.table.hostBy(entry, protocol), true
}
