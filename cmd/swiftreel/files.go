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

// files holds the contents of the configuration and the operator's file.
type files struct {
	config       config.File
	cachedEvents []discovery.Event // events of the discovery feed that the configuration contains
	operator     operator.File
	settings     choice.RawSettings // for the decision module: base settings with the operator's topology applied
}

// readTimeout is how long reading a file is retried after a temporary shortage of descriptors or memory. A reload that
// failed at once could leave the controller on a discovery feed that has moved.
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

// loadOperatorFile reads the operator's file. An empty path means that there is none.
func loadOperatorFile(path string) (operator.File, error) {
	var file operator.File
	err := shortage.Retry(readTimeout, func() (err error) {
		file, err = operator.Load(path)
		return err
	})
	return file, err
}

// readFiles combines a configuration with the operator's file. An empty path means that there is none. The base
// settings are those of the configuration at startup.
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
			return nil, fmt.Errorf("known.events[%d]: %w", i, err)
		}
		events[i] = event
	}
	return events, nil
}

// predecessorRunning reports whether, by the operator's file, an older process of this controller is still running.
func (f files) predecessorRunning() bool {
	return f.operator.Stats != nil && f.operator.Stats.Predecessor
}
