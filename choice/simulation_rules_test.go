package choice

import (
	"fmt"
	"slices"
)

// checkAction checks the rules for an action and records it.
func (s *simulation) checkAction(a Action) {
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
			s.t.Fatalf("cancels attempt %d of job %d, never dispatched", a.Seq, a.Job)
		}
		j.attempts[a.Seq].cancelRequested = true
	case Throttle, CancelPermanently:
		s.checkFinalAnswer(j, a)
		j.ended, j.endedBy = true, a.Kind
	case Dispatch:
		s.checkDispatch(j, a)
		j.attempts = append(j.attempts, &simulatedAttempt{engine: a.Engine, dispatchedAt: s.now})
	}
}

// classPath returns the path of a setting of a job's type.
func classPath(j *simulatedJob, name string) string {
	return fmt.Sprintf("classes.%d.%s", j.ev.Type, name)
}

// checkFinalAnswer checks rules 1 and 2 for final answers.
func (s *simulation) checkFinalAnswer(j *simulatedJob, a Action) {
	idempotency := s.settings.text(classPath(j, "idempotency"))
	unsafeThrottle := a.Kind == Throttle && j.anyMayHaveRun()
	switch {
	case j.ended:
		s.t.Fatalf("rule 1: a second final answer for job %d", a.Job)
	case unsafeThrottle && idempotency == "once":
		s.t.Fatalf("rule 2: run-once job %d throttled though it may have run", a.Job)
	case unsafeThrottle && idempotency == "by_key" && s.settings.text(classPath(j, "key_scope")) != "all":
		s.t.Fatalf("rule 2: keyed job %d throttled though not all engines drop its repeats", a.Job)
	}
}

// checkDispatch checks all rules for a dispatch.
func (s *simulation) checkDispatch(j *simulatedJob, a Action) {
	entry, known := s.entries[a.Engine]
	unavailableSince, unavailable := s.unavailableSince[a.Engine]
	switch {
	case j.ended || s.now > j.arrivedAt+max(0, j.ev.TimeLeft):
		s.t.Fatalf("rule 1: job %d dispatched after its end", a.Job)
	case j.inFlight():
		s.t.Fatalf("rule 1: job %d has two attempts in flight", a.Job)
	case !known:
		s.t.Fatalf("job %d dispatched to unknown engine %d", a.Job, a.Engine)
	case unavailable && s.now > unavailableSince+s.settings.nanos("invariants.drain_grace_ns"):
		s.t.Fatalf("rule 3: job %d dispatched to engine %d that drains or is removed", a.Job, a.Engine)
	case len(j.attempts) >= int(s.settings.number("limits.most_tries", 1)):
		s.t.Fatalf("job %d dispatched more often than limits.most_tries allows", a.Job)
	}
	s.checkRepeat(j, entry)
	s.checkOrder(j)
	s.checkPlacement(j, entry)
	s.checkRetryBudget(j)
	s.checkSlowStart(j, entry)
}

// checkRepeat checks rule 2 for a job that may have run.
func (s *simulation) checkRepeat(j *simulatedJob, entry EngineEntry) {
	idempotency := s.settings.text(classPath(j, "idempotency"))
	if !j.anyMayHaveRun() || idempotency == "repeatable" {
		return
	}
	first := j.attempts[slices.IndexFunc(j.attempts, (*simulatedAttempt).mayHaveRun)]
	firstEntry, scope := s.entries[first.engine], s.settings.text(classPath(j, "key_scope"))
	windowOver := s.now > first.dispatchedAt+s.settings.nanos(classPath(j, "repeat_window_ns"))
	if idempotency == "once" || windowOver ||
		(scope == "zone" && firstEntry.Zone != entry.Zone) || (scope == "cell" && firstEntry.Cell != entry.Cell) {
		s.t.Fatalf("rule 2: job %d (%s) dispatched again though it may have run", j.ev.Job, idempotency)
	}
}

// checkOrder checks rule 5.
func (s *simulation) checkOrder(j *simulatedJob) {
	if !s.settings.flag(classPath(j, "fifo_by_key")) || j.ev.Key == 0 {
		return
	}
	for _, o := range s.admitted {
		if o == j {
			return
		}
		if o.ev.Key == j.ev.Key && s.settings.flag(classPath(o, "fifo_by_key")) &&
			(!o.ended || o.inFlight() || s.now < o.pausedUntil) {
			s.t.Fatalf("rule 5: job %d dispatched before an earlier job of its key ended, or during the pause", j.ev.Job)
		}
	}
}

// checkPlacement checks rule 6 for zones and kinds.
func (s *simulation) checkPlacement(j *simulatedJob, entry EngineEntry) {
	zones, kinds := s.settings.list(classPath(j, "allowed_in")), s.settings.list(classPath(j, "kinds_only"))
	if (zones != nil && !slices.Contains(zones, any(float64(entry.Zone)))) ||
		(kinds != nil && !slices.Contains(kinds, any(float64(entry.Kind)))) {
		s.t.Fatalf("rule 6: job %d dispatched to zone %d, kind %d", j.ev.Job, entry.Zone, entry.Kind)
	}
}

// checkRetryBudget checks rule 7.
func (s *simulation) checkRetryBudget(j *simulatedJob) {
	ratio := s.settings.number("invariants.further_ratio", -1)
	if ratio < 0 || len(j.attempts) == 0 {
		return
	}
	s.retriedAt = append(s.retriedAt, s.now)
	since := s.now - s.settings.nanos("invariants.extra_window_ns")
	retries, admitted := 0.0, 0.0
	for _, at := range s.retriedAt {
		if at > since {
			retries++
		}
	}
	for _, o := range s.jobs {
		if o.arrivedAt > since {
			admitted++
		}
	}
	if retries > s.settings.number("invariants.budget_free", 0)+ratio*admitted {
		s.t.Fatalf("rule 7: %v retries for %v admitted jobs", retries, admitted)
	}
}

// checkSlowStart checks rule 4 as far as a single controller can break it.
func (s *simulation) checkSlowStart(j *simulatedJob, entry EngineEntry) {
	if entry.StartedAt == 0 || s.now-entry.StartedAt >= s.settings.nanos("invariants.warm_within_ns") {
		return
	}
	work := timedWork{s.now, float64(min(j.ev.Cost, 10*second))}
	s.slowStartDispatches[entry.Engine] = append(s.slowStartDispatches[entry.Engine], work)
	sum := 0.0
	for _, w := range s.slowStartDispatches[entry.Engine] {
		if w.dispatchedAt >= s.now-s.settings.nanos("invariants.fall_ns") {
			sum += w.work
		}
	}
	cores := s.settings.number(fmt.Sprintf("domain.cpu_of_kind.%d", entry.Kind), 1)
	multiple := s.settings.number("invariants.fall_multiple", 1)
	capacity := s.settings.number("invariants.start_capacity", 1)
	allowed := multiple * capacity * cores * s.settings.number("invariants.fall_ns", 0)
	if sum > allowed {
		s.t.Fatalf("rule 4: engine %d in slow start got %.1f of %.1f s of work", entry.Engine, sum/1e9, allowed/1e9)
	}
}
