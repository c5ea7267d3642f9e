package main

import (
	"log/slog"
	"os"
	"reflect"
	"slices"
	"strings"

	"swiftreel/choice"
	"swiftreel/internal/change"
	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/limits"
)

// reloader applies to a running server what can be changed of its files without a restart.
type reloader struct {
	server       *server
	budget       *limits.Budget
	operatorPath string
	current      files              // as applied last
	baseSettings choice.RawSettings // as at the start: changed settings need a restart

	closing chan struct{}
	closed  chan struct{}
}

func newReloader(s *server, budget *limits.Budget, operatorPath string) *reloader {
	current := s.files
	current.cachedEvents = nil // passed on already
	return &reloader{
		server:       s,
		budget:       budget,
		operatorPath: operatorPath,
		current:      current,
		baseSettings: s.files.config.Settings,
		closing:      make(chan struct{}),
		closed:       make(chan struct{}),
	}
}

// run reads the files again at each signal, until close. Signals that come meanwhile count as one.
func (r *reloader) run(signals <-chan os.Signal) {
	defer close(r.closed)
	for {
		select {
		case <-r.closing:
			return
		case <-signals:
			r.reload()
		}
	}
}

// close ends run and waits for it.
func (r *reloader) close() {
	close(r.closing)
	<-r.closed
}

// reload applies both files, or changes nothing if one of them cannot be used.
func (r *reloader) reload() {
	next, err := r.read()
	if err != nil {
		counters.Increment("reloads_failed")
		slog.Error("reload_failed", "reason", err)
		return
	}
	needsRestart := r.retainUntilRestart(&next)
	r.apply(next, needsRestart)
	counters.Increment("reloads")
}

func (r *reloader) read() (files, error) {
	file, err := loadConfig()
	if err != nil {
		return files{}, err
	}
	return readFiles(file, r.operatorPath, r.baseSettings)
}

// retainUntilRestart puts back what cannot be changed in a running process, and returns the names of what differs.
func (r *reloader) retainUntilRestart(next *files) []string {
	names := r.changedSettings(next.config)
	if !reflect.DeepEqual(next.operator.SPARQL, r.current.operator.SPARQL) {
		names = append(names, "operator.sparql")
		next.operator.SPARQL = r.current.operator.SPARQL
	}
	if statsListen(*next) != statsListen(r.current) {
		names = append(names, "operator.tally")
		next.operator.Stats = r.current.operator.Stats
	}
	return names
}

// changedSettings names what differs in the configuration and needs a restart, sorted. The seed is new at each start.
func (r *reloader) changedSettings(next config.File) []string {
	current := r.current.config
	var names []string
	if next.Name != current.Name {
		names = append(names, "name")
	}
	if next.Listen != current.Listen {
		names = append(names, "listen")
	}
	for name, value := range next.Settings {
		if !reflect.DeepEqual(value, current.Settings[name]) {
			names = append(names, "settings."+name)
		}
	}
	for name := range current.Settings {
		if _, present := next.Settings[name]; !present {
			names = append(names, "settings."+name)
		}
	}
	slices.Sort(names)
	return names
}

// statsAddress is where the stats server listens, if it does.
type statsAddress struct {
	enabled bool
	listen  string
}

func statsListen(f files) statsAddress {
	if f.operator.Stats == nil {
		return statsAddress{}
	}
	return statsAddress{enabled: true, listen: f.operator.Stats.Listen}
}

// apply changes the running server.
func (r *reloader) apply(next files, needsRestart []string) {
	s := r.server
	moved := s.discovery.Reconfigure(next.config.Feed, next.cachedEvents)
	lastEvent, _ := s.discovery.Position()
	slog.Info("reloaded", "feed", next.config.Feed, "feed_moved", moved, "events", lastEvent,
		"needs_restart", strings.Join(needsRestart, ","), "settings", change.JSONDigest(next.settings))
	if next.config.Limits != r.current.config.Limits {
		r.budget.Apply(s.sparql.remainingLimits(next.config.Limits))
	}
	if !reflect.DeepEqual(next.operator.Topology, r.current.operator.Topology) {
		s.gateway.Reconfigure(next.settings)
	}
	if !reflect.DeepEqual(next.operator.Plan, r.current.operator.Plan) { // the same plan once more is not a new one
		s.plans.follow(next.operator.Plan)
	}
	if next.predecessorRunning() != r.current.predecessorRunning() {
		s.gateway.SetPredecessor(next.predecessorRunning())
	}
	s.stats.setApplied(next)
	r.remember(next)
}

// remember keeps what was applied. Of the configuration that is the feed and the limits.
func (r *reloader) remember(next files) {
	r.current.operator = next.operator
	r.current.config.Feed = next.config.Feed
	r.current.config.CachedEvents = next.config.CachedEvents
	r.current.config.Limits = next.config.Limits
}
