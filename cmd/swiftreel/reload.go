package main

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"slices"
	"strings"

	"swiftreel/internal/change"
	"swiftreel/internal/config"
	"swiftreel/internal/counters"
	"swiftreel/internal/discovery"
	"swiftreel/internal/limits"
	"swiftreel/internal/operator"
)

// reloader takes over what it can of a configuration file that is read anew.
type reloader struct {
	file     config.File // as last taken over
	load     func() (config.File, error)
	own      operator.File // as last taken over
	leaves   func(config.Limits) config.Limits
	operator func() (operator.File, error)
	follow   func(operator.File) // a file taken over
	restate  func(facts map[string]any)
	force    func(*operator.Tally, map[string]any) // what is in force from now on
	elder    func(bool)
	follower *discovery.Follower
	parts    *limits.Parts

	done, ended chan struct{}
}

// run reads the file anew at each signal, until it is closed. Signals that come meanwhile are one.
func (r *reloader) run(signals <-chan os.Signal) {
	defer close(r.ended)
	for {
		select {
		case <-r.done:
			return
		case <-signals:
			r.reload()
		}
	}
}

func (r *reloader) close() {
	close(r.done)
	<-r.ended
}

// reload takes a file over, or leaves all as it was.
func (r *reloader) reload() {
	file, err := r.load()
	var known []discovery.Event
	if err == nil {
		known, err = events(file)
	}
	var own operator.File
	if err == nil {
		own, err = r.operator()
	}
	var facts map[string]any
	if err == nil {
		facts, err = own.Shape.Over(r.file.Facts) // the settings as at the start: others need a restart
	}
	if err != nil {
		counters.Increment("reloads_failed")
		slog.Error("reload_failed", "reason", err)
		return
	}
	restart := r.kept(file)
	if !reflect.DeepEqual(own.SPARQL, r.own.SPARQL) {
		restart, own.SPARQL = append(restart, "operator.sparql"), r.own.SPARQL
	}
	if (own.Tally == nil) != (r.own.Tally == nil) || own.Tally != nil && own.Tally.Listen != r.own.Tally.Listen {
		restart, own.Tally = append(restart, "operator.tally"), r.own.Tally
	}
	moved := r.follower.Move(file.Feed, known)
	last, _ := r.follower.Last()
	slog.Info("reloaded", "feed", file.Feed, "feed_moved", moved, "events", last, "needs_restart", strings.Join(restart, ","), "settings", change.OfJSON(facts))
	if file.Limits != r.file.Limits {
		r.parts.Apply(r.leaves(file.Limits))
	}
	if !reflect.DeepEqual(own.Shape, r.own.Shape) {
		r.restate(facts)
	}
	if !reflect.DeepEqual(own.Plan, r.own.Plan) { // the same plan once more is no new one
		r.follow(own)
	}
	if elder(own) != elder(r.own) {
		r.elder(elder(own))
	}
	r.force(own.Tally, facts)
	r.own = own
	r.file.Feed, r.file.Known, r.file.Limits = file.Feed, file.Known, file.Limits
	counters.Increment("reloads")
}

// kept names what differs and is not taken over before the next start. The seed is new with each.
func (r *reloader) kept(file config.File) (names []string) {
	for name, differs := range map[string]bool{"name": file.Name != r.file.Name, "listen": file.Listen != r.file.Listen} {
		if differs {
			names = append(names, name)
		}
	}
	for name := range file.Facts {
		if !reflect.DeepEqual(file.Facts[name], r.file.Facts[name]) {
			names = append(names, "settings."+name)
		}
	}
	for name := range r.file.Facts {
		if _, is := file.Facts[name]; !is {
			names = append(names, "settings."+name)
		}
	}
	slices.Sort(names)
	return names
}

// events reads what a file knows of the feed.
func events(file config.File) ([]discovery.Event, error) {
	known := make([]discovery.Event, len(file.Known.Events))
	for i, text := range file.Known.Events {
		var err error
		if known[i], err = discovery.Parse(text); err != nil {
			return nil, fmt.Errorf("known event %d: %w", i, err)
		}
	}
	return known, nil
}
