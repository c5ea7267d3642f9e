package gateway

import (
	"fmt"
	"log/slog"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/counters"
	"swiftreel/internal/ratelog"
)

const (
	reconcilePeriod         = time.Second
	countersLogRounds       = 60 // rounds between log lines of the counters
	countersLogRoundsTraced = countersLogRounds / 10
	// mismatchRounds is the number of consecutive rounds in which the counts of the module and of the connections must
	// differ before this is logged. Events in transit between them cause short mismatches.
	mismatchRounds = 3
)

// reconciler compares the number of dispatches that the module assumes to be in flight at each engine with the number
// that the connections count.
type reconciler struct {
	mismatches   map[string]int // consecutive mismatches by engine name; only engines that differ
	mismatchLog  ratelog.Logger
	round        int
	lastCounters string // as last logged
}

// reconcile runs a round each reconcilePeriod until the gateway is closed.
func (g *Gateway) reconcile() {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-g.closing:
			return
		case <-ticker.C:
			g.compareInFlight()
			g.expireDrains()
			g.reconciling.logCounters(bool(g.trace))
		}
	}
}

// logCounters periodically logs the counters if any has changed. With tracing on it does so more often.
func (r *reconciler) logCounters(traced bool) {
	r.round++
	due := r.round%countersLogRounds == 0 || traced && r.round%countersLogRoundsTraced == 0
	if !due {
		return
	}
	attributes := counters.LogAttributes()
	text := fmt.Sprint(attributes)
	if text != r.lastCounters {
		r.lastCounters = text
		slog.Info("counters", attributes...)
	}
}

// compareInFlight runs one comparison. Engines that are off the list are included while they have dispatches in flight.
func (g *Gateway) compareInFlight() {
	views, names := g.moduleView()
	r := &g.reconciling
	previous := r.mismatches
	r.mismatches = map[string]int{}
	for i, view := range views {
		name := names[i]
		open, cancelled := g.engines.InFlight(name)
		if view.Jobs != open+cancelled {
			r.mismatches[name] = previous[name] + 1
			if r.mismatches[name] >= mismatchRounds {
				r.mismatchLog.CountAndWarn("in_flight_mismatches", "in_flight_mismatch",
					"engine", name, "module_jobs", view.Jobs, "open", open, "cancelled", cancelled)
			}
		}
		if bool(g.trace) && (view.UnavailableReason != "gone" || view.Jobs > 0) {
			logView(name, view, open, cancelled)
		}
	}
}

// moduleView returns the module's view of each engine, and the engines' names in the same order.
func (g *Gateway) moduleView() ([]choice.EngineView, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := g.module.EngineViews(max(g.lastTime, g.clock.now()))
	names := make([]string, len(views))
	for i, view := range views {
		if entry := g.table.byID[view.Engine]; entry != nil {
			names[i] = entry.host.Name
		}
	}
	return views, names
}

func logView(name string, view choice.EngineView, open, cancelled int) {
	slog.Info("engine_view", "engine", name, "module_jobs", view.Jobs, "open", open, "cancelled", cancelled,
		"threads", view.Threads, "others", view.PeerThreads,
		"report_age_ms", milliseconds(view.ReportAge), "last_seen_ms", milliseconds(view.LastSeenAge),
		"unavailable", view.UnavailableReason)
}

func milliseconds(n choice.Nanos) int64 { return int64(n) / int64(time.Millisecond) }
