package choice

import (
	"math"
	"math/rand"
	"slices"
)

// chaos runs random steps with arbitrary outcomes, progress reports, probe results, endpoint lists and disconnects.
func (s *simulation) chaos(r *rand.Rand, steps int) {
	s.manualProbes = true
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
		s.advance(Nanos(1+r.Intn(8)) * 5 * ms)
	}
	s.settle()
}

func (s *simulation) randomJob(r *rand.Rand) Event {
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

// randomOutcome may end the attempt of a job in flight, or report its progress.
func (s *simulation) randomOutcome(r *rand.Rand, j *simulatedJob) {
	i := slices.IndexFunc(j.attempts, (*simulatedAttempt).inFlight)
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

// randomList may change the endpoint list, or send events about unknown jobs and timers.
func (s *simulation) randomList(r *rand.Rand) {
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

// settle lets all attempts succeed. Then every job must have ended, and the controller must hold no state of jobs.
func (s *simulation) settle() {
	for range 1000 {
		for _, j := range slices.Clone(s.admitted) {
			if j.inFlight() {
				s.finish(j.ev.Job, Done)
			}
		}
		s.advance(20 * ms)
	}
	if n := len(s.c.jobs) + len(s.c.orderings) + len(s.c.buckets) + len(s.c.tenants); n != 0 {
		s.t.Fatalf("%d entries remain after all jobs ended", n)
	}
}

func (s *simulation) reportedLoad(id EngineID) []float64 {
	if s.loadReport == nil {
		return nil
	}
	return s.loadReport(id)
}

// playSteadyLoad submits a job each 100 ms, every fourth one long, and completes it once its work is done. Peers
// hold a share of each engine's memory, and load reports contain only memory. It returns the number of throttled jobs.
func (s *simulation) playSteadyLoad(duration Nanos, peerMemory float64) (throttled int) {
	s.loadReport = func(id EngineID) []float64 {
		granted := peerMemory * s.settings.number("domain.size_mb.0", 1)
		for _, j := range s.admitted {
			if j.inFlight() && j.attempts[len(j.attempts)-1].engine == id {
				granted += j.ev.MemoryMB
			}
		}
		return []float64{1, granted / s.settings.number("domain.size_mb.0", 1)}
	}
	first, end := s.lastID+1, s.now+duration
	for s.now < end {
		typ := TypeID(0)
		if s.lastID%4 == 0 {
			typ = 1
		}
		s.arrive(typ, 0, TableGroup(s.lastID%7))
		for range 5 {
			s.advance(20 * ms)
			for _, j := range slices.Clone(s.admitted) {
				if j.inFlight() && s.now-j.attempts[len(j.attempts)-1].dispatchedAt >= j.ev.Cost/2 {
					s.finish(j.ev.Job, Done)
				}
			}
		}
	}
	for id := first; id <= s.lastID; id++ {
		if s.jobs[id].endedBy == Throttle {
			throttled++
		}
	}
	return throttled
}
