// Package gateway owns the decision module: it tells it what happens, in order and one thing at a time, and
// carries out what it decides. It decides nothing itself.
package gateway

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/backend"
	"swiftreel/internal/counters"
	"swiftreel/internal/failpoint"
	"swiftreel/internal/invariant"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/sparql/decide"
)

// Gateway stands between clients, engines and the module.
type Gateway struct {
	clock   clock
	names   names
	pool    backend.Engines
	rules   rules
	parts   *limits.Parts
	ready   atomic.Bool
	trace   trace
	running sync.WaitGroup // jobs' functions, and the watch over what is believed
	done    chan struct{}
	lines   ratelog.Limiter // of the module's log
	tally   *jobstats.Book  // nil: nothing is counted
	overdue ratelog.Logger

	mu        sync.Mutex // around Decide and what follows; no I/O under it
	module    choice.Controller
	roster    roster
	following following
	drains    *decide.Drain         // nil: no engine says so itself
	guard     *decide.Guard         // nil: there is one protocol
	jobs      map[choice.JobID]*job // until their function returns
	calls     map[string]struct{}   // the ids of those that are not answered, nor left by their client
	lastID    choice.JobID
	last      choice.Nanos // the module's time never goes back
	ended     bool         // timers come to nothing
}

// New starts the module with the settings as they are, and what speaks with engines by protocol.
func New(facts choice.RawSettings, seed uint64, parts *limits.Parts, traced bool, speak map[backend.Protocol]backend.Make) *Gateway {
	g := &Gateway{clock: newClock(), names: newNames(facts), rules: newRules(facts), parts: parts, roster: newRoster(),
		jobs: map[choice.JobID]*job{}, calls: map[string]struct{}{}, done: make(chan struct{}), trace: trace(traced)}
	g.pool = backend.NewEach(speak, backend.Bounds{Dial: g.rules.dial, Idle: g.rules.idle, Step: g.rules.step, Streams: g.rules.streams,
		Conns: &parts.EngineConns, Bytes: &parts.Bytes})
	g.running.Go(func() { g.watch(g.done) })
	g.tell(choice.Event{Kind: choice.Started, Seed: seed, Settings: facts})
	return g
}

// Count has jobs counted from now on. It comes before Start.
func (g *Gateway) Count(b *jobstats.Book) { g.tally = b }

// Ready tells whether the module has a list of engines and jobs are welcome.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Start says so.
func (g *Gateway) Start() { g.ready.Store(true) }

// Stop says that jobs are no longer welcome, and tells the module how long it may count on.
func (g *Gateway) Stop() {
	g.ready.Store(false)
	g.tell(choice.Event{Kind: choice.Stopping, TimeLeft: choice.Nanos(g.rules.stops)})
}

// tell hands an event to the module and carries out what it decides: what concerns a job goes to its inbox in
// the module's order, the rest is done once the lock is free.
func (g *Gateway) tell(ev choice.Event) {
	g.mu.Lock()
	rest := g.decide(ev)
	g.mu.Unlock()
	g.carry(rest)
}

// decide holds the lock. Actions are copied, as the module uses their place again.
func (g *Gateway) decide(ev choice.Event) (rest []choice.Action) {
	now := time.Now()
	g.last = max(g.last, g.clock.at(now))
	g.trace.event(g.last, ev)
	for _, a := range g.module.Decide(g.last, ev) {
		g.trace.action(g.last, a)
		switch a.Kind {
		case choice.Dispatch, choice.Throttle, choice.CancelPermanently, choice.CancelAttempt, choice.SetDispatchOptions:
			j := g.jobs[a.Job]
			if invariant.Check(j != nil, "action_for_no_job"); j != nil {
				j.in.put(message{order: a, at: now})
			}
		default:
			rest = append(rest, a)
		}
	}
	return rest
}

// carry does what concerns no job.
func (g *Gateway) carry(acts []choice.Action) {
	for _, a := range acts {
		switch a.Kind {
		case choice.SetTimer:
			time.AfterFunc(time.Duration(a.Duration), func() { g.due(a.TimerID) })
		case choice.SendProbe:
			g.probe(a.Engine)
		case choice.CloseIdle:
			if host, is := g.host(a.Engine, backend.Line); is {
				g.pool.CloseIdle(host.Name)
			}
		case choice.WatchEngines: // the feed is always followed: nothing was missed
			g.tell(choice.Event{Kind: choice.EnginesListed, List: choice.ListDelta})
		case choice.ListEngines:
			g.listAll()
		case choice.Log:
			g.say(a.Text)
		case choice.Fault:
			counters.Increment("module_faults")
			slog.Error("module_fault", "text", a.Text)
		case choice.SendGossip: // no channel between controllers is told of
			counters.Increment("tells_dropped")
		}
	}
}

// say logs the module's lines, some a second at most.
func (g *Gateway) say(text string) {
	if g.lines.Allow(time.Now()) {
		slog.Info("module", "text", text)
	}
}

func (g *Gateway) due(mark choice.TimerID) {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if !ended {
		g.tell(choice.Event{Kind: choice.TimerFired, TimerID: mark})
	}
}

// host is where an engine is reached by a protocol.
func (g *Gateway) host(id choice.EngineID, by backend.Protocol) (backend.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.roster.byID[id]; l != nil {
		return g.roster.reached(l, by), true
	}
	return backend.Host{}, false
}

func (g *Gateway) probe(id choice.EngineID) {
	at := time.Now()
	told := func(r backend.Reply) {
		g.tell(choice.Event{Kind: choice.ProbeCompleted, Engine: id, Result: results[r.End], Latency: choice.Nanos(time.Since(at)),
			Load: g.rules.load(r.Load)})
	}
	if host, is := g.host(id, backend.Line); is {
		if host.Address == "" { // it speaks nothing but SPARQL
			host, _ = g.host(id, backend.SPARQL)
		}
		g.tally.Probe()
		go g.pool.Probe(host, g.rules.loadTold, g.rules.dial, told)
		for range failpoint.Probes() {
			g.tally.Probe()
			go g.pool.Probe(host, g.rules.loadTold, g.rules.dial, func(backend.Reply) {})
		}
	} else {
		told(backend.Reply{End: backend.NotConnected})
	}
}

// Close ends timers and connections to engines, and waits for jobs' functions.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.ended = true
	if g.following.timer != nil {
		g.following.timer.Stop()
	}
	g.mu.Unlock()
	close(g.done)
	g.pool.Close()
	g.running.Wait()
	invariant.Check(len(g.jobs) == 0 && len(g.calls) == 0, "jobs_left")
	invariant.Check(g.parts.Reads.All() && g.parts.Bytes.All(), "bytes_left")
}

// Restate tells the module its settings anew, between two decisions: jobs taken in and dispatches out stay. What
// concerns carrying out (names, time limits, fields of load reports) stays as at the start.
func (g *Gateway) Restate(facts choice.RawSettings) {
	g.tell(choice.Event{Kind: choice.Reconfigured, Settings: facts})
	slog.Info("settings_restated")
}

// Part tells the module what it carries of the fleet, and of quotas by the names of tenants, for so long.
func (g *Gateway) Part(share float64, quotas map[string]float64, left time.Duration) {
	p := choice.Quota{FleetShare: share, TenantShares: map[choice.TenantID]float64{}, ExpiresAt: g.clock.at(time.Now()) + choice.Nanos(left)}
	for name, part := range quotas {
		if id, is := g.names.tenants[name]; is {
			p.TenantShares[id] = part
		}
	}
	g.tell(choice.Event{Kind: choice.QuotaAssigned, Quota: p})
}

// Carries is what the module goes by now of the fleet, of 1.
func (g *Gateway) Carries() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.FleetShare()
}

// Engines are the names of those that the list says are ready, in order.
func (g *Gateway) Engines() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, l := range g.roster.byName {
		if l.line.State == choice.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Elder tells the module that an older process of this controller still serves what it owes, or has ended. Together they
// count as one controller.
func (g *Gateway) Elder(on bool) {
	g.tell(choice.Event{Kind: choice.PredecessorChanged, PredecessorRunning: on})
	slog.Info("elder", "runs", on)
}

// Learned is what jobs have taught the module, by the names of types.
func (g *Gateway) Learned() map[string]choice.TypeStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	list, named := g.module.TypeStats(), map[string]choice.TypeStats{}
	for name, id := range g.names.types {
		if int(id) < len(list) {
			named[name] = list[id]
		}
	}
	return named
}

// Health is what jobs have taught the module of engines, by their names.
type Health struct {
	Slow  float64 `json:"slow"`
	Bad   float64 `json:"bad"`
	Aside bool    `json:"aside,omitempty"`
}

// Health tells it.
func (g *Gateway) Health() map[string]Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	named := map[string]Health{}
	for _, h := range g.module.EngineHealth() {
		if l := g.roster.byID[h.Engine]; l != nil {
			named[string(l.host.Name)] = Health{h.LatencyRatio, h.FailureRate, h.Ejected}
		}
	}
	return named
}

// Teach tells the module what an older process of this controller has learned. Types that the settings do not name, and
// engines that no list has named, are passed over; the module says what it takes.
func (g *Gateway) Teach(named map[string]choice.TypeStats, engines map[string]Health) {
	list := make([]choice.TypeStats, len(g.names.types))
	for name, m := range named {
		if id, is := g.names.types[name]; is {
			list[id] = m
		}
	}
	var health []choice.EngineHealth
	g.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		if l, h := g.roster.byName[name], engines[name]; l != nil {
			health = append(health, choice.EngineHealth{Engine: l.id, LatencyRatio: h.Slow, FailureRate: h.Bad, Ejected: h.Aside})
		}
	}
	g.mu.Unlock()
	g.tell(choice.Event{Kind: choice.StateTransferred, TypeStats: list, EngineHealth: health})
	slog.Info("taught", "types", len(named), "engines", len(health))
}

// Aside counts the engines that the module has set aside.
func (g *Gateway) Aside() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.module.EngineViews(max(g.last, g.clock.now())) {
		if s.UnavailableReason == "aside" {
			n++
		}
	}
	return n
}
