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
	reconcilePeriod     = time.Second
	countersEvery       = 60 // rounds between two log lines of the counters
	countersEveryTraced = countersEvery / 10
	// mismatchRounds is for how many rounds in a row the module and the sockets must differ before that is logged: what is
	// on its way between them differs for a moment.
	mismatchRounds = 3
)

// reconciler compares what the module assumes to be out at each engine with what the connections count.
type reconciler struct {
	mismatches   map[string]int // rounds in a row by engine name; only engines that differ
	mismatchLog  ratelog.Logger
	round        int
	lastCounters string // as logged last
}

// reconcile compares once a period, until the gateway is closed.
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

// logCounters logs the counters now and then, if any has changed.
func (r *reconciler) logCounters(traced bool) {
	r.round++
	due := r.round%countersEvery == 0 || traced && r.round%countersEveryTraced == 0
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

// compareInFlight compares once. An engine that the list no longer names is compared while dispatches are out there.
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

// moduleView returns what the module assumes of each engine, and the engines' names in the same order.
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
		"threads", view.Threads, "others", view.SiblingThreads,
		"report_age_ms", milliseconds(view.ReportAge), "last_seen_ms", milliseconds(view.LastSeenAge),
		"unavailable", view.UnavailableReason)
}

func milliseconds(n choice.Nanos) int64 { return int64(n) / int64(time.Millisecond) }
