package choice

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// A cold engine under a whole fleet, in virtual time: what all controllers together send it in any window is held
// against the budget of the settings, in calls and in calls of mean work, of which 2 roots and 2 are chance.

// coldDay is one draw of a fleet.
type slowStartScenario struct {
	controllers int
	uneven      bool  // one in four has nine times the traffic of the others
	listDelay   Nanos // the start is told within so long, to each at a time of its own
	unlisted    bool  // no list tells it: each finds out by itself
	restarts    int   // controllers that start anew while the engine is cold
	skew        Nanos // of the controllers' clocks
	multiple    float64
}

// knownStart tells whether a controller was told of an engine's start, saw that it came back, or saw it refuse.
func (e *engine) knownStart() bool { return e.StartedAt > 0 || e.suspectedRestartAt > 0 || e.refusing }

type slowStartCall struct {
	at   Nanos
	work float64
}

type pendingEnd struct {
	at           Nanos
	controller   int // controller
	job          JobID
	seq          AttemptSeq
	engine       EngineID
	dispatchedAt Nanos
	result       Result
}

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
	work, threads float64
	engine        EngineID
	seq           AttemptSeq
	out           bool
}

const (
	startedEngine                   = EngineID(900)
	coresPerEngine, warmCount       = 16.0, 7
	overloadWindow, slowStartWindow = 2 * second, 14 * second
	startCapacity                   = 0.36
)

var meanWorks, typeShares, typeThreads = []float64{0.3e9, 6e9, 10e9}, []float64{0.76, 0.17, 0.07}, []float64{1, 3, 2}

func scenarioSettings(d slowStartScenario, me int) RawSettings {
	f := plainSettings().set("balancers", float64(d.controllers)).set("me", float64(me)).set("domain.cpu_of_kind",
		[]any{coresPerEngine}).
		set("domain.class_threads", []any{1.0, 3.0, 2.0}).set("domain.size_mb", []any{64000.0}).set("tariffs",
		map[string]any{"probe": 0.01}).
		set("invariants.start_capacity", startCapacity).set("invariants.fall_multiple", d.multiple).
		set("invariants.fall_ns", float64(overloadWindow)).set("invariants.warm_within_ns", float64(slowStartWindow))
	return f
}

// play gives the most calls, and the most work in calls of mean work, that the cold engine got in any window, as a
// part of what stands, and what part of N was used over the warm-up.
func (d slowStartScenario) play(seed int64) (calls, works, used float64, n float64) {
	random := rand.New(rand.NewSource(seed))
	mean := 0.0
	for i, w := range meanWorks {
		mean += w * typeShares[i]
	}
	n = d.multiple * startCapacity * coresPerEngine * float64(overloadWindow) / mean
	const warm = Nanos(1e15)
	begin, born := warm, warm+12*second
	type fleetOf struct {
		c      *Controller
		timers map[TimerID]Nanos
		jobs   map[JobID]*scenarioJob
		last   JobID
		skew   Nanos
		rate   float64
		hears  Nanos
		dies   Nanos
	}
	fleet := make([]*fleetOf, d.controllers)
	inHand := map[EngineID]int{}
	var queue pendingEnds
	var got []slowStartCall
	now := begin
	var carry func(i int, acts []Action)
	handle := func(i int, ev Event) { carry(i, append([]Action(nil), fleet[i].c.Decide(now+fleet[i].skew, ev)...)) }
	carry = func(i int, acts []Action) {
		o := fleet[i]
		for _, a := range acts {
			switch a.Kind {
			case SetTimer:
				o.timers[a.TimerID] = now + a.Duration
			case SendProbe:
				result, load := Done, []float64{float64(inHand[a.Engine])}
				if a.Engine == startedEngine && now < born {
					result, load = Unreachable, nil
				}
				handle(i, Event{Kind: ProbeCompleted, Engine: a.Engine, Result: result, Load: load})
			case Dispatch:
				j := o.jobs[a.Job]
				j.engine, j.out = a.Engine, true
				e := pendingEnd{at: now + Nanos(j.work/j.threads*(1+0.2*random.Float64())), controller: i, job: a.Job, seq: j.seq,
					engine: a.Engine, dispatchedAt: now, result: Done}
				if a.Engine == startedEngine && now < born {
					e.at, e.result = now+ms, Unreachable
				} else if at, _ := o.c.findEngine(startedEngine); a.Engine == startedEngine && o.c.engines[at].knownStart() {
					got = append(got, slowStartCall{now, j.work})
					inHand[a.Engine]++
				} else {
					inHand[a.Engine]++
				}
				j.seq++
				heap.Push(&queue, e)
			case CancelAttempt:
				if j := o.jobs[a.Job]; j != nil && j.out {
					for q := range queue {
						if queue[q].controller == i && queue[q].job == a.Job {
							queue[q].at, queue[q].result = now+10*ms, Canceled
							heap.Init(&queue)
							break
						}
					}
				}
			case Throttle, CancelPermanently:
				if j := o.jobs[a.Job]; j != nil && !j.out {
					delete(o.jobs, a.Job)
				}
			}
		}
	}
	entries := func(listed bool) []EngineEntry {
		var list []EngineEntry
		for e := range warmCount {
			list = append(list, EngineEntry{Engine: EngineID(100 + e), State: Ready})
		}
		if d.unlisted {
			list = append(list, EngineEntry{Engine: startedEngine, State: Ready})
		} else if listed {
			list = append(list, EngineEntry{Engine: startedEngine, State: Ready, StartedAt: born})
		}
		return list
	}
	start := func(i int) {
		o := fleet[i]
		o.c, o.timers, o.jobs = &Controller{}, map[TimerID]Nanos{}, map[JobID]*scenarioJob{}
		for q := range queue { // nobody hears of what was out
			if queue[q].controller == i {
				queue[q].controller = -1
			}
		}
		handle(i, Event{Kind: Started, Seed: uint64(seed)*1000 + uint64(i), Settings: scenarioSettings(d, i)})
		handle(i, Event{Kind: EnginesListed, List: CachedList, Engines: entries(now >= o.hears)})
	}
	total := 0.0
	for i := range fleet {
		o := &fleetOf{rate: 1, hears: born + Nanos(random.Float64()*float64(d.listDelay)),
			skew: Nanos((random.Float64() - 0.5) * float64(d.skew)), dies: math.MaxInt64}
		if d.uneven && i%4 == 0 {
			o.rate = 9
		}
		if i < d.restarts {
			o.dies = born + Nanos(random.Float64()*8e9)
		}
		total += o.rate
		fleet[i] = o
		start(i)
	}
	perSecond := 0.85 * coresPerEngine * warmCount * float64(second) / mean // calls, over all
	for now = begin; now < born+slowStartWindow-d.skew; now += 5 * ms {     // clocks that are apart end the warm-up apart
		for len(queue) > 0 && queue[0].at <= now {
			e := heap.Pop(&queue).(pendingEnd)
			if e.result != Unreachable {
				inHand[e.engine]--
			}
			if e.controller < 0 {
				continue
			}
			o := fleet[e.controller]
			j := o.jobs[e.job]
			if j == nil {
				continue
			}
			if j.out = false; e.result == Done {
				delete(o.jobs, e.job)
			}
			bill, load := uint32(0), []float64{float64(inHand[e.engine])}
			if e.result == Unreachable {
				load = nil
			}
			if e.result == Done {
				bill = uint32(min(j.work/1e6, 1<<20-1)) << 12
			}
			handle(e.controller, Event{Kind: AttemptEnded, Job: e.job, Seq: e.seq, Engine: e.engine, Result: e.result,
				Latency: now - e.dispatchedAt, IsFinal: e.result == Done,
				Usage: bill, Load: load})
		}
		for i, o := range fleet {
			if now >= o.dies {
				o.dies = math.MaxInt64
				start(i)
			}
			if now >= o.hears && now-5*ms < o.hears && !d.unlisted {
				handle(i, Event{Kind: EnginesListed, List: ListDelta, Engines: []EngineEntry{{Engine: startedEngine, State: Ready,
					StartedAt: born}}})
			}
			for mark, at := range o.timers {
				if at <= now {
					delete(o.timers, mark)
					handle(i, Event{Kind: TimerFired, TimerID: mark})
				}
			}
			for expect := perSecond * o.rate / total * 0.005; random.Float64() < expect; expect-- {
				kind, p := 0, random.Float64()
				for p -= typeShares[0]; p > 0 && kind < 2; p -= typeShares[kind] {
					kind++
				}
				work := meanWorks[kind] * math.Exp(0.8*random.NormFloat64()-0.32)
				o.last++
				o.jobs[o.last] = &scenarioJob{work: work, threads: typeThreads[kind]}
				cost := work * math.Exp(0.3*random.NormFloat64())
				handle(i, Event{Kind: JobArrived, Job: o.last, Type: TypeID(kind), Key: Key(random.Int63()),
					Tables: TableGroup(random.Intn(20)), TimeLeft: 40 * second, Cost: Nanos(cost), CostKnown: true, MemoryMB: 100})
			}
		}
	}
	allowed := func(at Nanos) float64 { // what the settings allow it then
		return n * (1 + (1/startCapacity-1)*min(1, float64(at-born)/float64(slowStartWindow)))
	}
	allowedCalls := 0.0
	for at := born; at < born+slowStartWindow; at += overloadWindow {
		allowedCalls += allowed(at)
	}
	for i, first := range got {
		count, sum := 0.0, 0.0
		for _, c := range got[i:] {
			if c.at >= first.at+overloadWindow {
				break
			}
			count, sum = count+1, sum+c.work/mean
		}
		stands := allowed(first.at)
		stands += 2*math.Sqrt(stands) + 2
		calls, works = max(calls, count/stands), max(works, sum/stands)
	}
	return calls, works, float64(len(got)) / allowedCalls, n
}

func TestSlowStartEngineStandsSumOfAllControllers(t *testing.T) {
	for _, n := range []int{3, 20, 30} {
		for _, multiple := range []float64{2.5, 0.5} { // 0.5: a part is far under one call
			for name, d := range map[string]slowStartScenario{
				"even":                    {},
				"uneven":                  {uneven: true},
				"told at different times": {uneven: true, listDelay: 3 * second},
				"restarted meanwhile":     {uneven: true, restarts: (n + 1) / 2, listDelay: second},
				"told by no list":         {uneven: true, unlisted: true},
				"clocks apart":            {uneven: true, skew: 100 * ms, listDelay: second},
			} {
				d.controllers, d.multiple = n, multiple
				t.Run(fmt.Sprintf("%d controllers, times %.1f, %s", n, multiple, name), func(t *testing.T) {
					t.Parallel()
					maxCalls, maxWorks, used, budget := 0.0, 0.0, 0.0, 0.0
					const seeds = 6
					for seed := range int64(seeds) {
						calls, works, u, b := d.play(seed)
						maxCalls, maxWorks, used, budget = max(maxCalls, calls), max(maxWorks, works), used+u/seeds, b
					}
					t.Logf("N=%.1f: at most %.2f of what stands in calls, %.2f in work; used %.2f of N", budget, maxCalls, maxWorks,
						used)
					if maxCalls > 1 || maxWorks > 1 {
						t.Error("pushed over")
					}
				})
			}
		}
	}
}

// Each controller saw the engine come back at a time of its own, and they may differ in how long their longest jobs
// are: at no moment do more of them have a turn than the one that counts most turns.
func TestSlowStartTurnsFollowSharedClock(t *testing.T) {
	const n = 30
	d := slowStartScenario{controllers: n, multiple: 2.5}
	const start = Nanos(1e15)
	for turns, longest := range map[int]func(float64) float64{
		1: func(float64) float64 { return 10e9 },
		4: func(random float64) float64 { return 3e9 + 12e9*random },
	} {
		random := rand.New(rand.NewSource(3))
		var fleet []*Controller
		for i := range n {
			c := &Controller{}
			c.Decide(start, Event{Kind: Started, Seed: uint64(i), Settings: scenarioSettings(d, i)})
			c.Decide(start, Event{Kind: EnginesListed, List: FullList, Engines: []EngineEntry{{Engine: startedEngine,
				State: Ready}}})
			c.engines[0].suspectedRestartAt = start + 3*second + Nanos(random.Float64()*4*float64(overloadWindow))
			c.types[1].meanWork, c.types[2].meanWork = float64(second), longest(random.Float64())
			fleet = append(fleet, c)
		}
		some := 0
		for now := start + 11*second; now < start+17*second; now += 50 * ms {
			have := 0
			for _, c := range fleet {
				c.now = now
				if c.slowStartAllows(&job{jobType: c.types[0], work: 1e6}, c.engines[0]) {
					have++
				}
			}
			some += have
			require(t, have <= turns, "%d of %d have one of %d turns at once", have, n, turns)
		}
		require(t, some > 0, "nobody ever has a turn")
	}
}

// An engine refused, and nothing was heard of it since; the outage is long over. It may have come back in this
// moment: a job that a cold engine would not stand does not go there.
func TestRefusingEngineIsInSlowStartUntilSeen(t *testing.T) {
	f := plainSettings().set("limits.probes", false)
	s := newStage(t, f, 1)
	s.pass(2 * second)
	first := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first)) == 1, "not sent to a warm engine")
	s.finish(first, Unreachable)
	s.pass(20 * second)
	large := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(first))+len(s.enginesOf(large)) == 1, "sent where it may just have started: %v, %v",
		s.enginesOf(first), s.enginesOf(large))
	small := s.arrive(0, 0, 1)
	s.pass(3 * second)
	require(t, len(s.enginesOf(small)) == 1, "nothing is sent there any more")
	s.finish(small, Done)
	s.pass(11 * second)
	third := s.arriveAs(Event{Type: 1, TimeLeft: 60 * second, Cost: 8 * second, CostKnown: true, MemoryMB: 200})
	require(t, len(s.enginesOf(third)) == 1, "cold for ever")
}

// Seen on another deployment's herd day with 276 controllers: half of the engines were cold, no job was sent to one
// of them in their whole warm-up, all went to the other half, which stood still under three times their threads, and
// 85% of the jobs were refused. A turn came to each controller seldom, and its few engines by chance were others
// then.
func TestSlowStartEngineIsUsedByLargeFleet(t *testing.T) {
	d := slowStartScenario{controllers: 120, multiple: 2.5}
	calls, works, used, n := d.play(1)
	t.Logf("N=%.1f: at most %.2f of what stands in calls, %.2f in work; used %.2f of N", n, calls, works, used)
	if calls > 1 || works > 1 || used < 0.05 {
		t.Errorf("at most %.2f and %.2f of what stands, %.2f of N used", calls, works, used)
	}
}

// What we think others hold goes by the engines that take jobs: where half are cold, the others hold all.
func TestContentionCountsEnginesThatTakeJobs(t *testing.T) {
	f := plainSettings().set("limits.probes", false).set("telemetry", map[string]any{}).set("balancers", 40.0)
	s := newStage(t, f, 4)
	s.pass(3 * second)
	require(t, s.c.fleet.cores == 32, "%v cores of four warm engines", s.c.fleet.cores)
	s.list(ListDelta, EngineEntry{Engine: 100, State: Ready, StartedAt: s.now},
		EngineEntry{Engine: 101, State: Ready, StartedAt: s.now})
	s.pass(200 * ms)
	require(t, s.c.fleet.cores == 16, "%v cores take jobs where two of four are cold", s.c.fleet.cores)
	s.c.fleet.contention = 2
	s.pass(100 * ms)
	for _, e := range s.c.engines {
		inSlowStart := s.c.slowStartFraction(e) < 1
		require(t, inSlowStart == (e.siblingThreads < 0.1), "others hold %v threads of an engine that is cold: %v",
			e.siblingThreads, inSlowStart)
	}
	s.pass(12 * second)
	require(t, s.c.fleet.cores == 32, "%v cores once all are warm", s.c.fleet.cores)
}
