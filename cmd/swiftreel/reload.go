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

// reloader applies changes of the configuration and the operator's file to a running server, as far as they need no
// restart.
type reloader struct {
	server       *server
	budget       *limits.Budget
	operatorPath string
	current      files              // last applied
	baseSettings choice.RawSettings // of the configuration at startup: changed settings need a restart

	closing chan struct{}
	closed  chan struct{}
}

func newReloader(s *server, budget *limits.Budget, operatorPath string) *reloader {
	current := s.files
	current.cachedEvents = nil // already passed to the gateway
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

// run reloads the files on each signal until close is called. Signals that arrive during a reload cause a single
// further one.
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

// close stops run and waits for it to return.
func (r *reloader) close() {
	close(r.closing)
	<-r.closed
}

// reload applies both files, or changes nothing if either is invalid.
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

// retainUntilRestart restores in next the current values that cannot change in a running process. It returns the names
// of the values that differ.
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

// changedSettings returns the sorted names of configuration values that differ and need a restart. The seed is ignored:
// it differs on each start.
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

// statsAddress is the listen address of the stats server.
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

// apply applies the files to the running server, except for what needs a restart.
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
	if !reflect.DeepEqual(next.operator.Plan, r.current.operator.Plan) { // an unchanged plan is not restarted
		s.plans.follow(next.operator.Plan)
	}
	if next.predecessorRunning() != r.current.predecessorRunning() {
		s.gateway.SetPredecessor(next.predecessorRunning())
		s.predecessor.stop() // the predecessor has ended: a process never starts to replace another one
	}
	s.stats.setApplied(next)
	r.recordApplied(next)
}

// recordApplied records the applied files as current. Of the configuration only the feed and the limits can have
// changed.
func (r *reloader) recordApplied(next files) {
	r.current.operator = next.operator
	r.current.config.Feed = next.config.Feed
	r.current.config.CachedEvents = next.config.CachedEvents
	r.current.config.Limits = next.config.Limits
}
