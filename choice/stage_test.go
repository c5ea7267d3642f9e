package choice

import (
	"fmt"
	"slices"
	"testing"
)

// clientGone marks a staged job whose client left.
const clientDisconnected = ActionKind(250)

// stage plays the world around one controller and checks the seven rules after every action.
type stage struct {
	t                testing.TB
	c                Controller
	now              Nanos
	settings         RawSettings
	jobs             map[JobID]*stagedJob
	admitted         []*stagedJob
	entries          map[EngineID]EngineEntry
	unavailableSince map[EngineID]Nanos // when the engine was told to be draining or gone
	timers           map[TimerID]Nanos
	probes           []EngineID
	slowProbes       bool // chaos answers them when it likes
	slowStartWork    map[EngineID][]timedWork
	nextID           JobID
	further          []Nanos
	acts             []Action // of the last event
	logText          string   // logged
	onDecide         func(Event, []Action)
	load             func(EngineID) []float64 // what reports tell, where they come
}

type stagedJob struct {
	ev          Event
	at          Nanos
	ended       bool
	endedBy     ActionKind
	attempts    []*stagedAttempt
	pausedUntil Nanos // its key's rest after its last unsure outcome
}

type stagedAttempt struct {
	engine          EngineID
	dispatchedAt    Nanos
	ended           bool
	cancelRequested bool
	result          Result
}

func (s *stagedAttempt) isOut() bool { return !s.ended }

func (s *stagedAttempt) mayHaveRun() bool { return !s.ended || !s.result.NeverRan() }

func (j *stagedJob) out() bool { return slices.ContainsFunc(j.attempts, (*stagedAttempt).isOut) }

func (j *stagedJob) unsure() bool {
	return slices.ContainsFunc(j.attempts, (*stagedAttempt).mayHaveRun)
}

// plainFacts has three types: a short restartable, a long restartable, a run-once load in order of its key.
func plainSettings() RawSettings {
	class := func(effect string, objective, give, gain float64, more map[string]any) map[string]any {
		m := map[string]any{"idempotency": effect, "aim_ns": objective * 1e9, "give_up_ns": give * 1e9, "gain": gain,
			"late_worth": 0.5, "aim_stretch": 2.0, "key_scope": "all", "repeat_window_ns": 5e9}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	return RawSettings{
		"balancers": 2.0, "me": 0.0, "step_ns": 5e6, "discovery": "automatic",
		"classes": []any{class("repeatable", 0.5, 2.5, 1, nil), class("repeatable", 1.5, 20, 10, nil),
			class("once", 3, 20, 10, map[string]any{"fifo_by_key": true})},
		"domain": map[string]any{"class_threads": []any{1.0, 2.0, 2.0}, "cpu_of_kind": []any{8.0},
			"size_mb": []any{16000.0}, "grants_count": true, "takes_priority": true, "max_grant_share": 0.4,
			"writes_tables": []any{false, false, true}, "says_cost": true, "memory_short": "queue"},
		"limits": map[string]any{"most_tries": 4.0, "cancel": true, "probes": true, "retry_after": true,
			"max_retry_after_ns": 1e9},
		"invariants": map[string]any{"answer_slack_ns": 2e7, "drain_grace_ns": 2.5e8, "start_capacity": 0.4,
			"warm_within_ns": 1e10, "fall_multiple": 2.0, "fall_ns": 1e9, "order_pause_ns": 3e8},
		"telemetry": map[string]any{"via": "on_probe", "fields": []any{"concurrent"}},
	}
}

// set changes one setting by its dotted path.
func (f RawSettings) set(path string, v any) RawSettings {
	at, name := f, path
	for i := 0; i < len(name); i++ {
		if name[i] == '.' {
			next, _ := at[name[:i]].(map[string]any)
			at, name, i = next, name[i+1:], -1
		}
	}
	at[name] = v
	return f
}

func newStage(tb testing.TB, f RawSettings, engines int) *stage {
	tb.Helper()
	s := &stage{t: tb, now: Nanos(1e12), settings: f, jobs: map[JobID]*stagedJob{}, entries: map[EngineID]EngineEntry{},
		unavailableSince: map[EngineID]Nanos{}, timers: map[TimerID]Nanos{}, slowStartWork: map[EngineID][]timedWork{}}
	s.handle(Event{Kind: Started, Seed: 7, Settings: ParseSettings(f)})
	var lines []EngineEntry
	for i := range engines {
		lines = append(lines, EngineEntry{Engine: EngineID(100 + i), State: Ready, Zone: ZoneID(i % 2)})
	}
	s.list(CachedList, lines...)
	return s
}

func (s *stage) list(kind ListKind, lines ...EngineEntry) {
	markUnavailable := func(id EngineID) {
		if _, was := s.unavailableSince[id]; !was {
			s.unavailableSince[id] = s.now
		}
	}
	if kind != ListDelta && kind != ListFailed {
		for id := range s.entries {
			markUnavailable(id)
		}
	}
	for _, l := range lines {
		if s.entries[l.Engine] = l; l.State == Ready {
			delete(s.unavailableSince, l.Engine)
		} else {
			markUnavailable(l.Engine)
		}
	}
	s.handle(Event{Kind: EnginesListed, List: kind, Engines: lines})
}

func (s *stage) handle(ev Event) {
	s.acts = slices.Clone(s.c.Decide(s.now, ev))
	own := s.acts
	if s.onDecide != nil {
		s.onDecide(ev, own)
	}
	for _, a := range own {
		s.check(a)
	}
	for _, a := range own {
		if a.Kind == SendProbe && !s.slowProbes {
			s.handle(Event{Kind: ProbeCompleted, Engine: a.Engine, Result: Done, Load: s.reported(a.Engine)})
			own = append(own, s.acts...)
		}
	}
	s.acts = own
}

func (s *stage) arrive(typ TypeID, key Key, tables TableGroup) JobID {
	cost := Nanos(100e6)
	if typ > 0 {
		cost = Nanos(2e9)
	}
	give := s.settings.nanos(fmt.Sprintf("classes.%d.give_up_ns", typ))
	return s.arriveAs(Event{Type: typ, Key: key, Tables: tables, TimeLeft: give, Cost: cost, CostKnown: true,
		MemoryMB: 200})
}

func (s *stage) arriveAs(ev Event) JobID {
	s.nextID++
	ev.Kind, ev.Job = JobArrived, s.nextID
	j := &stagedJob{ev: ev, at: s.now}
	s.jobs[ev.Job] = j
	s.admitted = append(s.admitted, j)
	s.handle(ev)
	return ev.Job
}

// finish ends the oldest dispatch of a job that is out.
func (s *stage) finish(id JobID, r Result) {
	j := s.jobs[id]
	for i, d := range j.attempts {
		if d.ended {
			continue
		}
		d.ended, d.result = true, r
		if r == TimedOut || r == Reset || r == Canceled {
			j.pausedUntil = s.now + s.settings.nanos("invariants.order_pause_ns")
		}
		final := j.ended
		if r == Done && !j.ended {
			final, j.ended, j.endedBy = true, true, Dispatch
		}
		bill := uint32(0)
		if j.ev.Cost > 0 && j.ev.Cost <= 10*second {
			bill = uint32(j.ev.Cost/ms)<<12 | uint32(j.ev.MemoryMB/4)&4095
		}
		s.handle(Event{Kind: AttemptEnded, Job: id, Seq: AttemptSeq(i), Engine: d.engine, Result: r,
			Latency: s.now - d.dispatchedAt, IsFinal: final, Usage: bill, Load: s.reported(d.engine)})
		return
	}
}

// pass lets time go by in steps, with timers due; nothing else happens.
func (s *stage) pass(span Nanos) {
	for end := s.now + span; s.now < end; {
		s.now += 5 * ms
		for mark, at := range s.timers {
			if at <= s.now {
				delete(s.timers, mark)
				s.handle(Event{Kind: TimerFired, TimerID: mark})
			}
		}
		if len(s.timers) != 1 {
			s.t.Fatalf("%d timers are set, one is enough", len(s.timers))
		}
		for _, j := range s.admitted {
			slack := s.settings.nanos("invariants.answer_slack_ns")
			if lost := j.at + max(0, j.ev.TimeLeft); !j.ended && s.now > lost+slack {
				s.t.Fatalf("rule 1: job %d of type %d has no final answer", j.ev.Job, j.ev.Type)
			} else if !j.ended && s.now >= lost && j.out() {
				s.finish(j.ev.Job, TimedOut)
			}
		}
		s.admitted = slices.DeleteFunc(s.admitted, func(j *stagedJob) bool {
			return j.ended && !j.out() &&
				s.now > j.pausedUntil
		})
	}
}

func (s *stage) enginesOf(id JobID) (to []EngineID) {
	for _, d := range s.jobs[id].attempts {
		to = append(to, d.engine)
	}
	return to
}

func require(t *testing.T, ok bool, format string, v ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, v...)
	}
}
