package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"swiftreel/choice"
	"swiftreel/internal/config"
	"swiftreel/internal/discovery"
	"swiftreel/internal/operator"
	"swiftreel/internal/shortage"
)

// files are the two files that a controller runs with, as read.
type files struct {
	config       config.File
	cachedEvents []discovery.Event // that the configuration has of the discovery feed
	operator     operator.File
	settings     choice.RawSettings // for the module: the base settings with the topology of the operator's file applied
}

// readTimeout is how long a file that this machine cannot read for a moment is tried again. A reload that gave up would
// leave the controller with a feed that has moved away.
const readTimeout = 2 * time.Second

// loadConfig reads the configuration file.
func loadConfig() (config.File, error) {
	var file config.File
	err := shortage.Retry(readTimeout, func() (err error) {
		file, err = config.Load(os.Getenv)
		return err
	})
	return file, err
}

// loadOperatorFile reads the operator's file; an empty path: there is none.
func loadOperatorFile(path string) (operator.File, error) {
	var file operator.File
	err := shortage.Retry(readTimeout, func() (err error) {
		file, err = operator.Load(path)
		return err
	})
	return file, err
}

// readFiles completes a configuration by the operator's file; an empty path: there is none. The base settings are those
// of the configuration that the process was started with.
func readFiles(file config.File, operatorPath string, baseSettings choice.RawSettings) (files, error) {
	cachedEvents, err := parseEvents(file.CachedEvents.Events)
	if err != nil {
		return files{}, err
	}
	operatorFile, err := loadOperatorFile(operatorPath)
	if err != nil {
		return files{}, err
	}
	settings, err := operatorFile.Topology.Apply(baseSettings)
	if err != nil {
		return files{}, fmt.Errorf("%s: %w", operatorPath, err)
	}
	return files{config: file, cachedEvents: cachedEvents, operator: operatorFile, settings: settings}, nil
}

func parseEvents(texts []json.RawMessage) ([]discovery.Event, error) {
	events := make([]discovery.Event, len(texts))
	for i, text := range texts {
		event, err := discovery.ParseEvent(text)
		if err != nil {
			return nil, fmt.Errorf("known event %d: %w", i, err)
		}
		events[i] = event
	}
	return events, nil
}

// predecessorRunning reports whether the operator's file says that an older process of this controller still runs.
func (f files) predecessorRunning() bool {
	return f.operator.Stats != nil && f.operator.Stats.Predecessor
}
