package choice

import (
	"container/heap"
	"math"
	"math/rand"
	"slices"
)

// A scenario simulates a fleet of controllers around an engine that starts, in virtual time. What all controllers
// together send it in any window is compared with the budget n of the settings, in calls and in calls of mean work,
// with a tolerance of 2*sqrt(n) + 2 for chance.

const (
	startedEngine         = EngineID(900)
	firstWarmEngine       = EngineID(100)
	warmEngines           = 7
	coresPerEngine        = 16.0
	startCapacity         = 0.36
	slowStartBudgetWindow = 2 * second
	slowStartWindow       = 14 * second
	scenarioBegin         = Nanos(1e15)
	scenarioStartAt       = scenarioBegin + 12*second // of the started engine
	scenarioStep          = 5 * ms
	scenarioUtilization   = 0.85 // of the warm engines' cores, by the jobs that arrive
)

// scenarioType is a job type of the scenario.
type scenarioType struct {
	meanWork float64 // ns
	share    float64 // of jobs
	threads  float64
}

var scenarioTypes = []scenarioType{{0.3e9, 0.76, 1}, {6e9, 0.17, 3}, {10e9, 0.07, 2}}

// slowStartScenario configures a simulated fleet.
type slowStartScenario struct {
	controllers int
	uneven      bool  // one in four has nine times the traffic of the others
	listDelay   Nanos // upper bound of the random time after which each controller sees the start listed
	unlisted    bool  // no list reports the start: each controller must detect it
	restarts    int   // controllers that restart during the slow start
	skew        Nanos // of the controllers' clocks
	wallSkew    Nanos // of their wall clocks alone, which determine turns
	multiple    float64
}

func (scenario slowStartScenario) settings(index int) RawSettings {
	return testSettings().
		set("balancers", float64(scenario.controllers)).
		set("me", float64(index)).
		set("domain.cpu_of_kind", []any{coresPerEngine}).
		set("domain.class_threads", []any{1.0, 3.0, 2.0}).
		set("domain.size_mb", []any{64000.0}).
		set("tariffs", map[string]any{"probe": 0.01}).
		set("invariants.start_capacity", startCapacity).
		set("invariants.fall_multiple", scenario.multiple).
		set("invariants.fall_ns", float64(slowStartBudgetWindow)).
		set("invariants.warm_within_ns", float64(slowStartWindow))
}

// entries returns the list of engines, with the started engine once its start is listed.
func (scenario slowStartScenario) entries(listed bool) (list []EngineEntry) {
	for e := range EngineID(warmEngines) {
		list = append(list, EngineEntry{Engine: firstWarmEngine + e, State: Ready})
	}
	if scenario.unlisted {
		list = append(list, EngineEntry{Engine: startedEngine, State: Ready})
	} else if listed {
		list = append(list, EngineEntry{Engine: startedEngine, State: Ready, StartedAt: scenarioStartAt})
	}
	return list
}

// knownStart reports whether a controller knows that an engine started, or may have started: by a list, by a suspicion
// or by a failed dial.
func (e *engine) knownStart() bool { return e.StartedAt > 0 || e.suspectedRestartAt > 0 || e.refusing }

// slowStartCall is a dispatch to the started engine.
type slowStartCall struct {
	at   Nanos
	work float64
}

// pendingEnd is the future end of an attempt.
type pendingEnd struct {
	at           Nanos
	controller   int // its index; below 0: its process has restarted
	job          JobID
	seq          AttemptSeq
	engine       EngineID
	dispatchedAt Nanos
	result       Result
}

// pendingEnds is a heap ordered by time.
type pendingEnds []pendingEnd

func (q pendingEnds) Len() int           { return len(q) }
func (q pendingEnds) Less(i, j int) bool { return q[i].at < q[j].at }
func (q pendingEnds) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *pendingEnds) Push(v any)        { *q = append(*q, v.(pendingEnd)) }
func (q *pendingEnds) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type scenarioJob struct {
	work     float64
	threads  float64
	engine   EngineID
	seq      AttemptSeq
	inFlight bool
}

type scenarioController struct {
	c          *Controller
	timers     map[TimerID]Nanos
	jobs       map[JobID]*scenarioJob
	lastJob    JobID
	skew       Nanos
	wallOffset Nanos
	rate       float64 // of jobs, relative to the other controllers
	listedAt   Nanos   // when a list reports the started engine
	restartsAt Nanos
}

// scenarioRun is the state of a running scenario.
type scenarioRun struct {
	slowStartScenario
	seed       int64
	random     *rand.Rand
	now        Nanos
	fleet      []*scenarioController
	rates      float64 // sum over the fleet
	inFlightAt map[EngineID]int
	pending    pendingEnds
	calls      []slowStartCall
}

// scenarioResult is the result of one or several runs.
type scenarioResult struct {
	calls  float64 // the maximum in any window, relative to what the engine tolerates
	works  float64 // likewise, of work in calls of mean work
	used   float64 // part of the budget that was used over the slow start
	budget float64 // in calls a window, at the start
}

func meanScenarioWork() float64 {
	mean := 0.0
	for _, t := range scenarioTypes {
		mean += t.meanWork * t.share
	}
	return mean
}

// play runs the scenario with a seed.
func (scenario slowStartScenario) play(seed int64) scenarioResult {
	run := &scenarioRun{slowStartScenario: scenario, seed: seed, random: rand.New(rand.NewSource(seed)),
		now: scenarioBegin, inFlightAt: map[EngineID]int{}}
	for i := range scenario.controllers {
		run.addController(i)
	}
	end := scenarioStartAt + slowStartWindow - scenario.skew // with skewed clocks the slow start ends at different times
	for ; run.now < end; run.now += scenarioStep {
		run.endAttempts()
		for i := range run.fleet {
			run.advance(i)
			run.submitJobs(i)
		}
	}
	return run.result()
}

func (run *scenarioRun) addController(i int) {
	o := &scenarioController{rate: 1, restartsAt: math.MaxInt64}
	o.listedAt = scenarioStartAt + Nanos(run.random.Float64()*float64(run.listDelay))
	o.skew = Nanos((run.random.Float64() - 0.5) * float64(run.skew))
	if run.wallSkew > 0 { // without a skew no random number is drawn
		o.wallOffset = Nanos((run.random.Float64() - 0.5) * float64(run.wallSkew))
	}
	if run.uneven && i%4 == 0 {
		o.rate = 9
	}
	if i < run.restarts {
		o.restartsAt = scenarioStartAt + Nanos(run.random.Float64()*8e9)
	}
	run.rates += o.rate
	run.fleet = append(run.fleet, o)
	run.start(i)
}

// start starts a controller's process; results of an earlier process's attempts are discarded.
func (run *scenarioRun) start(i int) {
	o := run.fleet[i]
	o.c = &Controller{}
	o.timers = map[TimerID]Nanos{}
	o.jobs = map[JobID]*scenarioJob{}
	for q := range run.pending {
		if run.pending[q].controller == i {
			run.pending[q].controller = -1
		}
	}
	run.handle(i, Event{Kind: Started, Seed: uint64(run.seed)*1000 + uint64(i), Settings: ParseSettings(run.settings(i))})
	run.handle(i, Event{Kind: EnginesListed, List: CachedList, Engines: run.entries(run.now >= o.listedAt)})
	if o.wallOffset != 0 {
		run.handle(i, Event{Kind: ClockStepped, ClockOffset: o.wallOffset})
	}
}

func (run *scenarioRun) handle(i int, ev Event) {
	o := run.fleet[i]
	for _, a := range slices.Clone(o.c.Decide(run.now+o.skew, ev)) {
		run.apply(i, a)
	}
}

func (run *scenarioRun) apply(i int, a Action) {
	o := run.fleet[i]
	switch a.Kind {
	case SetTimer:
		o.timers[a.TimerID] = run.now + a.Duration
	case SendProbe:
		ev := Event{Kind: ProbeCompleted, Engine: a.Engine, Result: Done, Load: []float64{float64(run.inFlightAt[a.Engine])}}
		if run.refuses(a.Engine) {
			ev.Result, ev.Load = ConnectionRefused, nil
		}
		run.handle(i, ev)
	case Dispatch:
		run.dispatch(i, a)
	case CancelAttempt:
		if j := o.jobs[a.Job]; j != nil && j.inFlight {
			run.cancel(i, a.Job)
		}
	case Throttle, CancelPermanently:
		if j := o.jobs[a.Job]; j != nil && !j.inFlight {
			delete(o.jobs, a.Job)
		}
	}
}

// refuses reports whether an engine refuses connections because it has not started yet.
func (run *scenarioRun) refuses(id EngineID) bool {
	return id == startedEngine && run.now < scenarioStartAt
}

func (run *scenarioRun) dispatch(i int, a Action) {
	o := run.fleet[i]
	j := o.jobs[a.Job]
	j.engine, j.inFlight = a.Engine, true
	took := Nanos(j.work / j.threads * (1 + 0.2*run.random.Float64()))
	end := pendingEnd{at: run.now + took, controller: i, job: a.Job, seq: j.seq, engine: a.Engine, dispatchedAt: run.now,
		result: Done}
	if run.refuses(a.Engine) {
		end.at, end.result = run.now+ms, ConnectionRefused
	} else {
		run.inFlightAt[a.Engine]++
		if a.Engine == startedEngine && o.c.engineByID(startedEngine).knownStart() {
			run.calls = append(run.calls, slowStartCall{run.now, j.work})
		}
	}
	j.seq++
	heap.Push(&run.pending, end)
}

func (run *scenarioRun) cancel(i int, job JobID) {
	for q := range run.pending {
		if run.pending[q].controller == i && run.pending[q].job == job {
			run.pending[q].at, run.pending[q].result = run.now+10*ms, Canceled
			heap.Init(&run.pending)
			return
		}
	}
}

// endAttempts reports the attempts that are due to end.
func (run *scenarioRun) endAttempts() {
	for len(run.pending) > 0 && run.pending[0].at <= run.now {
		end := heap.Pop(&run.pending).(pendingEnd)
		if end.result != ConnectionRefused {
			run.inFlightAt[end.engine]--
		}
		if end.controller < 0 {
			continue
		}
		o := run.fleet[end.controller]
		j := o.jobs[end.job]
		if j == nil {
			continue
		}
		j.inFlight = false
		ev := Event{Kind: AttemptEnded, Job: end.job, Seq: end.seq, Engine: end.engine, Result: end.result,
			Latency: run.now - end.dispatchedAt, IsFinal: end.result == Done}
		if end.result == Done {
			delete(o.jobs, end.job)
			ev.Usage = uint32(min(j.work/1e6, 1<<20-1)) << 12
		}
		if end.result != ConnectionRefused {
			ev.Load = []float64{float64(run.inFlightAt[end.engine])}
		}
		run.handle(end.controller, ev)
	}
}

// advance restarts a controller, lists the started engine and fires timers where these are due.
func (run *scenarioRun) advance(i int) {
	o := run.fleet[i]
	if run.now >= o.restartsAt {
		o.restartsAt = math.MaxInt64
		run.start(i)
	}
	if run.now >= o.listedAt && run.now-scenarioStep < o.listedAt && !run.unlisted {
		entry := EngineEntry{Engine: startedEngine, State: Ready, StartedAt: scenarioStartAt}
		run.handle(i, Event{Kind: EnginesListed, List: ListDelta, Engines: []EngineEntry{entry}})
	}
	for id, at := range o.timers {
		if at <= run.now {
			delete(o.timers, id)
			run.handle(i, Event{Kind: TimerFired, TimerID: id})
		}
	}
}

// submitJobs submits the jobs that arrive at a controller in one step.
func (run *scenarioRun) submitJobs(i int) {
	o := run.fleet[i]
	// over all controllers
	perSecond := scenarioUtilization * coresPerEngine * warmEngines * float64(second) / meanScenarioWork()
	for expect := perSecond * o.rate / run.rates * 0.005; run.random.Float64() < expect; expect-- {
		typ, p := 0, run.random.Float64()
		for p -= scenarioTypes[0].share; p > 0 && typ < 2; p -= scenarioTypes[typ].share {
			typ++
		}
		work := scenarioTypes[typ].meanWork * math.Exp(0.8*run.random.NormFloat64()-0.32)
		o.lastJob++
		o.jobs[o.lastJob] = &scenarioJob{work: work, threads: scenarioTypes[typ].threads}
		cost := work * math.Exp(0.3*run.random.NormFloat64())
		run.handle(i, Event{Kind: JobArrived, Job: o.lastJob, Type: TypeID(typ), Key: Key(run.random.Int63()),
			Tables: TableGroup(run.random.Intn(20)), TimeLeft: 40 * second, Cost: Nanos(cost), CostKnown: true, MemoryMB: 100})
	}
}

// allowed returns the number of calls that the settings allow in a window that begins at a time.
func (run *scenarioRun) allowed(at Nanos) float64 {
	warm := min(1, float64(at-scenarioStartAt)/float64(slowStartWindow))
	return run.budget() * (1 + (1/startCapacity-1)*warm)
}

// budget returns the number of calls that the settings allow in the first window.
func (run *scenarioRun) budget() float64 {
	return run.multiple * startCapacity * coresPerEngine * float64(slowStartBudgetWindow) / meanScenarioWork()
}

func (run *scenarioRun) result() scenarioResult {
	r := scenarioResult{budget: run.budget()}
	allowedCalls := 0.0
	for at := scenarioStartAt; at < scenarioStartAt+slowStartWindow; at += slowStartBudgetWindow {
		allowedCalls += run.allowed(at)
	}
	for i, first := range run.calls {
		count, sum := 0.0, 0.0
		for _, call := range run.calls[i:] {
			if call.at >= first.at+slowStartBudgetWindow {
				break
			}
			count++
			sum += call.work / meanScenarioWork()
		}
		tolerated := run.allowed(first.at)
		tolerated += 2*math.Sqrt(tolerated) + 2
		r.calls = max(r.calls, count/tolerated)
		r.works = max(r.works, sum/tolerated)
	}
	r.used = float64(len(run.calls)) / allowedCalls
	return r
}
