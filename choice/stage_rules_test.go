package choice

import (
	"fmt"
	"slices"
)

func (s *stage) check(a Action) {
	j := s.jobs[a.Job]
	switch a.Kind {
	case SetTimer:
		s.timers[a.TimerID] = s.now + a.Duration
	case SendProbe:
		s.probes = append(s.probes, a.Engine)
	case Log:
		s.logText += a.Text + "\n"
	case CancelAttempt:
		if int(a.Seq) >= len(j.attempts) {
			s.t.Fatalf("retracts dispatch %d of job %d, never sent", a.Seq, a.Job)
		}
		j.attempts[a.Seq].cancelRequested = true
	case Throttle, CancelPermanently:
		at := func(name string) string { return fmt.Sprintf("classes.%d.%s", j.ev.Type, name) }
		effect := s.settings.text(at("idempotency"))
		switch {
		case j.ended:
			s.t.Fatalf("rule 1: a second final answer for job %d", a.Job)
		case a.Kind == Throttle && j.unsure() && effect == "once":
			s.t.Fatalf("rule 2: run-once job %d throttled though it may have run", a.Job)
		case a.Kind == Throttle && j.unsure() && effect == "by_key" && s.settings.text(at("key_scope")) != "all":
			s.t.Fatalf("rule 2: keyed job %d throttled outside its group", a.Job)
		}
		j.ended, j.endedBy = true, a.Kind
	case Dispatch:
		s.checkDispatch(j, a)
		j.attempts = append(j.attempts, &stagedAttempt{engine: a.Engine, dispatchedAt: s.now})
	}
}

func (s *stage) checkDispatch(j *stagedJob, a Action) {
	at := func(name string) string { return fmt.Sprintf("classes.%d.%s", j.ev.Type, name) }
	line, known := s.entries[a.Engine]
	switch unavailableSince, unavailable := s.unavailableSince[a.Engine]; {
	case j.ended || s.now > j.at+max(0, j.ev.TimeLeft):
		s.t.Fatalf("rule 1: job %d sent after its end", a.Job)
	case j.out():
		s.t.Fatalf("job %d has two dispatches out", a.Job)
	case !known:
		s.t.Fatalf("job %d sent to unknown engine %d", a.Job, a.Engine)
	case unavailable && s.now > unavailableSince+s.settings.nanos("invariants.drain_grace_ns"):
		s.t.Fatalf("rule 3: job %d sent to engine %d that drains or is gone", a.Job, a.Engine)
	case len(j.attempts) >= int(s.settings.number("limits.most_tries", 1)):
		s.t.Fatalf("job %d sent too often", a.Job)
	}
	if effect := s.settings.text(at("idempotency")); j.unsure() && effect != "repeatable" {
		first := j.attempts[slices.IndexFunc(j.attempts, (*stagedAttempt).mayHaveRun)]
		was, scope := s.entries[first.engine], s.settings.text(at("key_scope"))
		if effect == "once" || s.now > first.dispatchedAt+s.settings.nanos(at("repeat_window_ns")) ||
			(scope == "zone" && was.Zone != line.Zone) || (scope == "cell" && was.Cell != line.Cell) {
			s.t.Fatalf("rule 2: job %d (%s) sent again though it may have run", a.Job, effect)
		}
	}
	if s.settings.flag(at("fifo_by_key")) && j.ev.Key != 0 {
		for _, o := range s.admitted {
			if o == j {
				break
			}
			if o.ev.Key == j.ev.Key && s.settings.flag(fmt.Sprintf("classes.%d.fifo_by_key", o.ev.Type)) &&
				(!o.ended || o.out() || s.now < o.pausedUntil) {
				s.t.Fatalf("rule 5: job %d sent before its key's turn", a.Job)
			}
		}
	}
	zones, kinds := s.settings.list(at("allowed_in")), s.settings.list(at("kinds_only"))
	if (zones != nil && !slices.Contains(zones, any(float64(line.Zone)))) ||
		(kinds != nil && !slices.Contains(kinds, any(float64(line.Kind)))) {
		s.t.Fatalf("rule 6: job %d sent to zone %d, kind %d", a.Job, line.Zone, line.Kind)
	}
	if ratio := s.settings.number("invariants.further_ratio", -1); ratio >= 0 && len(j.attempts) > 0 {
		s.further = append(s.further, s.now)
		window, n, took := s.settings.nanos("invariants.extra_window_ns"), 0.0, 0.0
		for _, f := range s.further {
			if f > s.now-window {
				n++
			}
		}
		for _, o := range s.jobs {
			if o.at > s.now-window {
				took++
			}
		}
		if n > s.settings.number("invariants.budget_free", 0)+ratio*took {
			s.t.Fatalf("rule 7: %v further dispatches for %v jobs taken", n, took)
		}
	}
	s.checkSlowStart(j, line)
}

// checkCold holds rule 4 as far as one controller can break it alone.
func (s *stage) checkSlowStart(j *stagedJob, line EngineEntry) {
	f := s.settings
	if line.StartedAt == 0 || s.now-line.StartedAt >= f.nanos("invariants.warm_within_ns") {
		return
	}
	sum := 0.0
	s.slowStartWork[line.Engine] = append(s.slowStartWork[line.Engine], timedWork{s.now,
		float64(min(j.ev.Cost, 10*second))})
	for _, w := range s.slowStartWork[line.Engine] {
		if w.dispatchedAt >= s.now-f.nanos("invariants.fall_ns") {
			sum += w.work
		}
	}
	cores := f.number(fmt.Sprintf("domain.cpu_of_kind.%d", line.Kind), 1)
	allowed := f.number("invariants.fall_multiple", 1) * f.number("invariants.start_capacity",
		1) * cores * f.number("invariants.fall_ns", 0)
	if sum > allowed {
		s.t.Fatalf("rule 4: cold engine %d was sent %.1f of %.1f s of work", line.Engine, sum/1e9, allowed/1e9)
	}
}
