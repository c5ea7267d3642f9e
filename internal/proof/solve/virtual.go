package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"swiftreel/choice"
	"swiftreel/internal/solve"
)

// facts are settings for a controller of a zone, one of n.
func facts(zone int, n int) choice.RawSettings {
	class := func(effect string, aim, value float64, order bool) map[string]any {
		return map[string]any{"idempotency": effect, "aim_ns": aim, "give_up_ns": 2e10, "gain": value, "late_worth": 0.3, "aim_stretch": 1.0,
			"key_scope": "all", "repeat_window_ns": 5e9, "fifo_by_key": order}
	}
	return choice.RawSettings{"balancers": float64(n), "me": 0.0, "step_ns": 5e6, "discovery": "automatic", "locality": float64(zone),
		"classes": []any{class("repeatable", 5e8, 1, false), class("repeatable", 3e9, 10, false), class("once", 3e9, 12, true)},
		"domain": map[string]any{"class_threads": []any{1.0, 2.0, 2.0}, "cpu_of_kind": []any{16.0}, "size_mb": []any{32000.0}, "grants_count": true,
			"takes_priority": true, "max_grant_share": 0.4, "says_cost": true, "memory_short": "queue"},
		"limits":     map[string]any{"most_tries": 4.0, "cancel": true, "probes": true, "retry_after": true, "max_retry_after_ns": 1e9},
		"tariffs":    map[string]any{"cross_zone": 0.005, "probe": 0.001},
		"invariants": map[string]any{"answer_slack_ns": 2e7, "drain_grace_ns": 2.5e8, "start_capacity": 0.4, "warm_within_ns": 1e10, "fall_multiple": 2.0, "fall_ns": 1e9},
		"telemetry":  map[string]any{"via": "on_probe", "fields": []any{"concurrent"}}}
}

// tally is what a play counts.
type tally struct {
	value, crossing                  float64
	taken, onTime, throttled, broken int
	first                            string
}

func (t *tally) add(o tally) {
	t.value, t.crossing = t.value+o.value, t.crossing+o.crossing
	t.taken, t.onTime, t.throttled, t.broken = t.taken+o.taken, t.onTime+o.onTime, t.throttled+o.throttled, t.broken+o.broken
	if t.first == "" {
		t.first = o.first
	}
}

func (t *tally) rule(text string, v ...any) {
	if t.broken++; t.broken == 1 {
		t.first = fmt.Sprintf(text, v...)
	}
}

// due is something that happens at a moment; those of one moment in the order in which they were set.
type due struct {
	at, order int64
	do        func()
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// server is a simulated engine: its cores are shared evenly by the threads that run.
type server struct {
	zone, cores int
	running     []*running
	at          int64
	turn        int // rises as what runs changes
}

type running struct {
	work, threads float64 // work left, ns of thread time
	began         int64
	ended         func(latency int64)
}

// rate is what a thread gets of a core.
func (s *server) rate() float64 {
	threads := 0.0
	for _, r := range s.running {
		threads += r.threads
	}
	return min(1, float64(s.cores)/max(1, threads))
}

// play is a minute of a town in virtual time, with a plan or nil.
func play(p *solve.Problem, plan *solve.Step, seed uint64) (t tally) {
	const controllers, lasts, way = 4, int64(60e9), int64(500e3)
	r := rand.New(rand.NewPCG(seed, 8))
	var todo agenda
	now, order := int64(1e12), int64(0)
	after := func(span int64, do func()) {
		order++
		heap.Push(&todo, due{now + span, order, do})
	}
	var servers []*server
	var lines []choice.EngineEntry
	for i := range p.Engines {
		servers = append(servers, &server{zone: i % 2, cores: 16, at: now})
		lines = append(lines, choice.EngineEntry{Engine: choice.EngineID(i), Zone: choice.ZoneID(i % 2), State: choice.Ready})
	}
	var settle func(s *server)
	settle = func(s *server) { // works off what ran since, ends what is done, and sets when the next will be
		rate, past := s.rate(), float64(now-s.at)
		s.at = now
		var left []*running
		var done []*running
		for _, x := range s.running {
			if x.work -= past * rate * x.threads; x.work <= 1 {
				done = append(done, x)
			} else {
				left = append(left, x)
			}
		}
		s.running = left
		s.turn++
		next, turn := math.Inf(1), s.turn
		for _, x := range left {
			next = min(next, x.work/(s.rate()*x.threads))
		}
		if len(left) > 0 {
			after(int64(next)+1, func() {
				if s.turn == turn {
					settle(s)
				}
			})
		}
		for _, x := range done {
			x.ended(now - x.began)
		}
	}
	type job struct {
		typ      int
		zone     int
		at       int64
		answered bool
		seq      choice.AttemptSeq
		out      bool
		called   bool
	}
	for me := range controllers {
		c, jobs, zone := new(choice.Controller), map[choice.JobID]*job{}, me%2
		var tell func(ev choice.Event)
		load := func(e choice.EngineID) []float64 { return []float64{float64(len(servers[e].running))} }
		dispatch := func(id choice.JobID, e choice.EngineID) {
			j, s := jobs[id], servers[e]
			if j.answered || j.out {
				t.rule("rule 1: job sent after its answer, or twice at once")
			}
			seq, sent := j.seq, now
			j.seq++
			j.out, j.called = true, false
			typ := p.Types[j.typ]
			after(way, func() {
				settle(s)
				s.running = append(s.running, &running{work: float64(typ.WorkMS) * 1e6, threads: float64(typ.Threads), began: now, ended: func(int64) {
					after(way, func() {
						if j.out = false; !j.answered {
							j.answered = true
							if now-j.at <= typ.SLATimeMS*1e6 {
								t.onTime++
								t.value += float64(typ.Value)
							} else {
								t.value += 0.3 * float64(typ.Value)
							}
							if s.zone != j.zone {
								t.crossing += float64(typ.AnswerBytes)
							}
						}
						tell(choice.Event{Kind: choice.AttemptEnded, Job: id, Seq: seq, Engine: e, Result: choice.Done, IsFinal: true,
							Latency: choice.Nanos(now - sent), Usage: uint32(typ.WorkMS)<<12 | uint32(typ.MemoryMB/4), Load: load(e)})
					})
				}})
				settle(s)
			})
		}
		tell = func(ev choice.Event) {
			for _, a := range append([]choice.Action(nil), c.Decide(choice.Nanos(now), ev)...) {
				switch a.Kind {
				case choice.Dispatch:
					dispatch(a.Job, a.Engine)
				case choice.Throttle, choice.CancelPermanently:
					if jobs[a.Job].answered {
						t.rule("rule 1: a second answer")
					}
					if a.Kind == choice.Throttle && jobs[a.Job].seq > 0 && jobs[a.Job].typ == 2 {
						t.rule("rule 2: a run-once job that may have run is throttled")
					}
					jobs[a.Job].answered = true
					t.throttled++
				case choice.CancelAttempt: // these simulated servers end what they began
				case choice.SetTimer:
					after(int64(a.Duration), func() { tell(choice.Event{Kind: choice.TimerFired, TimerID: a.TimerID}) })
				case choice.SendProbe:
					after(2*way, func() {
						tell(choice.Event{Kind: choice.ProbeCompleted, Engine: a.Engine, Result: choice.Done, Load: load(a.Engine)})
					})
				}
			}
		}
		tell(choice.Event{Kind: choice.Started, Seed: seed<<8 | uint64(me), Settings: choice.ParseSettings(facts(zone, controllers))})
		tell(choice.Event{Kind: choice.EnginesListed, List: choice.FullList, Engines: lines})
		if plan != nil {
			tell(choice.Event{Kind: choice.PlanUpdated, Plan: numbers(p, plan, zone)})
		}
		id := choice.JobID(0)
		for _, d := range p.Demand {
			if (d.Zone == "east") != (zone == 0) || d.JobsPer1000S == 0 {
				continue
			}
			typ, tenant := 0, choice.TenantID(0)
			for i := range p.Types {
				if p.Types[i].Name == d.Type {
					typ = i
				}
			}
			if d.Tenant == "bolt" {
				tenant = 1
			}
			each := 1e12 / float64(d.JobsPer1000S) * controllers / 2
			var arrive func()
			arrive = func() {
				if now-int64(1e12) > lasts {
					return
				}
				after(int64(r.ExpFloat64()*each), arrive)
				id++
				t.taken++
				jobs[id] = &job{typ: typ, zone: zone, at: now}
				tell(choice.Event{Kind: choice.JobArrived, Job: id, Type: choice.TypeID(typ), Tenant: tenant, Key: choice.Key(r.Uint64()%1000 + 1), TimeLeft: 20e9,
					Cost: choice.Nanos(p.Types[typ].WorkMS) * 1e6, CostKnown: true, MemoryMB: float64(p.Types[typ].MemoryMB)})
			}
			after(int64(r.ExpFloat64()*each), arrive)
		}
		after(lasts+25e9, func() {
			for _, j := range jobs {
				if !j.answered {
					t.rule("rule 1: a job without its answer")
				}
			}
		})
	}
	for len(todo) > 0 && now < int64(1e12)+lasts+26e9 {
		d := heap.Pop(&todo).(due)
		now = d.at
		d.do()
	}
	return t
}

// numbers puts a step into the module's numbers for a controller in a zone.
func numbers(p *solve.Problem, s *solve.Step, zone int) *choice.Plan {
	out := &choice.Plan{MaxDemandRatio: 3}
	for i, share := range s.Shares {
		out.Tenants = append(out.Tenants, choice.PlanTenant{Tenant: choice.TenantID(i), Share: float64(share.PerMillion) / 1e6})
	}
	number := func(name string) choice.EngineID { return choice.EngineID(name[1] - '0') }
	for _, u := range s.Use {
		if u.Threads > 0 {
			out.Engines = append(out.Engines, choice.PlanEngine{Engine: number(u.Engine), Threads: float64(u.Threads)})
		} else {
			out.IdleEngines = append(out.IdleEngines, number(u.Engine))
		}
	}
	most := map[string]int64{}
	for _, w := range s.Weights {
		if w.Zone == p.Zones[zone].Name {
			most[w.Type] = max(most[w.Type], w.PerMillion)
		}
	}
	for _, w := range s.Weights {
		for i, t := range p.Types {
			if t.Name == w.Type && w.Zone == p.Zones[zone].Name {
				out.Weights = append(out.Weights, choice.PlanWeight{Type: choice.TypeID(i), Engine: number(w.Engine), Weight: float64(w.PerMillion) / float64(most[w.Type])})
			}
		}
	}
	for _, t := range s.Served {
		out.DemandThreads += float64(t.Requested)
	}
	return out
}
