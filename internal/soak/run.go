package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"swiftreel/internal/fake"
	"swiftreel/internal/testcluster"
)

// Config says what a run consists of.
type Config struct {
	Program       string   // of controllers
	EngineProgram []string // that runs EngineMain with three more arguments: name, incarnation, seed
	Seed          uint64
	Controllers   int
	Engines       int
	Clients       int // of each controller
	Length        time.Duration
	Env           []string // more of the controllers' environment
	InjectErrors  bool     // Program is built with the tag fault, steered
	LogFolder     string   // where controllers' logs are kept; empty: nowhere
}

// Report is what came of a run.
type Report struct {
	Faults   []Fault
	Findings []Finding
	Outcomes map[Outcome]int
	Fetches  int
	Stalls   int // of the recording process: what was recorded then is not judged by its time
	Kills    int // of controllers that had not ended after SIGTERM
}

// run is a run under way.
type run struct {
	config      Config
	records     *Records
	feed        *Feed
	engines     []*engineSlot
	controllers []*controllerSlot
	subnet      *testcluster.Subnet
	folder      string
	stopped     atomic.Bool
	lastCall    atomic.Uint64
}

// engineSlot is an engine, which has one fault at a time.
type engineSlot struct {
	mu sync.Mutex
	*Engine
}

// controllerSlot is a controller, which has one fault at a time.
type controllerSlot struct {
	mu sync.Mutex
	*Controller
}

// Run plays a run and judges it. The error says that it could not be played.
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
	r.play(faults)
	r.end()
	r.stopped.Store(true)
	clients.Wait()
	report := Report{Faults: faults, Findings: Check(r.records), Outcomes: map[Outcome]int{},
		Fetches: len(r.records.fetches), Stalls: len(r.records.stalls), Kills: r.records.stopKills}
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
		r.engines = append(r.engines, &engineSlot{Engine: e})
		if err := e.start(); err != nil {
			return err
		}
		entries = append(entries, e.entry("ready", time.Time{}))
	}
	r.feed.add(true, entries...)
	return nil
}

// engineName names an engine by its index.
func engineName(index int) string { return fmt.Sprint("e", index) }

// isOfAllowedKind reports whether an engine is of the kind on which all types run: two in three are.
func isOfAllowedKind(name string) bool {
	var index int
	_, err := fmt.Sscanf(name, "e%d", &index)
	return err == nil && index%3 != 2
}

// entry is the engine's entry in the list.
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
		for place := range 2 {
			entrance, err := r.feed.open(i, r.subnet.Address(80+i, 8000+place))
			if err != nil {
				return err
			}
			c.entrances = append(c.entrances, entrance)
		}
		r.controllers = append(r.controllers, &controllerSlot{Controller: c})
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
			one := &loadClient{name: fmt.Sprintf("k%02d%02d", i, k), controller: c.Controller, records: r.records,
				random: rand.New(rand.NewPCG(r.config.Seed, uint64(i*100+k))), isStopped: r.stopped.Load,
				lastCall: &r.lastCall}
			clients.Go(one.run)
		}
	}
}

// play has each fault begin at its time, and waits until all are over.
func (r *run) play(faults []Fault) {
	started := time.Now()
	var running sync.WaitGroup
	for _, t := range faults {
		time.Sleep(time.Until(started.Add(t.At)))
		running.Go(func() { r.fault(t) })
	}
	time.Sleep(time.Until(started.Add(r.config.Length)))
	running.Wait()
}

func (r *run) fault(t Fault) {
	switch t.Kind {
	case faultBadClient:
		r.badClients(t)
	case faultDrain, faultRestart, faultVanish, faultHang, faultLongHang, faultReset, faultSlow:
		r.engineFault(t)
	default:
		r.controllerFault(t)
	}
}

// badClients has clients that speak badly come for a time.
func (r *run) badClients(t Fault) {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(t.At)))
	for stop := time.Now().Add(t.Length); time.Now().Before(stop); {
		if fake.MisbehavingClient(r.controllers[t.Target].address, random) {
			r.records.addFailure("a bad client is served")
		}
	}
}

// engineFault plays a fault at an engine that has none.
func (r *run) engineFault(t Fault) {
	e := r.engines[t.Target]
	if !e.mu.TryLock() {
		return
	}
	defer e.mu.Unlock()
	switch t.Kind {
	case faultDrain:
		r.feed.add(false, e.entry("draining", time.Time{}))
		time.Sleep(t.Length)
		r.replace(e.Engine)
	case faultRestart:
		e.kill()
		time.Sleep(t.Length / 4)
		r.replace(e.Engine)
	case faultHang, faultLongHang:
		e.pause(true)
		time.Sleep(t.Length)
		e.pause(false)
	case faultReset:
		e.proxy.setMode(ProxyReset)
		e.proxy.setMode(ProxyUp)
	default:
		e.proxy.setMode(map[string]ProxyMode{faultVanish: ProxySilent, faultSlow: ProxySlow}[t.Kind])
		time.Sleep(t.Length)
		e.proxy.setMode(ProxyUp)
	}
}

// replace removes an engine and lists a new process of it, which is cold.
func (r *run) replace(e *Engine) {
	r.feed.add(false, e.entry("gone", time.Time{}))
	e.kill()
	started := time.Now()
	if err := e.start(); err != nil {
		r.records.addFailure(err.Error())
		return
	}
	r.feed.add(false, e.entry("ready", started))
}

// pauseStep is how much later after SIGTERM the pause of faultTermPause begins, from one target to the next.
const pauseStep = 40 * time.Millisecond

// controllerFault plays a fault at a controller that has none, or at its feed.
func (r *run) controllerFault(t Fault) {
	c := r.controllers[t.Target]
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	var err error
	switch t.Kind {
	case faultTermPause:
		time.AfterFunc(time.Duration(t.Target)*pauseStep, func() { c.pause(t.Length) })
		c.terminate()
		r.saveLog(c.Controller)
		err = c.start()
	case faultTerm:
		c.terminate()
		r.saveLog(c.Controller)
		err = c.start()
	case faultKill:
		c.kill()
		r.saveLog(c.Controller)
		err = c.start()
	case faultPause:
		c.pause(t.Length)
	case faultDialFails, faultAcceptFails, faultClockStep:
		err = c.steer(t)
	case faultMove:
		if err = c.move(); err == nil {
			time.Sleep(t.Length / 10)
			err = c.move()
		}
	default:
		c.entrances[c.place].fail(t.Kind == faultFeedDown, t.Kind == faultFeedSilent, pieceOf(t.Kind))
		time.Sleep(t.Length)
		c.entrances[c.place].fail(false, false, 0)
	}
	if err != nil {
		r.records.addFailure(err.Error())
	}
}

// pieceOf is how many bytes the feed sends at once in a fault; 0: a whole line.
func pieceOf(kind string) int {
	const piece = 7
	if kind == faultFeedSlow {
		return piece
	}
	return 0
}

const (
	hangingOneIn = 3                      // engines that hang through the end of a run
	hangLead     = 600 * time.Millisecond // before it, for jobs to be out there
)

// end ends all controllers in order while clients go on and some engines hang, and checks how they end.
func (r *run) end() {
	for i, e := range r.engines {
		e.pause(i%hangingOneIn == 0)
	}
	time.Sleep(hangLead)
	var ending sync.WaitGroup
	for _, c := range r.controllers {
		ending.Go(func() {
			c.terminate()
			r.saveLog(c.Controller)
		})
	}
	ending.Wait()
	for _, e := range r.engines {
		e.kill() // those that hang would begin what lies unread, for nobody
	}
}

func (r *run) saveLog(c *Controller) {
	if r.config.LogFolder != "" {
		c.saveLog(r.config.LogFolder)
	}
}

// close ends what still runs, and removes the folder.
func (r *run) close() {
	for _, c := range r.controllers {
		if c.process != nil {
			c.process.Kill()
		}
		for _, entrance := range c.entrances {
			_ = entrance.listener.Close() // nothing depends on it
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
	_ = os.RemoveAll(r.folder) // a temporary folder: what is left is the system's to remove
}
