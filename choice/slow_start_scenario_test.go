package choice

import (
	"container/heap"
	"math"
	"math/rand"
	"slices"
)

// A scenario plays a fleet of controllers around an engine that starts, in virtual time: what all controllers together
// send it in any window is held against the budget of the settings, in calls and in calls of mean work, of which 2
// roots and 2 are chance.

const (
	startedEngine    = EngineID(900)
	firstWarmEngine  = EngineID(100)
	warmEngines      = 7
	coresPerEngine   = 16.0
	startCapacity    = 0.36
	overloadWindow   = 2 * second
	slowStartWindow  = 14 * second
	scenarioBegin    = Nanos(1e15)
	scenarioStartAt  = scenarioBegin + 12*second // of the started engine
	scenarioStep     = 5 * ms
	scenarioUtilized = 0.85 // of the warm engines' cores, by the jobs that arrive
)

// scenarioType is a reservation type of the scenario.
type scenarioType struct {
	meanWork float64 // ns
	share    float64 // of jobs
	threads  float64
}

var scenarioTypes = []scenarioType{{0.3e9, 0.76, 1}, {6e9, 0.17, 3}, {10e9, 0.07, 2}}

// slowStartScenario is one draw of a fleet.
type slowStartScenario struct {
	controllers int
	uneven      bool  // one in four has nine times the traffic of the others
	listDelay   Nanos // the start is listed within so long, for each at a time of its own
	unlisted    bool  // no list has it: each finds out by itself
	restarts    int   // controllers that restart during the slow start
	skew        Nanos // of the controllers' clocks
	wallApart   Nanos // of their wall clocks alone, by which they take turns
	multiple    float64
}

func (d slowStartScenario) settings(me int) RawSettings {
	return plainSettings().
		set("balancers", float64(d.controllers)).
		set("me", float64(me)).
		set("domain.cpu_of_kind", []any{coresPerEngine}).
		set("domain.class_threads", []any{1.0, 3.0, 2.0}).
		set("domain.size_mb", []any{64000.0}).
		set("tariffs", map[string]any{"probe": 0.01}).
		set("invariants.start_capacity", startCapacity).
		set("invariants.fall_multiple", d.multiple).
		set("invariants.fall_ns", float64(overloadWindow)).
		set("invariants.warm_within_ns", float64(slowStartWindow))
}

// entries is the list of engines, with the started one's start time where that is listed.
func (d slowStartScenario) entries(listed bool) (list []EngineEntry) {
	for e := range EngineID(warmEngines) {
		list = append(list, EngineEntry{Engine: firstWarmEngine + e, State: Ready})
	}
	if d.unlisted {
		list = append(list, EngineEntry{Engine: startedEngine, State: Ready})
	} else if listed {
		list = append(list, EngineEntry{Engine: startedEngine, State: Ready, StartedAt: scenarioStartAt})
	}
	return list
}

// knownStart tells whether a controller was told of an engine's start, saw that it came back, or saw it refuse.
func (e *engine) knownStart() bool { return e.StartedAt > 0 || e.suspectedRestartAt > 0 || e.refusing }

// slowStartCall is a dispatch to the started engine.
type slowStartCall struct {
	at   Nanos
	work float64
}

// pendingEnd is an attempt that will end.
type pendingEnd struct {
	at           Nanos
	controller   int // its number; below 0: nobody waits for it
	job          JobID
	seq          AttemptSeq
	engine       EngineID
	dispatchedAt Nanos
	result       Result
}

// pendingEnds is a heap by time.
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
	work    float64
	threads float64
	engine  EngineID
	seq     AttemptSeq
	out     bool
}

type scenarioController struct {
	module     *Controller
	timers     map[TimerID]Nanos
	jobs       map[JobID]*scenarioJob
	lastJob    JobID
	skew       Nanos
	wallOffset Nanos
	rate       float64 // of jobs, beside the others'
	listedAt   Nanos   // it is told of the started engine
	restartsAt Nanos
}

// scenarioRun is a scenario being played.
type scenarioRun struct {
	slowStartScenario
	seed    int64
	random  *rand.Rand
	now     Nanos
	fleet   []*scenarioController
	rates   float64 // sum over the fleet
	inHand  map[EngineID]int
	pending pendingEnds
	calls   []slowStartCall
}

// scenarioResult is what a scenario comes to.
type scenarioResult struct {
	calls  float64 // the most in any window, as a part of what the engine stands
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

// play plays the scenario from a seed.
func (d slowStartScenario) play(seed int64) scenarioResult {
	run := &scenarioRun{slowStartScenario: d, seed: seed, random: rand.New(rand.NewSource(seed)), now: scenarioBegin,
		inHand: map[EngineID]int{}}
	for i := range d.controllers {
		run.addController(i)
	}
	end := scenarioStartAt + slowStartWindow - d.skew // clocks that are apart end the slow start apart
	for ; run.now < end; run.now += scenarioStep {
		run.endAttempts()
		for i := range run.fleet {
			run.passTime(i)
			run.sendJobs(i)
		}
	}
	return run.result()
}

func (run *scenarioRun) addController(i int) {
	o := &scenarioController{rate: 1, restartsAt: math.MaxInt64}
	o.listedAt = scenarioStartAt + Nanos(run.random.Float64()*float64(run.listDelay))
	o.skew = Nanos((run.random.Float64() - 0.5) * float64(run.skew))
	if run.wallApart > 0 { // other scenarios draw as before
		o.wallOffset = Nanos((run.random.Float64() - 0.5) * float64(run.wallApart))
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

// start starts a controller's process: nobody waits any more for what an older one had out.
func (run *scenarioRun) start(i int) {
	o := run.fleet[i]
	o.module = &Controller{}
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
	for _, a := range slices.Clone(o.module.Decide(run.now+o.skew, ev)) {
		run.carryOut(i, a)
	}
}

func (run *scenarioRun) carryOut(i int, a Action) {
	o := run.fleet[i]
	switch a.Kind {
	case SetTimer:
		o.timers[a.TimerID] = run.now + a.Duration
	case SendProbe:
		ev := Event{Kind: ProbeCompleted, Engine: a.Engine, Result: Done, Load: []float64{float64(run.inHand[a.Engine])}}
		if run.refuses(a.Engine) {
			ev.Result, ev.Load = Unreachable, nil
		}
		run.handle(i, ev)
	case Dispatch:
		run.dispatch(i, a)
	case CancelAttempt:
		if j := o.jobs[a.Job]; j != nil && j.out {
			run.cancel(i, a.Job)
		}
	case Throttle, CancelPermanently:
		if j := o.jobs[a.Job]; j != nil && !j.out {
			delete(o.jobs, a.Job)
		}
	}
}

// refuses tells whether an engine refuses connections: it has not started yet.
func (run *scenarioRun) refuses(id EngineID) bool {
	return id == startedEngine && run.now < scenarioStartAt
}

func (run *scenarioRun) dispatch(i int, a Action) {
	o := run.fleet[i]
	j := o.jobs[a.Job]
	j.engine, j.out = a.Engine, true
	took := Nanos(j.work / j.threads * (1 + 0.2*run.random.Float64()))
	end := pendingEnd{at: run.now + took, controller: i, job: a.Job, seq: j.seq, engine: a.Engine, dispatchedAt: run.now,
		result: Done}
	if run.refuses(a.Engine) {
		end.at, end.result = run.now+ms, Unreachable
	} else {
		run.inHand[a.Engine]++
		if a.Engine == startedEngine && o.module.engineByID(startedEngine).knownStart() {
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

// endAttempts ends the attempts that are due.
func (run *scenarioRun) endAttempts() {
	for len(run.pending) > 0 && run.pending[0].at <= run.now {
		end := heap.Pop(&run.pending).(pendingEnd)
		if end.result != Unreachable {
			run.inHand[end.engine]--
		}
		if end.controller < 0 {
			continue
		}
		o := run.fleet[end.controller]
		j := o.jobs[end.job]
		if j == nil {
			continue
		}
		j.out = false
		ev := Event{Kind: AttemptEnded, Job: end.job, Seq: end.seq, Engine: end.engine, Result: end.result,
			Latency: run.now - end.dispatchedAt, IsFinal: end.result == Done}
		if end.result == Done {
			delete(o.jobs, end.job)
			ev.Usage = uint32(min(j.work/1e6, 1<<20-1)) << 12
		}
		if end.result != Unreachable {
			ev.Load = []float64{float64(run.inHand[end.engine])}
		}
		run.handle(end.controller, ev)
	}
}

// passTime restarts a controller, lists the started engine and fires timers, as they are due.
func (run *scenarioRun) passTime(i int) {
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

// sendJobs has the clients of a controller send what comes in a step.
func (run *scenarioRun) sendJobs(i int) {
	o := run.fleet[i]
	perSecond := scenarioUtilized * coresPerEngine * warmEngines * float64(second) / meanScenarioWork() // over all
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

// allowed is the calls that the settings allow in a window from a time on.
func (run *scenarioRun) allowed(at Nanos) float64 {
	warm := min(1, float64(at-scenarioStartAt)/float64(slowStartWindow))
	return run.budget() * (1 + (1/startCapacity-1)*warm)
}

// budget is the calls that they allow in the first window.
func (run *scenarioRun) budget() float64 {
	return run.multiple * startCapacity * coresPerEngine * float64(overloadWindow) / meanScenarioWork()
}

func (run *scenarioRun) result() scenarioResult {
	r := scenarioResult{budget: run.budget()}
	allowedCalls := 0.0
	for at := scenarioStartAt; at < scenarioStartAt+slowStartWindow; at += overloadWindow {
		allowedCalls += run.allowed(at)
	}
	for i, first := range run.calls {
		count, sum := 0.0, 0.0
		for _, call := range run.calls[i:] {
			if call.at >= first.at+overloadWindow {
				break
			}
			count++
			sum += call.work / meanScenarioWork()
		}
		stands := run.allowed(first.at)
		stands += 2*math.Sqrt(stands) + 2
		r.calls = max(r.calls, count/stands)
		r.works = max(r.works, sum/stands)
	}
	r.used = float64(len(run.calls)) / allowedCalls
	return r
}
