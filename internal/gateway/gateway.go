package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/audit"
	"swiftreel/internal/backend"
	"swiftreel/internal/invariant"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/limits"
	"swiftreel/internal/ratelog"
	"swiftreel/internal/sparql/decide"
)

// Gateway admits jobs of clients and has engines run them as the decision module says.
type Gateway struct {
	clock       clock
	ids         identifiers
	settings    settings
	budget      *limits.Budget
	engines     backend.Engines
	stats       *jobstats.Recorder // nil: jobs are not counted
	trace       trace
	ready       atomic.Bool
	moduleLog   ratelog.Limiter // for the log lines of the module
	overdueLog  ratelog.Logger
	list        EngineListAge // nil: nobody can tell how old the endpoint list is
	listLog     ratelog.Logger
	audit       *audit.Ledger // what was sent, and for whom
	auditLog    ratelog.Logger
	closing     chan struct{}
	running     sync.WaitGroup // goroutines of jobs, and of the reconciliation
	reconciling reconciler     // owned by its goroutine

	mu         sync.Mutex // guards all fields below; no I/O is done while it is held
	module     choice.Controller
	table      engineTable
	activePlan activePlan
	drains     *decide.DrainTracker  // nil: no engine reports its own drain
	slots      *decide.Slots         // nil: there is only one protocol
	jobs       map[choice.JobID]*job // until their goroutine returns
	openCalls  map[string]struct{}   // ids of calls that are neither answered nor abandoned
	lastJobID  choice.JobID
	lastTime   choice.Nanos // time of the last event: the module's time never goes back
	closed     bool         // timers that fire late have no effect
}

// Options are what a Gateway is made of.
type Options struct {
	Settings  choice.RawSettings
	Seed      uint64 // of the module's random source
	Budget    *limits.Budget
	Protocols map[backend.Protocol]backend.Factory
	Trace     bool // log every event and action of the module
	// KilledAfter is when the process may be killed after Stop; 0: as the protocol page says.
	KilledAfter time.Duration
}

// New starts the decision module. Jobs are admitted from the first call of Submit on; Start says that they are welcome.
// The caller must call Close.
func New(options Options) *Gateway {
	g := &Gateway{
		clock:     newClock(),
		ids:       newIdentifiers(options.Settings),
		settings:  newSettings(options.Settings),
		budget:    options.Budget,
		trace:     trace(options.Trace),
		closing:   make(chan struct{}),
		table:     newEngineTable(),
		jobs:      map[choice.JobID]*job{},
		openCalls: map[string]struct{}{},
	}
	if options.KilledAfter > 0 {
		g.settings.stopTimeout = max(0, options.KilledAfter-stopMargin)
	}
	g.audit = audit.NewLedger(g.settings.auditBounds())
	g.engines = backend.NewMux(options.Protocols, backend.Limits{
		DialTimeout:    g.settings.dialTimeout,
		IdleTimeout:    g.settings.idleTimeout,
		CancelDelay:    g.settings.step,
		StreamsPerConn: g.settings.streamsPerConn,
		Conns:          &g.budget.EngineConns,
		ResultBytes:    &g.budget.MessageBytes,
	})
	g.running.Go(g.reconcile)
	g.notify(choice.Event{Kind: choice.Started, Seed: options.Seed, Settings: choice.ParseSettings(options.Settings)})
	return g
}

// SetStats has jobs and probes counted from now on. It must be called before Start.
func (g *Gateway) SetStats(stats *jobstats.Recorder) { g.stats = stats }

// SetListAge has sends wait for the endpoint list where it is known to be behind. It must be called before Start.
func (g *Gateway) SetListAge(list EngineListAge) { g.list = list }

// Ready reports whether jobs are welcome: between Start and Stop.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Start makes the gateway ready.
func (g *Gateway) Start() { g.ready.Store(true) }

// Stop makes the gateway not ready, and notifies the module how much time is left to answer what was admitted.
func (g *Gateway) Stop() {
	g.ready.Store(false)
	g.notify(choice.Event{Kind: choice.Stopping, TimeLeft: choice.Nanos(g.settings.stopTimeout)})
}

// StopTimeout is how long after Stop the last answer is out.
func (g *Gateway) StopTimeout() time.Duration { return g.settings.stopTimeout }

// KilledAfter is how long after Stop the process may be killed.
func (g *Gateway) KilledAfter() time.Duration { return g.settings.stopTimeout + stopMargin }

// Close ends timers and connections to engines, and waits for the goroutines of all jobs. It must be called once.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.closed = true
	g.activePlan.stopTimer()
	g.mu.Unlock()
	close(g.closing)
	g.engines.Close()
	g.running.Wait()
	invariant.Check(len(g.jobs) == 0 && len(g.openCalls) == 0 && g.audit.OpenJobs() == 0, "jobs_left")
	invariant.Check(g.budget.ReadBytes.Unused() && g.budget.MessageBytes.Unused(), "bytes_left")
}

// Reconfigure gives the module new settings between two decisions. Jobs that were admitted, and dispatches in flight,
// stay. What the gateway itself reads of the settings (names, time limits, fields of load reports) stays as it was at
// the start.
func (g *Gateway) Reconfigure(newSettings choice.RawSettings) {
	g.audit.SetRetryBudget(retryBudget(settingsMap(newSettings).object("invariants")))
	g.notify(choice.Event{Kind: choice.Reconfigured, Settings: choice.ParseSettings(newSettings)})
	slog.Info("settings_reconfigured")
}

// SetPredecessor notifies the module whether an older process of this controller still answers what it owes. Both
// count as one controller.
func (g *Gateway) SetPredecessor(running bool) {
	g.notify(choice.Event{Kind: choice.PredecessorChanged, PredecessorRunning: running})
	slog.Info("predecessor", "running", running)
}

// AssignShare notifies the module which share of the fleet this controller carries, and which share of each tenant's
// quota by the tenant's name, each of 0 to 1, for the given time. Tenants that the settings do not name are ignored.
func (g *Gateway) AssignShare(share float64, quotas map[string]float64, valid time.Duration) {
	quota := choice.Quota{
		FleetShare:   share,
		TenantShares: map[choice.TenantID]float64{},
		ExpiresAt:    g.clock.now() + choice.Nanos(valid),
	}
	for name, tenantShare := range quotas {
		if id, known := g.ids.tenants[name]; known {
			quota.TenantShares[id] = tenantShare
		}
	}
	g.notify(choice.Event{Kind: choice.QuotaAssigned, Quota: quota})
}

// Share returns the share of the fleet, of 0 to 1, that the module assumes to carry now.
func (g *Gateway) Share() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.FleetShare()
}
