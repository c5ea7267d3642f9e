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

// Gateway admits jobs from clients and runs them on engines as the decision module directs.
type Gateway struct {
	clock       clock
	ids         identifiers
	settings    settings
	budget      *limits.Budget
	engines     backend.Engines
	stats       *jobstats.Recorder // nil if jobs are not counted
	trace       trace
	ready       atomic.Bool
	moduleLog   ratelog.Limiter // limits the module's log lines
	overdueLog  ratelog.Logger
	list        EngineListAge // nil if the age of the endpoint list is unknown
	listLog     ratelog.Logger
	audit       *audit.Ledger // records and checks what is sent
	auditLog    ratelog.Logger
	closing     chan struct{}
	running     sync.WaitGroup // goroutines of jobs and of the reconciler
	reconciling reconciler     // used only by the goroutine of reconcile

	mu         sync.Mutex // guards all fields below; never held during I/O
	module     choice.Controller
	table      engineTable
	activePlan activePlan
	drains     *decide.DrainTracker  // nil if engines do not report draining themselves
	slots      *decide.Slots         // nil if there is only one protocol
	jobs       map[choice.JobID]*job // until their goroutines return
	openCalls  map[string]*job       // by ID: calls that are not answered or abandoned, or that may be running once
	ranCalls   *ranCalls
	lastJobID  choice.JobID
	lastTime   choice.Nanos // time of the last event; the module's time must not decrease
	closed     bool         // timers that fire afterwards have no effect
	peer       Peer         // nil if no other process of this controller is linked
}

// Options configures a Gateway.
type Options struct {
	Settings  choice.RawSettings
	Seed      uint64 // seeds the module's random source
	Budget    *limits.Budget
	Protocols map[backend.Protocol]backend.Factory
	Trace     bool // log every event and action of the module
	// KilledAfter is the time from Stop until the process may be killed; 0 selects the protocol's default.
	KilledAfter time.Duration
}

// New starts the decision module. Submit admits jobs from then on; Start only makes Ready report true. The caller must
// call Close.
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
		openCalls: map[string]*job{},
		ranCalls:  newRanCalls(),
	}
	if options.KilledAfter > 0 {
		g.settings.stopTimeout = max(0, options.KilledAfter-stopMargin)
	}
	g.audit = audit.NewLedger(g.settings.auditBounds())
	g.engines = backend.NewMux(options.Protocols, backend.Limits{
		DialTimeout:    g.settings.dialTimeout,
		IdleTimeout:    g.settings.idleTimeout,
		CancelDelay:    g.settings.crossConnDelay,
		StreamsPerConn: g.settings.streamsPerConn,
		Conns:          &g.budget.EngineConns,
		ResultBytes:    &g.budget.MessageBytes,
	})
	g.running.Go(g.reconcile)
	g.notify(choice.Event{Kind: choice.Started, Seed: options.Seed, Settings: choice.ParseSettings(options.Settings)})
	return g
}

// SetStats sets the recorder of jobs and probes. It must be called before Start.
func (g *Gateway) SetStats(stats *jobstats.Recorder) { g.stats = stats }

// SetListAge makes sends wait while the endpoint list is known to be out of date. It must be called before Start.
func (g *Gateway) SetListAge(list EngineListAge) { g.list = list }

// Ready reports whether the gateway is between Start and Stop.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Start makes the gateway ready.
func (g *Gateway) Start() { g.ready.Store(true) }

// Stop makes the gateway not ready and tells the module how much time is left to answer the admitted jobs.
func (g *Gateway) Stop() {
	g.ready.Store(false)
	g.notify(choice.Event{Kind: choice.Stopping, TimeLeft: choice.Nanos(g.settings.stopTimeout)})
}

// StopTimeout returns the time after Stop by which the last answer is sent.
func (g *Gateway) StopTimeout() time.Duration { return g.settings.stopTimeout }

// KilledAfter returns the time from Stop until the process may be killed.
func (g *Gateway) KilledAfter() time.Duration { return g.settings.stopTimeout + stopMargin }

// Close stops timers, closes connections to engines and waits for the goroutines of all jobs. It must be called exactly
// once.
func (g *Gateway) Close() {
	g.mu.Lock()
	g.closed = true
	g.activePlan.stopTimer()
	g.mu.Unlock()
	close(g.closing)
	g.engines.Close()
	g.running.Wait()
	g.closePeer()
	invariant.Check(len(g.jobs) == 0 && len(g.openCalls) == 0 && g.audit.OpenJobs() == 0, "jobs_left")
	invariant.Check(g.budget.ReadBytes.Unused() && g.budget.MessageBytes.Unused(), "bytes_left")
}

// Reconfigure passes new settings to the module. Admitted jobs and dispatches in flight are kept. Settings that the
// gateway itself uses (names, time limits, load report fields) keep their initial values, except for the retry budget
// of the audit.
func (g *Gateway) Reconfigure(newSettings choice.RawSettings) {
	g.audit.SetRetryBudget(retryBudget(settingsMap(newSettings).object("invariants")))
	g.notify(choice.Event{Kind: choice.Reconfigured, Settings: choice.ParseSettings(newSettings)})
	slog.Info("settings_reconfigured")
}

// SetPredecessor tells the module whether a predecessor process of this controller is still answering its remaining
// jobs. The two processes count as one controller.
func (g *Gateway) SetPredecessor(running bool) {
	g.notify(choice.Event{Kind: choice.PredecessorChanged, PredecessorRunning: running})
	slog.Info("predecessor", "running", running)
}

// AssignShare sets this controller's share of the fleet, and of each tenant's quota by tenant name. Shares are from 0
// to 1 and are valid for the given time. Tenants that are not in the settings are ignored.
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

// FleetShare returns the share of the fleet, from 0 to 1, that the module currently assumes for this controller.
func (g *Gateway) FleetShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.FleetShare()
}
