package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	controllers          = 2
	clientsPerController = 2 // of each protocol
	engineWork           = 3 * time.Millisecond
	engineCores          = 8
	settleTime           = 100 * time.Millisecond // for abandoned attempts to end
)

// runConfig describes a run.
type runConfig struct {
	seed           uint64
	faults         bool
	calls, queries int           // MessagePack calls and SPARQL requests of all clients
	pause          time.Duration // between a client's requests
	connections    int           // of each SPARQL client
}

// run holds the fakes and controllers of a run.
type run struct {
	config      runConfig
	events      testcluster.EventLog
	discovery   *fake.Discovery
	engines     map[string]*fake.Engine   // by name
	endpoints   map[string]*fake.Endpoint // likewise
	controllers []*controller
}

// play plays a run and returns the counts of its log.
func play(program string, config runConfig) (counts, error) {
	r := &run{config: config, engines: map[string]*fake.Engine{}, endpoints: map[string]*fake.Endpoint{}}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		return counts{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // leftovers in the temporary directory do no harm
	defer r.close()
	if err := r.start(program, dir); err != nil {
		return counts{}, err
	}
	var clients sync.WaitGroup
	for i, c := range r.controllers {
		for k := range clientsPerController {
			name := fmt.Sprintf("%d%d", i, k)
			clients.Go(func() { r.runMessagePackClient(c, i, name) })
			clients.Go(func() { r.runSPARQLClient(c, i, name) })
		}
	}
	if config.faults {
		time.Sleep(time.Duration(config.calls) / 8 * config.pause)
		r.setEngineState("e2", "draining") // applies to both protocols
	}
	clients.Wait()
	time.Sleep(settleTime)
	if err := r.stop(); err != nil {
		return counts{}, err
	}
	return countLog(r.events.Entries()), nil
}

// start starts engines, endpoints, discovery and controllers. e4 does not support the line protocol, e3 not SPARQL.
func (r *run) start(program, dir string) error {
	faults := testcluster.NewFaultPlan(r.config.seed, r.config.faults, engineWork)
	var err error
	if r.discovery, err = fake.StartDiscovery("127.0.0.1:0", 1); err != nil {
		return err
	}
	var entries, urls []string
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		if name != "e4" {
			if r.engines[name], err = testcluster.StartLineEngine("127.0.0.1:0", name, &r.events, faults); err != nil {
				return err
			}
		}
		if name != "e3" {
			if r.endpoints[name], err = startEndpoint(name, &r.events, faults); err != nil {
				return err
			}
			urls = append(urls, fmt.Sprintf("%q:%q", name, r.endpoints[name].URL()))
		}
		entries = append(entries, engineEntry(name, r.engineAddress(name), "ready"))
		r.logListed(name, "ready")
	}
	known := r.discovery.AddEvent(true, "["+strings.Join(entries, ",")+"]")
	return r.startControllers(program, dir, known, operatorFile(urls))
}

func (r *run) startControllers(program, dir, known, operator string) error {
	for i := range controllers {
		config := controllerConfig(i, r.config.seed, r.discovery.Address(), known)
		c, err := startController(program, dir, i, config, operator)
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, c)
	}
	for _, c := range r.controllers {
		if err := c.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// engineAddress returns an engine's address for the line protocol, or "" if it does not support that protocol.
func (r *run) engineAddress(name string) string {
	if e := r.engines[name]; e != nil {
		return e.Address()
	}
	return ""
}

func (r *run) logListed(name, state string) {
	r.events.Add(rulecheck.Entry{Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std",
		Cores: engineCores})
}

// setEngineState publishes a new state of an engine. It is logged only after controllers can know it, because the grace
// period of rule 3 starts at that time.
func (r *run) setEngineState(name, state string) {
	r.discovery.AddEvent(false, "["+engineEntry(name, r.engineAddress(name), state)+"]")
	r.logListed(name, state)
}

// stop drains and stops the controllers.
func (r *run) stop() error {
	var errs []error
	for i, c := range r.controllers {
		if err := c.stop(); err != nil {
			errs = append(errs, fmt.Errorf("controller %d: %w", i, err))
		}
	}
	r.controllers = nil
	return errors.Join(errs...)
}

// close kills the remaining controllers and stops all fakes.
func (r *run) close() {
	for _, c := range r.controllers {
		c.Kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, e := range r.endpoints {
		e.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}
