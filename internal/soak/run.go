package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/testcluster"
)

// Config configures a run.
type Config struct {
	Program       string   // run as controllers
	EngineProgram []string // command line that runs EngineMain, given three more arguments: name, incarnation, seed
	Seed          uint64
	Controllers   int
	Engines       int
	Clients       int // per controller
	Length        time.Duration
	Env           []string // extra environment variables of the controllers
	InjectErrors  bool     // whether Program is built with the tag fault and the fault "steered"
	LogFolder     string   // directory in which controllers' logs are saved; empty: not saved
}

// Report is the result of a run.
type Report struct {
	Faults         []Fault
	Findings       []Finding
	Outcomes       map[Outcome]int
	Dispatches     int
	Stalls         int // stalls of the recording process; the times of events recorded during one are not checked
	KillsAfterTerm int // controllers killed because they had not exited after SIGTERM

	Pairs map[string]int // injected pairs of faults, by name
}

// run is the state of a run.
type run struct {
	config      Config
	records     *Records
	feed        *Feed
	engines     []*Engine
	controllers []*Controller
	subnet      *testcluster.Subnet
	folder      string
	stopped     atomic.Bool
	lastCall    atomic.Uint64
}

// Run executes a run and checks the invariants. It returns an error only if the run could not be executed.
func Run(config Config) (Report, error) {
	r := &run{config: config, records: newRecords()}
	defer r.close()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	faults := DrawFaults(config.Seed, config.Length, config.Controllers, config.Engines, config.InjectErrors)
	var clients sync.WaitGroup
	clients.Go(func() { watchStalls(r.records, r.stopped.Load) })
	r.startClients(&clients)
	r.injectFaults(faults)
	r.stopControllers()
	r.stopped.Store(true)
	clients.Wait()
	report := Report{Faults: faults, Findings: Check(r.records), Outcomes: map[Outcome]int{},
		Dispatches: len(r.records.fetches), Stalls: len(r.records.stalls), KillsAfterTerm: r.records.stopKills,
		Pairs: r.records.pairs}
	for _, call := range r.records.calls {
		report.Outcomes[call.Outcome]++
	}
	return report, nil
}

func (r *run) start() (err error) {
	if r.folder, err = os.MkdirTemp("", "soak"); err != nil {
		return err
	}
	r.subnet = testcluster.LockSubnet()
	r.feed = &Feed{records: r.records}
	if err := r.startEngines(); err != nil {
		return err
	}
	return r.startControllers()
}

func (r *run) startEngines() error {
	var entries []entry
	for i := range r.config.Engines {
		name := engineName(i)
		proxy, err := newProxy(r.subnet.Address(150+i, 9090), name, r.records)
		if err != nil {
			return err
		}
		kind := otherKind
		if isOfAllowedKind(name) {
			kind = allowedKind
		}
		e := &Engine{name: name, kind: kind, proxy: proxy, records: r.records, program: r.config.EngineProgram,
			seed: r.config.Seed*100 + uint64(i)}
		r.engines = append(r.engines, e)
		if err := e.start(); err != nil {
			return err
		}
		entries = append(entries, e.entry("ready", time.Time{}))
	}
	r.feed.add(true, entries...)
	return nil
}

// engineName returns the name of the engine at an index.
func engineName(index int) string { return fmt.Sprint("e", index) }

// isOfAllowedKind reports whether an engine is of allowedKind, the kind on which all types may run. Two in three are.
func isOfAllowedKind(name string) bool {
	var index int
	_, err := fmt.Sscanf(name, "e%d", &index)
	return err == nil && index%3 != 2
}

// entry returns the engine's entry in the endpoint list.
func (e *Engine) entry(state string, start time.Time) entry {
	return entry{name: e.name, address: e.proxy.address(), kind: e.kind, state: state, start: start}
}

func (r *run) startControllers() error {
	var starting sync.WaitGroup
	errs := make([]error, r.config.Controllers)
	for i := range r.config.Controllers {
		c := &Controller{index: i, count: r.config.Controllers, address: r.subnet.Address(10+i, 7000),
			configFile: filepath.Join(r.folder, fmt.Sprintf("c%d.json", i)), program: r.config.Program, env: r.config.Env,
			records: r.records, feed: r.feed}
		for portOffset := range 2 {
			server, err := r.feed.open(i, r.subnet.Address(80+i, 8000+portOffset))
			if err != nil {
				return err
			}
			c.feedServers = append(c.feedServers, server)
		}
		r.controllers = append(r.controllers, c)
		starting.Go(func() { errs[i] = c.start() })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startClients(clients *sync.WaitGroup) {
	for i, c := range r.controllers {
		for k := range r.config.Clients {
			lc := &loadClient{name: fmt.Sprintf("k%02d%02d", i, k), controller: c, records: r.records,
				random: rand.New(rand.NewPCG(r.config.Seed, uint64(i*100+k))), isStopped: r.stopped.Load,
				lastCall: &r.lastCall}
			clients.Go(lc.run)
		}
	}
}

const (
	hangingOneIn = 3                      // one in this many engines hangs while the controllers stop
	hangLead     = 600 * time.Millisecond // how long before that it hangs, so that it has open jobs
)

// stopControllers stops all controllers gracefully while clients continue and some engines hang, and records failures.
func (r *run) stopControllers() {
	for i, e := range r.engines {
		e.pause(i%hangingOneIn == 0)
	}
	time.Sleep(hangLead)
	var ending sync.WaitGroup
	for i, c := range r.controllers {
		ending.Go(func() {
			c.terminate(i)
			r.saveLog(c)
		})
	}
	ending.Wait()
	for _, e := range r.engines {
		e.kill() // resuming a hanging engine would run the dispatches it has not read
	}
}

func (r *run) saveLog(c *Controller) {
	if r.config.LogFolder != "" {
		c.saveLog(r.config.LogFolder)
	}
}

// close stops everything that is still running and removes the directory.
func (r *run) close() {
	for _, c := range r.controllers {
		if process := c.current(); process != nil {
			process.Kill()
		}
		for _, server := range c.feedServers {
			_ = server.listener.Close() // an error does not matter
		}
	}
	for _, e := range r.engines {
		e.pause(false)
		e.kill()
		e.proxy.close()
	}
	if r.subnet != nil {
		r.subnet.Release()
	}
	_ = os.RemoveAll(r.folder) // a temporary directory, which the system removes if this fails
}
