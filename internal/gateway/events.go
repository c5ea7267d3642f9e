package gateway

import (
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/invariant"
)

// notify reports an event to the module and performs the resulting actions.
func (g *Gateway) notify(event choice.Event) {
	g.mu.Lock()
	actions := g.decide(event)
	g.mu.Unlock()
	g.perform(actions)
}

// decide reports an event to the module, after a step of the wall clock if there was one. It puts actions for jobs into
// the jobs' mailboxes and returns the others, which the caller performs after releasing the lock. The caller must hold
// the lock.
func (g *Gateway) decide(event choice.Event) []choice.Action {
	if event.Kind == choice.Started {
		return g.callModule(event)
	}
	return append(g.notifyClockStep(), g.callModule(event)...)
}

// notifyClockStep notifies the module if the wall clock was stepped since the last call. It returns the actions to
// perform. The caller must hold the lock.
func (g *Gateway) notifyClockStep() []choice.Action {
	if !g.clock.observeStep(g.clock.now()) {
		return nil
	}
	counters.Increment("clock_steps")
	slog.Warn("clock_stepped", "offset_ms", time.Duration(g.clock.offset).Milliseconds())
	return g.callModule(choice.Event{Kind: choice.ClockStepped, ClockOffset: g.clock.offset})
}

// callModule is like decide but does not check the wall clock.
func (g *Gateway) callModule(event choice.Event) []choice.Action {
	now := time.Now()
	g.lastTime = max(g.lastTime, g.clock.at(now))
	g.trace.event(g.lastTime, event)
	var others []choice.Action // a copy, since the module reuses the returned slice
	for _, action := range g.module.Decide(g.lastTime, event) {
		g.trace.action(g.lastTime, action)
		switch {
		case concernsJob(action.Kind):
			g.deliver(moduleAction{action: action, decidedAt: now})
		case concernsPeer(action.Kind):
			g.sendToPeer(action)
		default:
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

// deliver puts an action of the module into the mailbox of its job. The caller must hold the lock.
func (g *Gateway) deliver(message moduleAction) {
	j := g.jobs[message.action.Job]
	invariant.Check(j != nil, "action_for_no_job")
	if j != nil {
		j.mailbox.put(message)
	}
}

// perform executes actions that are not for a job. The caller must not hold the lock.
func (g *Gateway) perform(actions []choice.Action) {
	for _, action := range actions {
		g.performOne(action)
	}
}

func (g *Gateway) performOne(action choice.Action) {
	switch action.Kind {
	case choice.SetTimer:
		time.AfterFunc(time.Duration(action.Duration), func() { g.fireTimer(action.TimerID) })
	case choice.SendProbe:
		g.probe(action.Engine)
	case choice.CloseIdle:
		if host, known := g.host(action.Engine, backend.Line); known {
			g.engines.CloseIdle(host.Name)
		}
	case choice.WatchEngines: // the endpoint list is always watched, so no change was missed
		g.notify(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta})
	case choice.ListEngines:
		g.listAllEngines()
	case choice.Log:
		g.logModule(action.Text)
	case choice.Fault:
		counters.Increment("module_faults")
		slog.Error("module_fault", "text", action.Text)
	case choice.SendGossip: // gossip between controllers is not implemented
		counters.Increment("peer_messages_dropped")
	}
}

// logModule logs a line of the module, subject to a rate limit.
func (g *Gateway) logModule(text string) {
	if g.moduleLog.Allow(time.Now()) {
		slog.Info("module", "text", text)
	}
}

func (g *Gateway) fireTimer(id choice.TimerID) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if !closed {
		g.notify(choice.Event{Kind: choice.TimerFired, TimerID: id})
	}
}

// host returns the address of an engine for a protocol, and false if the engine is not in the table.
func (g *Gateway) host(id choice.EngineID, protocol backend.Protocol) (backend.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := g.table.byID[id]
	if entry == nil {
		return backend.Host{}, false
	}
	return g.table.hostBy(entry, protocol), true
}
