package choice

import (
	"math"
	"math/rand"
	"slices"
)

// chaos plays a seeded random run: outcomes, progress, probes, lists and clients as bad as they come.
func (s *stage) chaos(r *rand.Rand, steps int) {
	s.slowProbes = true
	for range steps {
		for n := r.Intn(3); n > 0; n-- {
			s.arriveAs(s.randomJob(r))
		}
		for _, j := range slices.Clone(s.admitted) {
			s.randomOutcome(r, j)
			if r.Intn(200) == 0 && !j.ended {
				j.ended, j.endedBy = true, clientDisconnected
				s.handle(Event{Kind: ClientDisconnected, Job: j.ev.Job})
			}
		}
		for _, e := range s.probes {
			s.handle(Event{Kind: ProbeCompleted, Engine: e, Result: Result(1 + r.Intn(8)), Load: []float64{r.Float64() * 20}})
		}
		s.probes = nil
		s.randomList(r)
		s.pass(Nanos(1+r.Intn(8)) * 5 * ms)
	}
	s.calmDown()
}

func (s *stage) randomJob(r *rand.Rand) Event {
	ev := Event{
		Type:      TypeID(r.Intn(len(s.settings.list("classes")))),
		Tenant:    TenantID(r.Intn(3)),
		Key:       Key(r.Intn(4)),
		Tables:    TableGroup(r.Intn(4)),
		TimeLeft:  Nanos(r.Int63n(int64(3 * second))),
		Cost:      Nanos(r.Int63n(int64(second))),
		CostKnown: true,
		MemoryMB:  100,
	}
	switch r.Intn(12) {
	case 0:
		ev.CostKnown, ev.Cost, ev.MemoryMB = false, 0, math.NaN()
	case 1:
		ev.Cost, ev.MemoryMB = math.MaxInt64, math.Inf(1)
	case 2:
		ev.TimeLeft, ev.Cost = 0, -5
	}
	return ev
}

// randomOutcome may end the attempt of a job that is out, or report its progress.
func (s *stage) randomOutcome(r *rand.Rand, j *stagedJob) {
	i := slices.IndexFunc(j.attempts, (*stagedAttempt).isOut)
	if i < 0 {
		return
	}
	switch roll := r.Intn(60); {
	case j.attempts[i].cancelRequested && roll < 40:
		s.finish(j.ev.Job, Canceled)
	case roll < 9:
		s.finish(j.ev.Job, Done)
	case roll < 16:
		s.finish(j.ev.Job, Result(2+r.Intn(7)))
	case roll < 20:
		s.handle(Event{Kind: ProgressReported, Job: j.ev.Job, Seq: AttemptSeq(i), Engine: j.attempts[i].engine,
			Progress: ProgressKind(r.Intn(4)), Amount: r.Float64()})
	}
}

// randomList may change the list of engines, or send events of what is not known.
func (s *stage) randomList(r *rand.Rand) {
	id := EngineID(100 + r.Intn(5))
	entry := EngineEntry{Engine: id, State: Ready, Zone: ZoneID(id % 2)}
	switch r.Intn(25) {
	case 0:
		entry.State = EngineState(r.Intn(3))
		entry.Kind = KindID(r.Intn(3))
		s.list(ListDelta, entry)
	case 1:
		entry.StartedAt = s.now
		s.list(ListDelta, entry)
	case 2:
		s.list(ListFailed)
	case 3:
		s.list(FullList, entry, EngineEntry{Engine: id + 1, State: Ready, Zone: ZoneID((id + 1) % 2)})
	case 4:
		s.handle(Event{Kind: TimerFired, TimerID: 1 << 40})
		s.handle(Event{Kind: AttemptEnded, Job: 1 << 30, Result: Done})
		s.handle(Event{Kind: StreamStarted, Job: 1 << 30})
	}
}

// calmDown lets all attempts end well: every job must end, and every table become empty.
func (s *stage) calmDown() {
	for range 1000 {
		for _, j := range slices.Clone(s.admitted) {
			if j.out() {
				s.finish(j.ev.Job, Done)
			}
		}
		s.pass(20 * ms)
	}
	if n := len(s.c.jobs) + len(s.c.orderings) + len(s.c.buckets) + len(s.c.tenants); n != 0 {
		s.t.Fatalf("%d entries stay in tables after all is over", n)
	}
}

func (s *stage) reported(id EngineID) []float64 {
	if s.load == nil {
		return nil
	}
	return s.load(id)
}

// hums plays a short job each 100 ms, each fourth a long one, answered after their work, while siblings hold a part
// of each engine's memory, of which alone reports tell. It returns how many of the jobs taken were throttled.
func (s *stage) playSteadyLoad(span Nanos, siblings float64) (refused int) {
	s.load = func(id EngineID) []float64 {
		granted := siblings * s.settings.number("domain.size_mb.0", 1)
		for _, j := range s.admitted {
			if j.out() && j.attempts[len(j.attempts)-1].engine == id {
				granted += j.ev.MemoryMB
			}
		}
		return []float64{1, granted / s.settings.number("domain.size_mb.0", 1)}
	}
	first, end := s.nextID+1, s.now+span
	for s.now < end {
		typ := TypeID(0)
		if s.nextID%4 == 0 {
			typ = 1
		}
		s.arrive(typ, 0, TableGroup(s.nextID%7))
		for range 5 {
			s.pass(20 * ms)
			for _, j := range slices.Clone(s.admitted) {
				if j.out() && s.now-j.attempts[len(j.attempts)-1].dispatchedAt >= j.ev.Cost/2 {
					s.finish(j.ev.Job, Done)
				}
			}
		}
	}
	for id := first; id <= s.nextID; id++ {
		if s.jobs[id].endedBy == Throttle {
			refused++
		}
	}
	return refused
}
