package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// controllers is how many controllers a run has; each serves as many clients of either protocol.
const (
	controllers          = 2
	clientsPerController = 2
	clients              = controllers * clientsPerController
)

const (
	workDuration = 3 * time.Millisecond
	settleTime   = 100 * time.Millisecond // until what was cancelled has ended
	engineCores  = 8
)

// scenario is what a run plays.
type scenario struct {
	seed        uint64
	faults      bool
	calls       int           // of MessagePack clients
	queries     int           // of SPARQL clients
	pause       time.Duration // between a client's calls
	connections int           // of a SPARQL client
}

var rules = rulecheck.Rules{
	Types: map[string]rulecheck.Type{
		"lookup": {Effect: rulecheck.Restartable},
		"query":  {Effect: rulecheck.Restartable},
		"import": {Effect: rulecheck.RunOnce, Ordered: true},
		"update": {Effect: rulecheck.RunOnce, Ordered: true},
	},
	AnswerSlack: int64(500 * time.Millisecond),
	DrainGrace:  int64(400 * time.Millisecond),
}

// run is the fakes and controllers of a scenario, with the log of what happened.
type run struct {
	scenario
	events      testcluster.EventLog
	feed        *fake.Discovery
	engines     map[string]*fake.Engine   // of the line protocol
	endpoints   map[string]*fake.Endpoint // of SPARQL
	controllers []*controller
}

// play runs a scenario and checks its log against the rules.
func play(program string, s scenario) (statistics, error) {
	r := &run{scenario: s, engines: map[string]*fake.Engine{}, endpoints: map[string]*fake.Endpoint{}}
	directory, err := os.MkdirTemp("", "proof")
	if err != nil {
		return statistics{}, err
	}
	defer os.RemoveAll(directory) //nolint:errcheck // what is left of it harms nobody
	defer r.close()
	if err := r.start(program, directory); err != nil {
		return statistics{}, err
	}
	r.playClients()
	if err := r.stop(); err != nil {
		return statistics{}, err
	}
	log := r.events.Entries()
	result := count(log)
	result.violations = rulecheck.Check(rules, log)
	return result, nil
}

func (r *run) playClients() {
	var wait sync.WaitGroup
	for number, c := range r.controllers {
		for client := range clientsPerController {
			name := fmt.Sprintf("%d%d", number, client)
			wait.Go(func() { r.playCalls(c, number, name) })
			wait.Go(func() { r.playTexts(c, number, name) })
		}
	}
	if r.faults {
		time.Sleep(time.Duration(r.calls) / 8 * r.pause)
		r.setEngineState("e2", "draining") // both protocols learn it from the list
	}
	wait.Wait()
	time.Sleep(settleTime)
}

// start starts engines and endpoints, then the controllers. e1 and e2 speak both protocols.
func (r *run) start(program, directory string) error {
	faults := testcluster.NewFaultPlan(r.seed, r.faults, workDuration)
	feed, err := fake.StartDiscovery("127.0.0.1:0", 1)
	if err != nil {
		return err
	}
	r.feed = feed
	var hosts, urls []string
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		address := ""
		if name != "e4" {
			started, err := testcluster.StartLineEngine("127.0.0.1:0", name, &r.events, faults)
			if err != nil {
				return err
			}
			r.engines[name] = started
			address = started.Address()
		}
		if name != "e3" {
			url, err := r.startEndpoint(name, faults)
			if err != nil {
				return err
			}
			urls = append(urls, fmt.Sprintf("%q:%q", name, url))
		}
		hosts = append(hosts, feedEntry(name, address, "ready"))
		r.logListed(name, "ready")
	}
	knownEvent := r.feed.AddEvent(true, "["+strings.Join(hosts, ",")+"]")
	return r.startControllers(program, directory, urls, knownEvent)
}

func (r *run) startEndpoint(name string, faults *testcluster.FaultPlan) (url string, err error) {
	started, err := fake.StartEndpoint("127.0.0.1:0", [3]string{"<a>", "<p>", "1"}, [3]string{"<b>", "<p>", "2"})
	if err != nil {
		return "", err
	}
	endpoint := &faultyEndpoint{name: name, events: &r.events, faults: faults}
	started.Intercept(endpoint.intercept)
	r.endpoints[name] = started
	return started.URL(), nil
}

func feedEntry(name, address, state string) string {
	const form = `{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":%q,"share":1,"born_ms":0}`
	return fmt.Sprintf(form, name, address, state)
}

// setEngineState has the feed send an engine's state, and logs it after: the grace counts from what controllers could
// know.
func (r *run) setEngineState(name, state string) {
	address := ""
	if e := r.engines[name]; e != nil {
		address = e.Address()
	}
	r.feed.AddEvent(false, "["+feedEntry(name, address, state)+"]")
	r.logListed(name, state)
}

func (r *run) logListed(name, state string) {
	r.events.Add(rulecheck.Entry{
		Event: rulecheck.Listed, Engine: name, State: state, Zone: "east", Kind: "std", Cores: engineCores,
	})
}

// stop ends the controllers, which have to exit in order and without an answer overdue.
func (r *run) stop() error {
	var failures []error
	for number, c := range r.controllers {
		c.Signal(syscall.SIGTERM)
		if err := c.WaitExit(); err != nil {
			failures = append(failures, fmt.Errorf("controller %d: %w: %s", number, err, c.Log()))
		}
		if strings.Contains(c.Log(), "answers_overdue") {
			failures = append(failures, fmt.Errorf("controller %d: %s", number, c.Log()))
		}
	}
	r.controllers = nil
	return errors.Join(failures...)
}

// close ends what is still running.
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
	if r.feed != nil {
		r.feed.Close()
	}
}
