package choice

import (
	"fmt"
	"slices"
	"testing"
)

// clientDisconnected is the value of endedBy for a job whose client disconnected.
const clientDisconnected = ActionKind(250)

// simulation simulates the clients, engines and discovery of one controller in virtual time, and checks the rules of
// the package comment after every action.
type simulation struct {
	t                   testing.TB
	c                   Controller
	now                 Nanos
	settings            RawSettings
	jobs                map[JobID]*simulatedJob
	admitted            []*simulatedJob          // by arrival, until they have ended and their keys no longer pause
	entries             map[EngineID]EngineEntry // as last listed
	unavailableSince    map[EngineID]Nanos       // when the engine was listed as draining or removed
	timers              map[TimerID]Nanos
	probes              []EngineID // sent
	manualProbes        bool       // probes are answered by the test, not at once
	slowStartDispatches map[EngineID][]timedWork
	lastID              JobID
	retriedAt           []Nanos
	actions             []Action // of the last event
	logText             string
	onDecide            func(Event, []Action)
	loadReport          func(EngineID) []float64 // content of load reports; nil: none are sent
}

type simulatedJob struct {
	ev          Event
	arrivedAt   Nanos
	ended       bool
	endedBy     ActionKind
	attempts    []*simulatedAttempt
	pausedUntil Nanos // pause of its key after the last unknown outcome
}

type simulatedAttempt struct {
	engine          EngineID
	dispatchedAt    Nanos
	ended           bool
	cancelRequested bool
	result          Result
}

func (a *simulatedAttempt) inFlight() bool { return !a.ended }

func (a *simulatedAttempt) mayHaveRun() bool { return !a.ended || !a.result.NeverRan() }

func (j *simulatedJob) inFlight() bool {
	return slices.ContainsFunc(j.attempts, (*simulatedAttempt).inFlight)
}

func (j *simulatedJob) anyMayHaveRun() bool {
	return slices.ContainsFunc(j.attempts, (*simulatedAttempt).mayHaveRun)
}

// testSettings has three types: a short restartable one, a long restartable one, and a run-once load ordered by key.
func testSettings() RawSettings {
	class := func(idempotency string, objective, timeout, gain float64, extra map[string]any) map[string]any {
		settings := map[string]any{"idempotency": idempotency, "aim_ns": objective * 1e9, "give_up_ns": timeout * 1e9,
			"gain": gain, "late_worth": 0.5, "aim_stretch": 2.0, "key_scope": "all", "repeat_window_ns": 5e9}
		for k, v := range extra {
			settings[k] = v
		}
		return settings
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

// set changes a setting by its dotted path.
func (r RawSettings) set(path string, v any) RawSettings {
	at, name := r, path
	for i := 0; i < len(name); i++ {
		if name[i] == '.' {
			next, _ := at[name[:i]].(map[string]any)
			at, name, i = next, name[i+1:], -1
		}
	}
	at[name] = v
	return r
}

func newSimulation(tb testing.TB, raw RawSettings, engines int) *simulation {
	tb.Helper()
	s := &simulation{t: tb, now: Nanos(1e12), settings: raw, jobs: map[JobID]*simulatedJob{},
		entries: map[EngineID]EngineEntry{}, unavailableSince: map[EngineID]Nanos{}, timers: map[TimerID]Nanos{},
		slowStartDispatches: map[EngineID][]timedWork{}}
	s.handle(Event{Kind: Started, Seed: 7, Settings: ParseSettings(raw)})
	var initial []EngineEntry
	for i := range engines {
		initial = append(initial, EngineEntry{Engine: EngineID(100 + i), State: Ready, Zone: ZoneID(i % 2)})
	}
	s.list(CachedList, initial...)
	return s
}

func (s *simulation) list(kind ListKind, entries ...EngineEntry) {
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
	for _, entry := range entries {
		if s.entries[entry.Engine] = entry; entry.State == Ready {
			delete(s.unavailableSince, entry.Engine)
		} else {
			markUnavailable(entry.Engine)
		}
	}
	s.handle(Event{Kind: EnginesListed, List: kind, Engines: entries})
}

func (s *simulation) handle(ev Event) {
	s.actions = slices.Clone(s.c.Decide(s.now, ev))
	actions := s.actions
	if s.onDecide != nil {
		s.onDecide(ev, actions)
	}
	for _, a := range actions {
		s.checkAction(a)
	}
	for _, a := range actions {
		if a.Kind == SendProbe && !s.manualProbes {
			s.handle(Event{Kind: ProbeCompleted, Engine: a.Engine, Result: Done, Load: s.reportedLoad(a.Engine)})
			actions = append(actions, s.actions...)
		}
	}
	s.actions = actions
}

func (s *simulation) arrive(typ TypeID, key Key, tables TableGroup) JobID {
	cost := Nanos(100e6)
	if typ > 0 {
		cost = Nanos(2e9)
	}
	timeout := s.settings.nanos(fmt.Sprintf("classes.%d.give_up_ns", typ))
	return s.arriveAs(Event{Type: typ, Key: key, Tables: tables, TimeLeft: timeout, Cost: cost, CostKnown: true,
		MemoryMB: 200})
}

func (s *simulation) arriveAs(ev Event) JobID {
	s.lastID++
	ev.Kind, ev.Job = JobArrived, s.lastID
	j := &simulatedJob{ev: ev, arrivedAt: s.now}
	s.jobs[ev.Job] = j
	s.admitted = append(s.admitted, j)
	s.handle(ev)
	return ev.Job
}

// finish ends the attempt in flight of a job.
func (s *simulation) finish(id JobID, r Result) {
	j := s.jobs[id]
	for i, a := range j.attempts {
		if a.ended {
			continue
		}
		a.ended, a.result = true, r
		if r == TimedOut || r == Reset || r == Canceled {
			j.pausedUntil = s.now + s.settings.nanos("invariants.order_pause_ns")
		}
		final := j.ended
		if r == Done && !j.ended {
			final, j.ended, j.endedBy = true, true, Dispatch
		}
		used := uint32(0)
		if j.ev.Cost > 0 && j.ev.Cost <= 10*second {
			used = uint32(j.ev.Cost/ms)<<12 | uint32(j.ev.MemoryMB/4)&4095
		}
		s.handle(Event{Kind: AttemptEnded, Job: id, Seq: AttemptSeq(i), Engine: a.engine, Result: r,
			Latency: s.now - a.dispatchedAt, IsFinal: final, Usage: used, Load: s.reportedLoad(a.engine)})
		return
	}
}

// advance advances time in steps of 5 ms. It fires timers that are due, times out the attempts of expired jobs, and
// checks that these get their final answers.
func (s *simulation) advance(duration Nanos) {
	for end := s.now + duration; s.now < end; {
		s.now += 5 * ms
		for timer, at := range s.timers {
			if at <= s.now {
				delete(s.timers, timer)
				s.handle(Event{Kind: TimerFired, TimerID: timer})
			}
		}
		if len(s.timers) != 1 {
			s.t.Fatalf("%d timers are set, want 1", len(s.timers))
		}
		for _, j := range s.admitted {
			slack := s.settings.nanos("invariants.answer_slack_ns")
			if expiresAt := j.arrivedAt + max(0, j.ev.TimeLeft); !j.ended && s.now > expiresAt+slack {
				s.t.Fatalf("rule 1: job %d of type %d has no final answer", j.ev.Job, j.ev.Type)
			} else if !j.ended && s.now >= expiresAt && j.inFlight() {
				s.finish(j.ev.Job, TimedOut)
			}
		}
		s.admitted = slices.DeleteFunc(s.admitted, func(j *simulatedJob) bool {
			return j.ended && !j.inFlight() &&
				s.now > j.pausedUntil
		})
	}
}

func (s *simulation) enginesOf(id JobID) (to []EngineID) {
	for _, a := range s.jobs[id].attempts {
		to = append(to, a.engine)
	}
	return to
}

func require(t *testing.T, ok bool, format string, v ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, v...)
	}
}
